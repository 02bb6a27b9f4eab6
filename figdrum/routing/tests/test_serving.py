"""Tests of the serving gate."""

from figdrum.core import states
from figdrum.routing import drop_reason
from figdrum.routing import serving


def _serving_gate():
    gate = serving.ServingGate()
    gate.start()
    return gate


def test_later_names_do_not_extend_the_limit():
    """Guards against a balancer that stays behind for ever while changes keep
    coming."""
    gate = _serving_gate()
    for now in range(0, 8000, 100):
        gate.on_newer_change(now, 10 + now // 100)
    assert gate.drop_reason(7000) is None
    assert gate.drop_reason(7001) is drop_reason.DropReason.BEHIND
    gate.on_applied(change=11, revision=0)
    assert gate.behind_ms(7001) == 6801
    gate.on_applied(change=1000, revision=0)
    assert gate.drop_reason(100_000) is None


def test_old_numbers_do_not_count():
    """Guards against dropping packets because another node is behind."""
    gate = _serving_gate()
    gate.on_applied(change=5, revision=50)
    gate.on_newer_change(0, 5)
    gate.on_newer_revision(0, 49)
    assert gate.drop_reason(60_000) is None


def test_stopping_goes_on_forwarding():
    """Guards against packets dropped while the balancer lingers."""
    gate = _serving_gate()
    gate.stop()
    gate.start()
    assert gate.state is states.ServingState.STOPPING
    assert gate.drop_reason(0) is None


def test_a_fresh_balancer_does_not_serve_by_stopping():
    """Guards against routing with an empty replica during a stop."""
    gate = serving.ServingGate()
    gate.stop()
    assert gate.drop_reason(0) is drop_reason.DropReason.NOT_SERVING
