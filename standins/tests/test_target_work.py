"""Tests of a target's slots, warmth and ledger in virtual time."""

import random

import pytest
from twisted.internet import task

from figdrum.core import clock
from standins import ledger
from standins import target_work
from standins import warmth

_WORK_MS = 5.0


class _TaskClock(clock.Clock):
    """Reads the time of a virtual reactor."""

    def __init__(self, timers):
        self._timers = timers

    def now_ms(self):
        return round(self._timers.seconds() * clock.MS_PER_S)

    def wall_ms(self):
        return self.now_ms()


class _TargetHarness:
    """A target's work in virtual time, with the callbacks of its jobs."""

    def __init__(self, slots=1, queue=2, cold_rate=100.0):
        self.timers = task.Clock()
        self.warmth = warmth.Warmth(cold_rate, 1000.0)
        self.work = target_work.TargetWork(slots, queue, self.warmth,
                                           _TaskClock(self.timers), self.timers,
                                           random.Random(1))
        self.callbacks = []

    def submit(self, name, deadline_ms=None):
        """Submits a job and returns it with whether it was accepted."""
        entry = ledger.LedgerEntry('t', name, 's', 'c', 'POST', '/', 0)
        job = target_work.Job(
            entry, lambda: self.callbacks.append(f'{name} done'),
            lambda started: self.callbacks.append(f'{name} late {started}'))
        return job, self.work.submit(job, deadline_ms)

    def advance(self, delta_ms):
        """Moves the time forward in steps of 1 ms."""
        self.timers.pump([0.001] * round(delta_ms))

    def outcomes(self):
        """Returns the ledger as (key, outcome)."""
        return [(e.key, e.outcome.value) for e in self.work.entries]


@pytest.fixture(name='harness')
def fixture_bench():
    """Returns a target with one slot and a queue of two."""
    return _TargetHarness()


def test_slots_and_queue_are_bounded(harness):
    """Guards against more work in progress than the target has slots."""
    taken = [harness.submit(name)[1] for name in 'abcd']
    assert taken == [True, True, True, False]
    assert (harness.work.running, harness.work.queued) == (1, 2)
    harness.advance(3 * _WORK_MS + 1)
    assert harness.callbacks == ['a done', 'b done', 'c done']
    assert harness.outcomes() == [(name, 'done') for name in 'abc']


def test_deadline_aborts_a_run_and_skips_a_queued_one(harness):
    """Guards against did-not-run for a request that had started."""
    harness.submit('a', 3)
    harness.submit('b', 2)
    harness.advance(20)
    assert harness.callbacks == ['b late False', 'a late True']
    assert harness.outcomes() == [('a', 'cut')]
    assert not harness.submit('c', 0)[1]


def test_cancel_frees_the_slot(harness):
    """Guards against a slot that a caller who left holds forever."""
    first, _ = harness.submit('a')
    second, _ = harness.submit('b')
    assert harness.work.cancel(first)
    assert harness.work.running == 1
    assert harness.work.cancel(second)
    queued = [harness.submit(name)[0] for name in 'xy'][1]
    assert not harness.work.cancel(queued)
    harness.advance(20)
    assert harness.callbacks == ['x done']
    assert harness.outcomes() == [('a', 'cut'), ('b', 'cut'), ('x', 'done')]


def test_draining_and_shedding_refuse(harness):
    """Guards against refused requests that the ledger lists as run."""
    for change in ({'draining': True}, {'shedding': 1.0}):
        harness.work.state = harness.work.state.changed(change)
        assert not harness.submit('a')[1]
    assert harness.work.refused == 2
    assert not harness.outcomes()
    with pytest.raises(ValueError):
        harness.work.state.changed({'drain': True})


def test_cold_target_collapses_and_recovers():
    """Guards against a target that handles any load while cold (P3)."""
    harness = _TargetHarness(slots=2, queue=10, cold_rate=4.0)
    for name in 'abcdefghijkl':
        harness.submit(name)
    harness.advance(100)
    assert harness.warmth.collapses == 1
    assert 0 < len(harness.callbacks) < 12
    harness.advance(20_000)
    assert len(harness.callbacks) == 12
    harness.submit('z')
    harness.advance(_WORK_MS + 1)
    assert harness.callbacks[-1] == 'z done'


def test_bearable_rate_grows_with_completions():
    """Guards against a target that warms up by time alone."""
    target = warmth.Warmth(2.0, 10.0)
    for now_ms in range(0, 10_000, 1000):
        assert not target.on_start(now_ms)
    assert target.rate == 2.0
    for _ in range(16):
        target.on_completion()
    assert not target.is_cold
    assert not any(target.on_start(20_000) for _ in range(100))
    target.reset()
    assert target.is_cold
