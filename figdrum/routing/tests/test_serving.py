"""Tests of the serving gate."""

from figdrum.core import states
from figdrum.routing import drop_reason
from figdrum.routing import serving


class _Freshness:
    """Answers as it is told."""

    def __init__(self, can_serve=False, behind=False):
        self.can_serve = can_serve
        self._behind = behind

    def is_behind(self, now_ms):
        """Answers the same at any time."""
        del now_ms
        return self._behind


def test_stopping_goes_on_forwarding():
    """Guards against packets dropped while the balancer lingers."""
    gate = serving.ServingGate(_Freshness(can_serve=True))
    gate.stop()
    assert gate.state is states.ServingState.STOPPING
    assert gate.drop_reason(0) is None


def test_a_fresh_balancer_does_not_serve_by_stopping():
    """Guards against routing with an empty replica during a stop."""
    gate = serving.ServingGate(_Freshness())
    assert gate.state is states.ServingState.STARTING
    gate.stop()
    assert gate.drop_reason(0) is drop_reason.DropReason.NOT_SERVING


def test_behind_drops():
    """Guards against routing by a state that is known to be old."""
    gate = serving.ServingGate(_Freshness(can_serve=True, behind=True))
    assert gate.drop_reason(0) is drop_reason.DropReason.BEHIND
