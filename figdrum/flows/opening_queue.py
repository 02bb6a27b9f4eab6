"""Orders the opening packets that wait for a slot of an agent's target.

Explanation
===========

An opening packet waits at the agent instead of in the target's own queue. There
the order is by arrival, and a request that finds no place is answered with 503.

Packets whose requests can still be answered within their latency target go
first, by priority and then by the time left. The others are served while the
target has nothing better to do.

If more packets wait than the target can serve within the shortest latency
target, that order would answer each request just too late. The newest packet of
a priority then goes first, and each fourth slot goes to the newest packet of
any priority, so that no class is kept out while the overload lasts.

A client sends copies of an opening packet, and a copy may reach another target.
So a packet leaves the queue early enough for its target to accept it before the
next copy is due.

Examples
========

>>> queue = OpeningQueue()
>>> lookups, streams = routes.RequestClass(1, 300), routes.RequestClass(2, 300)
>>> for key, request_class in ((b'one', streams), (b'two', lookups)):
...     packet = segment.Segment(b'', key)
...     queue.add(Opening(0, packet, 7, False, request_class))
>>> queue.first(10, 20).segment.key
b'two'
>>> [opening.segment.key for opening in queue.take_due(140)]
[b'one', b'two']
"""

import collections.abc

from figdrum.core import ids
from figdrum.flows import routes
from figdrum.flows import segment

# Time in ms that a target needs to accept an opening packet; see
# `agent_openings.ACCEPT_TIMEOUT_MS`.
ACCEPT_TIMEOUT_MS = 60

# Share of the latency target after which a packet goes before those of more
# urgent classes. The rest is left for the work and the round trips.
MAX_YIELD_SHARE = 0.75

# One of this many packets is chosen without regard to priority in an overload.
FAIR_TURN = 4

# Opening packets that wait at most. Each takes about 500 bytes, and a target of
# one slot serves fewer in the time for which one may wait.
MAX_WAITING = 64


class Opening:
    """An opening packet that no target may decline.

    Attributes:
      segment: The packet.
      tag: Tag of its service.
      is_idempotent: Whether the flow's requests can be repeated.
      request_class: What the flow's callers need.
      origins: Balancers that have forwarded it.
      arrived_ms: Time of its arrival.
      opened_ms: Time at which the client sent its first copy, as far as the
        number of copies tells.
    """
    __slots__ = ('segment', 'tag', 'is_idempotent', 'request_class', 'origins',
                 'arrived_ms', 'opened_ms')

    def __init__(self, now_ms: int, packet: segment.Segment, tag: int,
                 is_idempotent: bool, request_class: routes.RequestClass):
        self.segment = packet
        self.tag = tag
        self.is_idempotent = is_idempotent
        self.request_class = request_class
        self.origins: set[ids.Address] = set()
        self.arrived_ms = now_ms
        self.opened_ms = now_ms - segment.OPENING_TIMES_MS[self.copies]

    def continue_wait(self, earlier: 'Opening') -> None:
        """Takes over the age and the balancers of an earlier copy."""
        self.opened_ms = min(self.opened_ms, earlier.opened_ms)
        self.origins |= earlier.origins

    @property
    def copies(self) -> int:
        """Number of earlier copies, at most that of the last one."""
        return min(self.segment.ack, len(segment.OPENING_TIMES_MS) - 1)

    @property
    def is_last_copy(self) -> bool:
        """Whether the client sends no further copy."""
        return self.copies == len(segment.OPENING_TIMES_MS) - 1

    @property
    def answer_limit_ms(self) -> int:
        """Time by which its request has to be answered."""
        cls = self.request_class
        return self.opened_ms + (cls.latency_target_ms or cls.timeout_ms or
                                 segment.OPENING_TIMEOUT_MS)

    @property
    def handover_limit_ms(self) -> int:
        """Time by which the target has to get this copy."""
        next_ms = (segment.OPENING_TIMEOUT_MS if self.is_last_copy else
                   segment.OPENING_TIMES_MS[self.copies + 1])
        return self.opened_ms + next_ms - ACCEPT_TIMEOUT_MS

    @property
    def give_up_ms(self) -> int:
        """Time at which the client gives the request up, at the latest."""
        return self.opened_ms + (self.request_class.timeout_ms or
                                 segment.OPENING_TIMEOUT_MS)

    def is_late(self, start_ms: float, work_ms: float) -> bool:
        """Returns whether a request that starts then is answered too late.

        Args:
          start_ms: Time at which the target starts to work on it.
          work_ms: Time that the target needs.
        """
        return start_ms + work_ms > self.answer_limit_ms

    def rank(self, now_ms: int, work_ms: float) -> tuple[bool, int, int]:
        """Returns the place in the queue; the least one goes first."""
        limit_ms = self.answer_limit_ms
        yield_ms = MAX_YIELD_SHARE * (limit_ms - self.opened_ms)
        has_waited_long = now_ms - self.opened_ms >= yield_ms
        return (self.is_late(now_ms, work_ms),
                -1 if has_waited_long else self.request_class.priority,
                limit_ms)

    def overload_rank(self, now_ms: int, work_ms: float,
                      has_fair_turn: bool) -> tuple[bool, int, int]:
        """Returns the place in the queue during an overload.

        Args:
          now_ms: Time.
          work_ms: Time that the target works on a request.
          has_fair_turn: Whether priorities do not count this time.
        """
        return (self.is_late(now_ms, work_ms),
                0 if has_fair_turn else self.request_class.priority,
                -self.opened_ms)


