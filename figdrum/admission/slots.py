"""Queues requests for the target's slots.

Explanation
===========

A target runs `slots` requests at once. Others wait in a bounded queue, ordered
by contract rank and then by arrival. A request that cannot start in time for
its deadline is refused at once and not kept waiting, and a full queue gives up
its last entry for a request of a better rank.

Examples
========

>>> queue = SlotQueue(slots=1, capacity=1)
>>> queue.offer(0, Ticket('a', 5, 9000), 100).verdict
<Verdict.QUEUED: 'queued'>
>>> queue.pop(0).name
'a'
>>> queue.offer(0, Ticket('b', 5, 150), 100).verdict
<Verdict.TOO_LATE: 'too-late'>
>>> queue.offer(0, Ticket('c', 5, 9000), 100).verdict
<Verdict.QUEUED: 'queued'>
>>> queue.offer(0, Ticket('d', 1, 9000), 100)
Offer(verdict=<Verdict.QUEUED: 'queued'>, displaced=Ticket(name='c', rank=5, \
deadline_at_ms=9000))
"""

import bisect
import collections.abc
import enum
import typing

from figdrum.core import clock


class Verdict(enum.Enum):
    """What became of an offered request."""
    QUEUED = 'queued'
    FULL = 'full'
    TOO_LATE = 'too-late'


class Ticket(typing.NamedTuple):
    """A request's place.

    Attributes:
      name: Identifies the request; any hashable value.
      rank: Rank of the customer's contract, 1 is served first.
      deadline_at_ms: Time by which the answer is of use.
    """
    name: collections.abc.Hashable
    rank: int
    deadline_at_ms: int


class Offer(typing.NamedTuple):
    """Result of an offer; `displaced` is an entry that lost its place."""
    verdict: Verdict
    displaced: Ticket | None = None


class SlotQueue:
    """Requests in progress and those that wait for a slot."""

    def __init__(self, slots: int, capacity: int):
        self._slots = slots
        self._capacity = capacity
        self._waiting: list[tuple[int, int, Ticket]] = []
        self._running: set[collections.abc.Hashable] = set()
        self._arrivals = 0

    @property
    def running(self) -> int:
        """Requests in progress."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    @property
    def utilisation(self) -> float:
        """Share of slots and queue places in use."""
        room = self._slots + self._capacity
        return (self.running + self.waiting) / room if room else 1.0

    def offer(self,
              now_ms: int,
              ticket: Ticket,
              expected_run_ms: int,
              rate: float | None = None) -> Offer:
        """Takes a request into the queue or refuses it.

        Args:
          now_ms: Time.
          ticket: The request.
          expected_run_ms: Usual time from start to answer.
          rate: Starts a second that the target may get; None is no limit.
        """
        ahead = bisect.bisect_right(self._waiting, ticket.rank, key=_rank)
        start_ms = now_ms + self._wait_ms(ahead, expected_run_ms, rate)
        if start_ms + expected_run_ms > ticket.deadline_at_ms:
            return Offer(Verdict.TOO_LATE)
        displaced = None
        if self.waiting >= self._capacity + self._free():
            if not self._waiting or self._waiting[-1][0] <= ticket.rank:
                return Offer(Verdict.FULL)
            displaced = self._waiting.pop()[2]
        self._arrivals += 1
        self._waiting.insert(ahead, (ticket.rank, self._arrivals, ticket))
        return Offer(Verdict.QUEUED, displaced)

    def pop(self, now_ms: int) -> Ticket | None:
        """Starts the first waiting request if a slot is free.

        Requests past their deadline stay for `pop_expired`.
        """
        if not self._free():
            return None
        for i, (_, _, ticket) in enumerate(self._waiting):
            if ticket.deadline_at_ms > now_ms:
                del self._waiting[i]
                self._running.add(ticket.name)
                return ticket
        return None

    def pop_expired(self,
                    now_ms: int,
                    expected_run_ms: int = 0) -> tuple[Ticket, ...]:
        """Removes and returns the waiting requests that cannot be answered in
        time any more."""
        limit_ms = now_ms + expected_run_ms
        late = tuple(ticket for _, _, ticket in self._waiting
                     if ticket.deadline_at_ms <= limit_ms)
        self._waiting = [
            entry for entry in self._waiting
            if entry[2].deadline_at_ms > limit_ms
        ]
        return late

    def finish(self, name: collections.abc.Hashable) -> None:
        """Frees the slot of a request."""
        self._running.discard(name)

    def cancel(self, name: collections.abc.Hashable) -> bool:
        """Removes a waiting request; returns False if it does not wait."""
        before = len(self._waiting)
        self._waiting = [
            entry for entry in self._waiting if entry[2].name != name
        ]
        return len(self._waiting) < before

    def _free(self) -> int:
        return max(0, self._slots - self.running)

    def _wait_ms(self, ahead: int, expected_run_ms: int,
                 rate: float | None) -> int:
        before = self.running + ahead - self._slots + 1
        rounds = -(-before // self._slots) if before > 0 else 0
        wait_ms = rounds * expected_run_ms
        if rate:
            wait_ms = max(wait_ms, int(ahead // rate) * clock.MS_PER_S)
        return wait_ms


def _rank(entry: tuple[int, int, Ticket]) -> int:
    return entry[0]
