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


class _Bench:
    """A target's work and what its jobs were told."""

    def __init__(self, slots=1, queue=2, cold_rate=100.0):
        self.timers = task.Clock()
        self.warmth = warmth.Warmth(cold_rate, 1000.0)
        self.work = target_work.TargetWork(slots, queue, self.warmth,
                                           _TaskClock(self.timers), self.timers,
                                           random.Random(1))
        self.told = []

    def submit(self, name, deadline_ms=None):
        """Submits a job and returns it with whether it was taken."""
        entry = ledger.LedgerEntry('t', name, 's', 'c', 'POST', '/', 0)
        job = target_work.Job(
            entry, lambda: self.told.append(f'{name} done'),
            lambda started: self.told.append(f'{name} late {started}'))
        return job, self.work.submit(job, deadline_ms)

    def advance(self, delta_ms):
        """Moves the time forward in steps of 1 ms."""
        self.timers.pump([0.001] * round(delta_ms))

    def outcomes(self):
        """Returns the ledger as (key, outcome)."""
        return [(e.key, e.outcome.value) for e in self.work.entries]


@pytest.fixture(name='bench')
def fixture_bench():
    """Returns a target with one slot and two places in its queue."""
    return _Bench()


def test_slots_and_queue_are_bounded(bench):
    """Guards against more work in progress than the target has slots."""
    taken = [bench.submit(name)[1] for name in 'abcd']
    assert taken == [True, True, True, False]
    assert (bench.work.running, bench.work.queued) == (1, 2)
    bench.advance(3 * _WORK_MS + 1)
    assert bench.told == ['a done', 'b done', 'c done']
    assert bench.outcomes() == [(name, 'done') for name in 'abc']


def test_deadline_cuts_a_run_and_skips_a_queued_one(bench):
    """Guards against did-not-run for a request that had started."""
    bench.submit('a', 3)
    bench.submit('b', 2)
    bench.advance(20)
    assert bench.told == ['b late False', 'a late True']
    assert bench.outcomes() == [('a', 'cut')]
    assert not bench.submit('c', 0)[1]


def test_cancel_frees_the_slot(bench):
    """Guards against a slot that a caller who left holds for ever."""
    first, _ = bench.submit('a')
    second, _ = bench.submit('b')
    assert bench.work.cancel(first)
    assert bench.work.running == 1
    assert bench.work.cancel(second)
    queued = [bench.submit(name)[0] for name in 'xy'][1]
    assert not bench.work.cancel(queued)
    bench.advance(20)
    assert bench.told == ['x done']
    assert bench.outcomes() == [('a', 'cut'), ('b', 'cut'), ('x', 'done')]


def test_draining_and_shedding_refuse(bench):
    """Guards against refused requests that show up as run."""
    for change in ({'draining': True}, {'shedding': 1.0}):
        bench.work.state = bench.work.state.changed(change)
        assert not bench.submit('a')[1]
    assert bench.work.refused == 2
    assert not bench.outcomes()
    with pytest.raises(ValueError):
        bench.work.state.changed({'drain': True})


def test_cold_target_collapses_and_recovers():
    """Guards against a target that bears any load while cold (P3)."""
    bench = _Bench(slots=2, queue=10, cold_rate=4.0)
    for name in 'abcdefghijkl':
        bench.submit(name)
    bench.advance(100)
    assert bench.warmth.collapses == 1
    assert 0 < len(bench.told) < 12
    bench.advance(20_000)
    assert len(bench.told) == 12
    bench.submit('z')
    bench.advance(_WORK_MS + 1)
    assert bench.told[-1] == 'z done'


def test_bearable_rate_grows_with_completions():
    """Guards against a target that warms by time alone."""
    target = warmth.Warmth(2.0, 10.0)
    for now_ms in range(0, 10_000, 1000):
        assert not target.on_start(now_ms)
    assert target.rate == 2.0
    for _ in range(16):
        target.on_completion()
    assert not target.is_cold
    assert not any(target.on_start(20_000) for _ in range(100))
    target.cool()
    assert target.is_cold
