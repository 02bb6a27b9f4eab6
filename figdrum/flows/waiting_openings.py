"""Opening packets that wait until their machine can carry the request.

Explanation
===========

Those that can still be served within their latency target come first, then the
more urgent class, then the one with less time left. A copy of a waiting opening
packet replaces it. One leaves when its client has given up, or when there are
too many and it is the last in the order.
"""

import typing

from figdrum.flows import routes
from figdrum.flows import segment as segment_module

# Opening packets that wait at most. A small link carries fewer uploads in the
# 1.4 s after which their clients give up.
MAX_WAITING = 256

# Age in ms of a client's opening packet by the number of earlier copies.
COPY_AGES_MS = (0, 200, 600)


class WaitingOpening(typing.NamedTuple):
    """An opening packet that waits.

    Attributes:
      route: Its route.
      segment: The packet, or its last copy.
      arrived_ms: Time at which it came.
      first_ms: Time at which the client sent the first copy.
      latest_start_ms: Last time at which the request can start and be answered
        within its latency target.
    """
    route: routes.Route
    segment: segment_module.Segment
    arrived_ms: int
    first_ms: int
    latest_start_ms: float

    @property
    def expires_ms(self) -> int:
        """Time at which the client gives up."""
        return self.first_ms + segment_module.OPENING_TIMEOUT_MS

    @property
    def is_first_copy(self) -> bool:
        """Whether the first copy came to this balancer."""
        return self.arrived_ms == self.first_ms

    def order(self, now_ms: int) -> tuple[bool, int, float, int]:
        """Returns the sort key: the lowest one is served first."""
        is_late = now_ms > self.latest_start_ms
        return (is_late, self.route.request_class.priority,
                self.latest_start_ms, self.first_ms)


def make_opening(now_ms: int, route: routes.Route,
                 segment: segment_module.Segment,
                 transfer_ms: float) -> WaitingOpening:
    """Returns an opening packet that starts to wait.

    Args:
      now_ms: Time.
      route: Its route.
      segment: The packet.
      transfer_ms: Time that the request takes once it has started.
    """
    copies = min(segment.ack, len(COPY_AGES_MS) - 1)
    first_ms = now_ms - COPY_AGES_MS[copies]
    target_ms = (route.request_class.latency_target_ms or
                 segment_module.OPENING_TIMEOUT_MS)
    return WaitingOpening(route, segment, now_ms, first_ms,
                          first_ms + target_ms - transfer_ms)


class WaitingOpenings:
    """The opening packets that wait, at most one of each flow."""

    def __init__(self):
        self._by_key: dict[bytes, WaitingOpening] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def __iter__(self) -> typing.Iterator[WaitingOpening]:
        return iter(self._by_key.values())

    def add(self, now_ms: int,
            opening: WaitingOpening) -> WaitingOpening | None:
        """Adds an opening packet; returns the one that has to leave for it."""
        self._by_key[opening.segment.key] = opening
        if len(self._by_key) <= MAX_WAITING:
            return None
        last = self.last(now_ms)
        return self.remove(last.segment.key) if last is not None else None

    def replace(self, segment: segment_module.Segment) -> bool:
        """Replaces a waiting packet by a copy; returns whether one waited."""
        opening = self._by_key.get(segment.key)
        if opening is None or opening.segment.seq != segment.seq:
            return False
        self._by_key[segment.key] = opening._replace(segment=segment)
        return True

    def remove(self, key: bytes) -> WaitingOpening | None:
        """Removes the opening packet of a flow, and returns it."""
        return self._by_key.pop(key, None)

    def remove_opened(self, segment: segment_module.Segment) -> None:
        """Removes the opening packet of a flow that a later packet is of.

        The flow was opened through another balancer, or the client has aborted
        it. Packets of an earlier flow with the same ports have other numbers.
        """
        opening = self._by_key.get(segment.key)
        if opening is not None and segment_module.is_near(
                opening.segment.seq, segment.seq):
            self.remove(segment.key)

    def remove_expired(self, now_ms: int) -> list[WaitingOpening]:
        """Removes and returns those whose clients have given up."""
        expired = [one for one in self if one.expires_ms <= now_ms]
        for one in expired:
            self.remove(one.segment.key)
        return expired

    def first(self, now_ms: int) -> WaitingOpening | None:
        """Returns the one to serve first, or None if none waits."""
        return min(self, key=lambda one: one.order(now_ms), default=None)

    def last(self, now_ms: int) -> WaitingOpening | None:
        """Returns the one to serve last, or None if none waits."""
        return max(self, key=lambda one: one.order(now_ms), default=None)
