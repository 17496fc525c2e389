"""SIGTERM to a process whose data folder does not answer."""

import os
from pathlib import Path

import pytest

from lycheevalve.coordination.run_record import FILE_NAME
from lycheevalve.coordination.storage import TEMPORARY_SUFFIX
from lycheevalve.tests.fakes.role_processes import build_control, wait_for
from lycheevalve.tests.test_boundaries import configure

STOP_TIMEOUT_SECONDS = 10.0


class TestStop:
    """Opening the record of the run hangs, as on a disk that answers nothing."""

    # The record of the end was written without a limit on the time, after the last log line.
    @pytest.mark.parametrize("hangs_at_start", [True, False])
    def test_process_ends_though_its_record_can_not_be_written(self, hangs_at_start, tmp_path):
        replica = build_control(tmp_path)
        fifo = Path(replica.settings["data_folder"]) / (FILE_NAME + TEMPORARY_SUFFIX)
        if hangs_at_start:
            os.mkfifo(fifo)
        try:
            replica.start().wait_until_started()
            wait_for(lambda: configure(replica) == 200)
            if not hangs_at_start:
                wait_for((fifo.parent / FILE_NAME).exists)
                os.mkfifo(fifo)
            replica.process.terminate()
            assert replica.process.wait(STOP_TIMEOUT_SECONDS) == 0
        finally:
            replica.stop()
