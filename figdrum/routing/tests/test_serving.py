"""Tests of the serving gate."""

from figdrum.core import states
from figdrum.routing import drop_reason
from figdrum.routing import serving


class _Freshness:
    """Fake freshness with fixed results."""

    def __init__(self, can_serve=False, behind=False):
        self.can_serve = can_serve
        self._behind = behind

    def is_behind(self, now_ms):
        """Returns the same result at any time."""
        del now_ms
        return self._behind


def test_stopping_balancer_continues_to_forward():
    """Guards against dropping packets while the balancer is stopping."""
    gate = serving.ServingGate(_Freshness(can_serve=True))
    gate.stop()
    assert gate.state is states.ServingState.STOPPING
    assert gate.drop_reason(0) is None


def test_stopping_does_not_make_a_starting_balancer_serve():
    """Guards against routing with an empty replica during a stop."""
    gate = serving.ServingGate(_Freshness())
    assert gate.state is states.ServingState.STARTING
    gate.stop()
    assert gate.drop_reason(0) is drop_reason.DropReason.NOT_SERVING


def test_packets_are_dropped_while_behind():
    """Guards against routing by contracts that are known to be outdated."""
    gate = serving.ServingGate(_Freshness(can_serve=True, behind=True))
    assert gate.drop_reason(0) is drop_reason.DropReason.BEHIND
