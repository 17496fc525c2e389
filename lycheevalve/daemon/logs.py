"""Logs as JSON lines on standard output."""

import json
import sys

from loguru import logger


def write_line(message):
    """Write one record as a JSON line."""
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "module": record["name"],
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
    print(json.dumps(line, default=str), file=sys.stdout, flush=True)


def set_up_logs(level, **extra):
    """Send all logs to standard output, with `extra` in each line."""
    logger.remove()
    logger.configure(extra=extra)
    logger.add(write_line, level=level)