_Rank = collections.abc.Callable[[Opening], tuple[bool, int, int]]


class OpeningQueue:
    """Opening packets that wait for a slot.

    A packet that has waited for long goes first, so that a crowd of a more
    urgent class does not keep the others out.

    Attributes:
      slots: Requests that the target processes in parallel.
    """

    def __init__(self):
        self._by_key: dict[bytes, Opening] = {}
        self._taken_count = 0
        self.slots = 1

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, opening: Opening) -> None:
        """Adds a packet; replaces another one of the same address and port."""
        self._by_key[opening.segment.key] = opening

    def remove(self, key: bytes) -> Opening | None:
        """Removes and returns the packet of a flow, or None."""
        return self._by_key.pop(key, None)

    def is_overloaded(self, work_ms: float) -> bool:
        """Returns whether not all packets can be served in time.

        Args:
          work_ms: Time that the target works on a request.
        """
        shortest_ms = min((opening.answer_limit_ms - opening.opened_ms
                           for opening in self._by_key.values()),
                          default=0)
        return len(self._by_key) * work_ms / self.slots > shortest_ms

    def first(self, now_ms: int, work_ms: float) -> Opening | None:
        """Returns the packet to hand to the target next, or None.

        Args:
          now_ms: Time.
          work_ms: Time that the target works on a request.
        """
        return min(self._by_key.values(),
                   key=self._rank(now_ms, work_ms),
                   default=None)

    def take_first(self, now_ms: int, work_ms: float) -> Opening | None:
        """Removes and returns the packet that goes next, or None."""
        opening = self.first(now_ms, work_ms)
        if opening is not None:
            del self._by_key[opening.segment.key]
            self._taken_count += 1
        return opening

    def take_last(self, now_ms: int, work_ms: float) -> Opening:
        """Removes and returns the packet that gives way to others."""
        last = max(self._by_key.values(), key=self._rank(now_ms, work_ms))
        return self._by_key.pop(last.segment.key)

    def count_before(self, now_ms: int, work_ms: float,
                     opening: Opening) -> int:
        """Returns the number of packets that go before a new one."""
        rank = self._rank(now_ms, work_ms)
        place = rank(opening)
        return sum(rank(other) <= place for other in self._by_key.values())

    def _rank(self, now_ms: int, work_ms: float) -> _Rank:
        """Returns the function by which packets are ordered now."""
        if not self.is_overloaded(work_ms):
            return lambda opening: opening.rank(now_ms, work_ms)
        has_fair_turn = self._taken_count % FAIR_TURN == FAIR_TURN - 1
        return lambda opening: opening.overload_rank(now_ms, work_ms,
                                                     has_fair_turn)

    def take_due(self, now_ms: int) -> list[Opening]:
        """Removes and returns the packets that must not wait any longer."""
        due = [
            opening for opening in self._by_key.values()
            if opening.handover_limit_ms <= now_ms
        ]
        for opening in due:
            del self._by_key[opening.segment.key]
        return due

    def take_all(self) -> list[Opening]:
        """Removes and returns all packets."""
        openings = list(self._by_key.values())
        self._by_key.clear()
        return openings
