"""Evacuations whose application fails unexpectedly."""

import pytest

from lycheevalve.coordination.evacuations import AppliedEvacuations
from lycheevalve.schema.generated.messages import Evacuations


class TestAdopt:
    """The next message has the same order again."""

    # The number was reported as applied, and the order never took effect.
    def test_order_that_could_not_be_applied_is_applied_again(self):
        applied = []

        def apply(data_centres, now):
            if now < 1.0:
                raise MemoryError
            applied.append(data_centres)

        evacuations = AppliedEvacuations(apply)
        order = Evacuations(1, ["dc1"])
        with pytest.raises(MemoryError):
            evacuations.adopt(order, 0.0)
        assert evacuations.number == 0
        evacuations.adopt(order, 1.0)
        assert applied == [["dc1"]]
