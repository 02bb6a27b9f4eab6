"""Packets that a target has neither accepted nor returned yet."""

import collections.abc
import typing

from figdrum.core import ids
from figdrum.flows import segment

# Time in ms for which the agent keeps the record that the target does not hold
# a flow. The client's retransmissions are at most 1.6 s apart.
DENIAL_TTL_MS = 2_000


class PendingDelivery:
    """A packet that was sent to the target and may still come back.

    Attributes:
      sent_ms: Time at which it was sent to the target.
      is_opening: Whether it is an opening packet.
      raw: The datagram.
      origins: Balancers that are notified of the result.
      buffered_packets: Later packets of the flow, buffered until the result is
        known.
    """
    __slots__ = ('sent_ms', 'is_opening', 'raw', 'origins', 'buffered_packets')

    def __init__(self, now_ms: int, is_opening: bool, raw: bytes):
        self.sent_ms = now_ms
        self.is_opening = is_opening
        self.raw = raw
        self.origins: set[ids.Address] = set()
        self.buffered_packets: list[bytes] = []


class _Denial(typing.NamedTuple):
    until_ms: int
    ended: bool


class PendingDeliveries:
    """Pending deliveries, and flows that the target is known not to hold.

    Attributes:
      opening_count: Number of opening packets among the deliveries.
    """

    def __init__(self):
        self._deliveries: dict[bytes, PendingDelivery] = {}
        self._denials: dict[bytes, _Denial] = {}
        self.opening_count = 0

    def __bool__(self) -> bool:
        return bool(self._deliveries)

    def start(self, now_ms: int, key: bytes, is_opening: bool, raw: bytes,
              origin: ids.Address) -> bool:
        """Records a packet; returns whether to send it to the target now.

        Copies of an opening packet are sent at once. Other packets of a flow
        are buffered until the result of the first one is known.
        """
        delivery = self._deliveries.get(key)
        is_first = delivery is None
        if delivery is None:
            delivery = self._deliveries[key] = PendingDelivery(
                now_ms, is_opening, raw)
            self.opening_count += is_opening
        delivery.origins.add(origin)
        if is_opening:
            self._denials.pop(key, None)
            return True
        if not is_first and len(
                delivery.buffered_packets) < segment.PACKETS_IN_FLIGHT:
            delivery.buffered_packets.append(raw)
        return is_first

    def finish(self, key: bytes) -> PendingDelivery | None:
        """Removes and returns the pending delivery of a flow, or None."""
        delivery = self._deliveries.pop(key, None)
        if delivery is not None:
            self.opening_count -= delivery.is_opening
        return delivery

    def all(self) -> collections.abc.Iterable[tuple[bytes, PendingDelivery]]:
        """Returns a snapshot of the pending deliveries by flow key."""
        return tuple(self._deliveries.items())

    def add_denial(self, now_ms: int, key: bytes, ended: bool) -> None:
        """Records that the target does not hold a flow.

        Args:
          now_ms: Time.
          key: Key of the flow.
          ended: Whether the target held the flow before.
        """
        self._denials[key] = _Denial(now_ms + DENIAL_TTL_MS, ended)

    def denied_flow_ended(self, now_ms: int, key: bytes) -> bool | None:
        """Returns whether a flow that is not held has ended.

        The result is None if there is no current record of the flow.
        """
        denial = self._denials.get(key)
        if denial is None or denial.until_ms <= now_ms:
            return None
        return denial.ended

    def expire(self, now_ms: int) -> None:
        """Removes records that have passed their lifetime."""
        for key, denial in tuple(self._denials.items()):
            if denial.until_ms <= now_ms:
                del self._denials[key]
