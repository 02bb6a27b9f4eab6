"""Runs a target's requests in its slots."""

import collections
import collections.abc
import random
import typing

from figdrum.core import clock
from standins import ledger
from standins import target_state
from standins import warmth


class Job:
    """A request that waits or runs.

    Attributes:
      entry: What the ledger will hold.
      on_done: Called at the end of the run.
      on_late: Called at the deadline with whether the run had started.
      row: Place in the ledger, or -1 before the start.
      timers: Delayed calls that end with the job.
    """

    def __init__(self, entry: ledger.LedgerEntry,
                 on_done: collections.abc.Callable[[], None],
                 on_late: collections.abc.Callable[[bool], None]):
        self.entry = entry
        self.on_done = on_done
        self.on_late = on_late
        self.row = -1
        self.timers: list[typing.Any] = []


class TargetWork:
    """Slots, a queue and the ledger of a target.

    Attributes:
      entries: The ledger.
      warmth: How much load it bears.
      state: What it is told to be.
      refused: Requests refused without a run.
    """

    def __init__(self, slots: int, queue: int, target_warmth: warmth.Warmth,
                 system_clock: clock.Clock, timers: typing.Any,
                 rng: random.Random):
        self.entries: list[ledger.LedgerEntry] = []
        self.warmth = target_warmth
        self.state = target_state.TargetState()
        self.refused = 0
        self._slots = slots
        self._queue_limit = queue
        self._clock = system_clock
        self._timers = timers
        self._rng = rng
        self._queue: collections.deque[Job] = collections.deque()
        self._running: set[Job] = set()

    @property
    def running(self) -> int:
        """Requests in progress."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    @property
    def utilisation(self) -> float:
        """Share of slots and queue in use."""
        return (self.running + self.queued) / (self._slots + self._queue_limit)

    def submit(self, job: Job, deadline_ms: int | None) -> bool:
        """Takes a request, or returns False when it will not run."""
        is_full = (self.running >= self._slots and
                   self.queued >= self._queue_limit)
        is_late = deadline_ms is not None and deadline_ms <= 0
        if (self.state.draining or is_full or is_late or
                self._rng.random() < self.state.shedding):
            self.refused += 1
            return False
        if deadline_ms is not None:
            job.timers.append(
                self._timers.callLater(deadline_ms / clock.MS_PER_S, self._late,
                                       job))
        self._queue.append(job)
        self._fill_slots()
        return True

    def cancel(self, job: Job) -> bool:
        """Ends a job before its time and returns whether it had started."""
        self._stop_timers(job)
        if job in self._running:
            self._running.discard(job)
            self._write(job, ledger.Outcome.CUT)
            self._fill_slots()
        elif job in self._queue:
            self._queue.remove(job)
        return job.row >= 0

    def misrouted(self, entry: ledger.LedgerEntry) -> None:
        """Records a request meant for another service."""
        now_ms = self._clock.wall_ms()
        self.entries.append(
            entry._replace(start_ms=now_ms,
                           end_ms=now_ms,
                           outcome=ledger.Outcome.MISROUTED))

    def _fill_slots(self) -> None:
        while self._queue and self.running < self._slots:
            self._start(self._queue.popleft())

    def _start(self, job: Job) -> None:
        self._running.add(job)
        job.row = len(self.entries)
        self.entries.append(job.entry._replace(start_ms=self._clock.wall_ms()))
        stalls = self.warmth.on_start(self._clock.now_ms())
        work_ms = self.state.stall_ms if stalls else self.state.work_ms
        job.timers.append(
            self._timers.callLater(work_ms / clock.MS_PER_S, self._finish, job))

    def _finish(self, job: Job) -> None:
        self._stop_timers(job)
        self._running.discard(job)
        self.warmth.on_completion()
        self._write(job, ledger.Outcome.DONE)
        job.on_done()
        self._fill_slots()

    def _late(self, job: Job) -> None:
        job.on_late(self.cancel(job))

    def _write(self, job: Job, outcome: ledger.Outcome) -> None:
        self.entries[job.row] = self.entries[job.row]._replace(
            end_ms=self._clock.wall_ms(), outcome=outcome)

    def _stop_timers(self, job: Job) -> None:
        for timer in job.timers:
            if timer.active():
                timer.cancel()
        job.timers.clear()
