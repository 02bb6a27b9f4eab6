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
      entry: Entry that the ledger gets when the run starts.
      on_done: Called at the end of the run.
      on_deadline: Called at the deadline with whether the run had started.
      ledger_index: Index in the ledger, or -1 before the start.
      timers: Delayed calls that are cancelled when the job ends.
    """

    def __init__(self, entry: ledger.LedgerEntry,
                 on_done: collections.abc.Callable[[], None],
                 on_deadline: collections.abc.Callable[[bool], None]):
        self.entry = entry
        self.on_done = on_done
        self.on_deadline = on_deadline
        self.ledger_index = -1
        self.timers: list[typing.Any] = []


class TargetWork:
    """Slots, a queue and the ledger of a target.

    Attributes:
      entries: The ledger.
      warmth: Rate of starts that it can handle.
      state: Its settings, as set over `/control`.
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
        """Starts or queues a request; returns False if it is refused."""
        is_full = (self.running >= self._slots and
                   self.queued >= self._queue_limit)
        is_late = deadline_ms is not None and deadline_ms <= 0
        if (self.state.draining or is_full or is_late or
                self._rng.random() < self.state.shedding):
            self.refused += 1
            return False
        if deadline_ms is not None:
            job.timers.append(
                self._timers.callLater(deadline_ms / clock.MS_PER_S,
                                       self._on_deadline, job))
        self._queue.append(job)
        self._fill_slots()
        return True

    def cancel(self, job: Job) -> bool:
        """Aborts a job and returns whether it had started."""
        self._stop_timers(job)
        if job in self._running:
            self._running.discard(job)
            self._record_end(job, ledger.Outcome.CUT)
            self._fill_slots()
        elif job in self._queue:
            self._queue.remove(job)
        return job.ledger_index >= 0

    def record_misrouted(self, entry: ledger.LedgerEntry) -> None:
        """Records a request that was meant for another service."""
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
        job.ledger_index = len(self.entries)
        self.entries.append(job.entry._replace(start_ms=self._clock.wall_ms()))
        stalls = self.warmth.on_start(self._clock.now_ms())
        work_ms = self.state.stall_ms if stalls else self.state.work_ms
        job.timers.append(
            self._timers.callLater(work_ms / clock.MS_PER_S, self._finish, job))

    def _finish(self, job: Job) -> None:
        self._stop_timers(job)
        self._running.discard(job)
        self.warmth.on_completion()
        self._record_end(job, ledger.Outcome.DONE)
        job.on_done()
        self._fill_slots()

    def _on_deadline(self, job: Job) -> None:
        job.on_deadline(self.cancel(job))

    def _record_end(self, job: Job, outcome: ledger.Outcome) -> None:
        self.entries[job.ledger_index] = self.entries[
            job.ledger_index]._replace(end_ms=self._clock.wall_ms(),
                                       outcome=outcome)

    def _stop_timers(self, job: Job) -> None:
        for timer in job.timers:
            if timer.active():
                timer.cancel()
        job.timers.clear()
