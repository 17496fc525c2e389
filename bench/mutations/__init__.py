"""The mechanisms that bench.mutants leaves out, one at a time."""

import attrs


@attrs.frozen
class Mutant:
    """A mechanism, the source that carries it, and the test that must miss it."""

    name: str
    file: str
    old: str
    new: str
    test: str
