"""A kind of log event, and the limits of its lines."""

import attrs

DEBUG, INFO, WARNING, ERROR = 10, 20, 30, 40

# Limits for each kind of event and process. A node of the target size opens 110 flows
# per second: successes are sampled; failures are logged completely as long as at most
# half of the flows fail.
MAX_SUCCESS_LINES_PER_SECOND = 40
MAX_FAILURE_LINES_PER_SECOND = 60
MAX_CHANGE_LINES_PER_SECOND = 40
# A few lines identify the fault; invalid input usually repeats.
MAX_BAD_INPUT_LINES_PER_SECOND = 5


@attrs.frozen(eq=False)
class Event:
    """A kind of event: its meaning, its fields as {name: type} and its rate limit."""

    name: str
    level: int
    meaning: str
    fields: dict
    max_lines_per_second: int = MAX_CHANGE_LINES_PER_SECOND
