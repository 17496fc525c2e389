"""Updates of control replicas of which a part can't be handled."""

import random

import pytest

from lycheevalve.control import ControlReplica
from lycheevalve.entry import EntryInstance
from lycheevalve.schema.generated.messages import News, Poll, Registration

SOURCE = "10.0.0.9:7000"


def build_entry():
    """Return the logic of an entry instance."""
    return EntryInstance(
        address="10.0.0.1:7000",
        data_centre="dc1",
        incarnation=1,
        random=random.Random(1),
        now=0.0,
        read_routes=lambda document: {},
        forward=None,
        reset=None,
    )


def build_control():
    """Return the logic of a control replica."""
    return ControlReplica("10.0.0.1:7000", "dc1", 1, random.Random(1), 0.0)


def build_registration(number):
    """Return the registration of an upstream."""
    return Registration(
        service_name="nightsync",
        address=f"10.0.1.{number}:9000",
        data_centre="dc1",
        incarnation=1,
        sequence=1,
        lifetime_ms=5000,
        slots=2,
        name=f"i-{number}",
    )


class TestReopenedConnections:
    """The poll after an update that failed unexpectedly."""

    # The poll had the version of the failed update, whose other upstreams never arrived:
    # one that drains or leaves goes on to get flows.
    @pytest.mark.parametrize("build", [build_entry, build_control])
    def test_update_that_failed_is_requested_again(self, build, monkeypatch):
        logic = build()
        logic.subscriptions.set_seeds([SOURCE], 0.0)
        update = News(
            feed=3,
            version=5,
            registrations=[build_registration(number) for number in (1, 2)],
            current=True,
            settled=True,
            controls=[SOURCE],
            data_centre="dc1",
        )

        def fail(*_):
            raise MemoryError

        with monkeypatch.context() as patch:
            patch.setattr(logic.upstreams.__class__, "update", fail)
            with pytest.raises(MemoryError):
                logic.handle_message(SOURCE, update, 1.0)
        logic.messages.clear()
        logic.start_polling(SOURCE, 2.0)
        [(_, poll)] = logic.messages
        assert isinstance(poll, Poll)
        known = len(logic.upstreams.by_address)
        assert known == 2 or poll.version < 5, f"{known} of 2 known, polls from {poll.version}"
