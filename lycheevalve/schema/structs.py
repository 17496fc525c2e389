"""Base class of the generated classes."""

import attrs


class Struct:
    """
    Equality and representation of the generated classes, by their fields.

    They are defined here once because attrs-generated methods for each class take a
    third of the start of a process.
    """

    __slots__ = ()
    __hash__ = None

    def __eq__(self, other):
        if type(other) is not type(self):
            return NotImplemented
        names = [field.name for field in attrs.fields(type(self))]
        return all(getattr(self, name) == getattr(other, name) for name in names)

    def __repr__(self):
        names = [field.name for field in attrs.fields(type(self))]
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in names)
        return f"{type(self).__name__}({values})"
