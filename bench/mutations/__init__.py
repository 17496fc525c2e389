"""Source edits that disable one mechanism each; bench.mutants applies them one at a time."""

import attrs


@attrs.frozen
class Mutant:
    """
    A source edit that disables a mechanism, and the test that must then fail.

    `name` describes the resulting fault; `old` must occur exactly once in `file`.
    """

    name: str
    file: str
    old: str
    new: str
    test: str
