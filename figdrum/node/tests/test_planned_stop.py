"""A balancer that is told to stop goes on until its packets come elsewhere.

The network notices a failed readiness check only after two of them, and the
packets of that time must not be lost.
"""

import types

import pytest

from figdrum.core import clock as clock_module
from figdrum.node import balancer_process

STOP_S = 6
TICK_MS = 250

# Time in ms until the network sends no more packets: two readiness checks,
# 500 ms apart, and the time-out of the second.
REMOVAL_MS = 1_000


class _Process(balancer_process.BalancerProcess):
    """A balancer process without sockets, in virtual time."""

    # The sockets and the store are what the base class adds.
    # pylint: disable-next=super-init-not-called
    def __init__(self):
        self.cfg = types.SimpleNamespace(balancer=types.SimpleNamespace(
            stop_s=STOP_S))
        self.clock = clock_module.ManualClock(100_000)
        self.log = types.SimpleNamespace(write=lambda *_, **__: None)
        self.stopped_ms: int | None = None
        self.forwarded: list[int] = []
        self._stop_requested_ms = None
        self._last_packet_ms = self.clock.now_ms()
        self._balancer = types.SimpleNamespace(
            is_ready=True,
            on_client_packet=lambda now_ms, _: self.forwarded.append(now_ms
                                                                    ) or [])

    def stop(self) -> None:
        self.stopped_ms = self.clock.now_ms()

    def _execute(self, result) -> None:
        assert not result

    def run_for(self, time_ms: int, packet_period_ms: int = 0) -> None:
        """Lets time pass, with a packet each period, until the process ends."""
        for elapsed_ms in range(10, time_ms + 10, 10):
            if self.stopped_ms is not None:
                return
            self.clock.advance(10)
            if packet_period_ms and not elapsed_ms % packet_period_ms:
                self._on_packet(b'', ('', 0))
            if not elapsed_ms % TICK_MS and self._stop_requested_ms is not None:
                self._stop_when_idle(self.clock.now_ms())

    @property
    def is_ready(self) -> bool:
        """What the readiness check answers."""
        return self._is_ready()


@pytest.fixture(name='process')
def _process() -> _Process:
    return _Process()


def test_stopping_balancer_is_not_ready_but_forwards_packets(process):
    process.on_stop()
    assert not process.is_ready
    process.run_for(REMOVAL_MS, packet_period_ms=100)
    assert process.stopped_ms is None
    assert len(process.forwarded) == REMOVAL_MS // 100


def test_idle_balancer_stops_only_after_the_network_has_noticed(process):
    started_ms = process.clock.now_ms()
    process.on_stop()
    process.run_for(STOP_S * 1_000)
    assert REMOVAL_MS < process.stopped_ms - started_ms < STOP_S * 1_000


# Packets of clients whose router lags must not be lost either.
def test_balancer_with_packets_stops_once_they_have_ceased(process):
    process.on_stop()
    process.run_for(3_000, packet_period_ms=100)
    assert process.stopped_ms is None
    last_ms = process.forwarded[-1]
    process.run_for(1_000)
    assert last_ms < process.stopped_ms <= last_ms + 1_000


# After this time the platform kills the process.
def test_balancer_ends_by_itself_before_it_is_killed(process):
    started_ms = process.clock.now_ms()
    process.on_stop()
    process.run_for(STOP_S * 1_000, packet_period_ms=100)
    assert process.stopped_ms - started_ms < STOP_S * 1_000


def test_second_signal_does_not_put_the_end_off(process):
    process.on_stop()
    started_ms = process.clock.now_ms()
    process.run_for(STOP_S * 500, packet_period_ms=100)
    process.on_stop()
    process.run_for(STOP_S * 1_000, packet_period_ms=100)
    assert process.stopped_ms - started_ms < STOP_S * 1_000
