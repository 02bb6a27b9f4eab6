"""Queues requests for the target's slots.

Explanation
===========

A target runs up to `slots` requests concurrently. Further requests wait in a
bounded queue, ordered by contract rank and then by arrival. A request that is
not expected to finish by its deadline is refused immediately. When the queue is
full, a request of a better rank displaces the last one.

Examples
========

>>> queue = SlotQueue(slots=1, capacity=1)
>>> queue.offer(0, SlotRequest('a', 5, 9000), 100).outcome
<OfferOutcome.QUEUED: 'queued'>
>>> queue.pop(0).name
'a'
>>> queue.offer(0, SlotRequest('b', 5, 150), 100).outcome
<OfferOutcome.TOO_LATE: 'too-late'>
>>> queue.offer(0, SlotRequest('c', 5, 9000), 100).outcome
<OfferOutcome.QUEUED: 'queued'>
>>> queue.offer(0, SlotRequest('d', 1, 9000), 100)
OfferResult(outcome=<OfferOutcome.QUEUED: 'queued'>, \
displaced=SlotRequest(name='c', rank=5, deadline_at_ms=9000))
"""

import bisect
import collections.abc
import enum
import typing

from figdrum.core import clock


class OfferOutcome(enum.Enum):
    """Whether an offered request was queued, or why it was refused."""
    QUEUED = 'queued'
    FULL = 'full'
    TOO_LATE = 'too-late'


class SlotRequest(typing.NamedTuple):
    """A request as offered to the queue.

    Attributes:
      name: Identifies the request; any hashable value.
      rank: Rank of the customer's contract; rank 1 is served first.
      deadline_at_ms: Time after which a response is useless.
    """
    name: collections.abc.Hashable
    rank: int
    deadline_at_ms: int


class OfferResult(typing.NamedTuple):
    """Result of `SlotQueue.offer`.

    Attributes:
      outcome: Whether the request was queued.
      displaced: A waiting request that was removed for this one, or None.
    """
    outcome: OfferOutcome
    displaced: SlotRequest | None = None


class SlotQueue:
    """Requests in progress and requests that wait for a slot.

    Args:
      slots: Maximum number of requests in progress.
      capacity: Maximum number of requests that wait while no slot is free.
    """

    def __init__(self, slots: int, capacity: int):
        self._slots = slots
        self._capacity = capacity
        self._waiting: list[tuple[int, int, SlotRequest]] = []
        self._running: set[collections.abc.Hashable] = set()
        self._arrivals = 0

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    @property
    def utilisation(self) -> float:
        """Fraction of slots and queue places in use; 1 if there are none."""
        room = self._slots + self._capacity
        return (self.running + self.waiting) / room if room else 1.0

    def offer(self,
              now_ms: int,
              request: SlotRequest,
              expected_run_ms: int,
              rate: float | None = None) -> OfferResult:
        """Queues a request or refuses it.

        Args:
          now_ms: Current time.
          request: The request.
          expected_run_ms: Expected time from the start to the response.
          rate: Maximum starts per second; None means unlimited.
        """
        ahead = bisect.bisect_right(self._waiting,
                                    request.rank,
                                    key=_entry_rank)
        start_ms = now_ms + self._wait_ms(ahead, expected_run_ms, rate)
        if start_ms + expected_run_ms > request.deadline_at_ms:
            return OfferResult(OfferOutcome.TOO_LATE)
        displaced = None
        if self.waiting >= self._capacity + self._free_slots():
            if not self._waiting or self._waiting[-1][0] <= request.rank:
                return OfferResult(OfferOutcome.FULL)
            displaced = self._waiting.pop()[2]
        self._arrivals += 1
        self._waiting.insert(ahead, (request.rank, self._arrivals, request))
        return OfferResult(OfferOutcome.QUEUED, displaced)

    def pop(self, now_ms: int) -> SlotRequest | None:
        """Starts the first waiting request if a slot is free.

        Requests past their deadline are skipped; `pop_expired` removes them.
        """
        if not self._free_slots():
            return None
        for i, (_, _, request) in enumerate(self._waiting):
            if request.deadline_at_ms > now_ms:
                del self._waiting[i]
                self._running.add(request.name)
                return request
        return None

    def pop_expired(self,
                    now_ms: int,
                    expected_run_ms: int = 0) -> tuple[SlotRequest, ...]:
        """Removes and returns the waiting requests that are too late to start.

        Args:
          now_ms: Current time.
          expected_run_ms: Expected time from the start to the response.
        """
        limit_ms = now_ms + expected_run_ms
        late = tuple(request for _, _, request in self._waiting
                     if request.deadline_at_ms <= limit_ms)
        self._waiting = [
            entry for entry in self._waiting
            if entry[2].deadline_at_ms > limit_ms
        ]
        return late

    def finish(self, name: collections.abc.Hashable) -> None:
        """Frees the slot of the request `name`."""
        self._running.discard(name)

    def cancel(self, name: collections.abc.Hashable) -> bool:
        """Removes a waiting request; returns False if it is not waiting."""
        before = len(self._waiting)
        self._waiting = [
            entry for entry in self._waiting if entry[2].name != name
        ]
        return len(self._waiting) < before

    def _free_slots(self) -> int:
        return max(0, self._slots - self.running)

    def _wait_ms(self, ahead: int, expected_run_ms: int,
                 rate: float | None) -> int:
        before = self.running + ahead - self._slots + 1
        rounds = -(-before // self._slots) if before > 0 else 0
        wait_ms = rounds * expected_run_ms
        if rate:
            wait_ms = max(wait_ms, int(ahead // rate) * clock.MS_PER_S)
        return wait_ms


def _entry_rank(entry: tuple[int, int, SlotRequest]) -> int:
    return entry[0]
