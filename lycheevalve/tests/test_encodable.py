"""The check of messages before they are accepted, compared with the encoder."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.schema.encodable import CHECKS, find_error
from lycheevalve.schema.frames import decode_struct, encode_struct
from lycheevalve.schema.generated import messages, settings
from lycheevalve.schema.generated.messages import (
    CLASSES,
    Append,
    Change,
    Entry,
    News,
    Registration,
)

TEXT = "ikeja-ü"
LONE_SURROGATE = "night\ud800"


def build_texts():
    """Return a strategy of strings, some with lone surrogates."""
    return st.text(max_size=3) | st.just(LONE_SURROGATE)


def build_integers():
    """Return a strategy of integers around the limits of the schema's types."""
    limits = st.sampled_from([15, 16, 31, 32, 63, 64])
    signs, offsets = st.sampled_from([-1, 1]), st.integers(-2, 2)
    return st.builds(lambda n, sign, offset: sign * 2**n + offset, limits, signs, offsets)


class TestEncodable:
    """A message without an error is encoded and decoded unchanged."""

    def test_every_type_of_the_schema_has_a_check(self):
        """A type without a check would be an unexpected error at the boundary."""
        structs = [
            cls
            for module in (messages, settings)
            for cls in vars(module).values()
            if hasattr(cls, "thrift_spec")
        ]
        assert structs
        used = {spec[1] for cls in structs for spec in filter(None, cls.thrift_spec)}
        assert used <= set(CHECKS)

    @pytest.mark.parametrize("cls", CLASSES.values(), ids=lambda cls: cls.__name__)
    def test_default_messages_have_no_error(self, cls):
        """The check must not refuse what processes send each other."""
        assert find_error(cls()) == ""
        assert decode_struct(cls, encode_struct(cls())) == cls()

    @given(build_integers(), build_integers(), build_texts(), build_texts())
    def test_check_agrees_with_the_encoder(self, slots, sequence, service, name):
        """The encoder raised errors for registrations that had been acknowledged."""
        registration = Registration(
            service_name=service, sequence=sequence, slots=slots, name=name
        )
        try:
            encoded = encode_struct(registration)
        except (ValueError, OverflowError):
            encoded = None
        assert bool(find_error(registration)) == (encoded is None)
        if encoded is not None:
            assert decode_struct(Registration, encoded) == registration

    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({"slots": 2**31}, "slots must be an integer of 32 bits"),
            ({"sequence": 2**63}, "sequence must be an integer of 64 bits"),
            ({"slots": 1.5}, "slots must be an integer of 32 bits"),
            ({"slots": "2"}, "slots must be an integer of 32 bits"),
            ({"name": 5}, "name must be a string"),
            ({"draining": "yes"}, "draining must be a boolean"),
            ({"name": LONE_SURROGATE}, "name must be valid Unicode"),
        ],
    )
    def test_error_names_the_field(self, changes, reason):
        """A refused caller must learn which field is wrong."""
        assert reason in find_error(Registration(**changes))

    @pytest.mark.parametrize(
        "message",
        [
            News(registrations=[Registration(), Registration(slots=2**31)]),
            News(controls=[TEXT, LONE_SURROGATE]),
            News(unreachable=[1, 2**63]),
            News(registrations=[None]),
            News(registrations=(Registration(),)),
            Append(entries=[Entry(change=Change(target_revision=2**63))]),
            Entry(change=Registration()),
            Change(document="text"),
        ],
    )
    def test_errors_inside_lists_and_structs_are_found(self, message):
        """One invalid item made the whole message unencodable."""
        assert find_error(message)

    def test_fields_without_a_value_are_left_out(self):
        """The encoder leaves them out, so they are no error."""
        assert find_error(Entry(change=None)) == ""
        assert find_error(News(registrations=[Registration(name=TEXT)])) == ""
