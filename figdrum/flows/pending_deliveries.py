"""Packets that a target has neither accepted nor returned yet."""

import collections.abc
import typing

from figdrum.core import ids
from figdrum.flows import routes
from figdrum.flows import segment

# Time in ms for which the agent keeps the record that the target does not hold
# a flow. The client's retransmissions are at most 1.6 s apart.
DENIAL_TTL_MS = 2_000


class PendingDelivery:
    """A packet that was sent to the target and may still come back.

    Attributes:
      sent_ms: Time at which it was sent to the target.
      raw: The datagram.
      seq: Its sequence number.
      request_class: Class that an opening packet named, None without one.
      ack: Its acknowledgement number, which tells apart the flows that the same
        addresses and ports have one after the other.
      origins: Balancers that are notified of the result.
      buffered_packets: Later packets of the flow, buffered until the result is
        known.
      is_reported: Whether the balancers were told that the target, which does
        not seem to run, has not returned it.
    """
    __slots__ = ('sent_ms', 'raw', 'seq', 'ack', 'request_class', 'origins',
                 'buffered_packets', 'is_reported')

    def __init__(self, now_ms: int, packet: segment.Segment):
        self.sent_ms = now_ms
        self.raw = packet.raw
        self.seq = packet.seq
        self.ack = packet.ack
        self.request_class: routes.RequestClass | None = None
        self.origins: set[ids.Address] = set()
        self.buffered_packets: list[bytes] = []
        self.is_reported = False


class _Denial(typing.NamedTuple):
    until_ms: int
    ack: int
    ended: bool


class PendingDeliveries:
    """Pending deliveries, and flows that the target is known not to hold.

    An opening packet and a later one of the same addresses and ports may belong
    to two flows, so they are kept apart.
    """

    def __init__(self):
        self._openings: dict[bytes, PendingDelivery] = {}
        self._trials: dict[bytes, PendingDelivery] = {}
        self._denials: dict[bytes, _Denial] = {}

    def __bool__(self) -> bool:
        return bool(self._openings or self._trials)

    @property
    def opening_count(self) -> int:
        """Number of opening packets among the deliveries."""
        return len(self._openings)

    def start_opening(self,
                      now_ms: int,
                      packet: segment.Segment,
                      origin: ids.Address,
                      request_class: routes.RequestClass | None = None) -> None:
        """Records an opening packet, which is sent to the target at once."""
        delivery = self._openings.get(packet.key)
        if delivery is None or delivery.seq != packet.seq:
            delivery = self._openings[packet.key] = PendingDelivery(
                now_ms, packet)
        delivery.origins.add(origin)
        delivery.request_class = request_class
        self._denials.pop(packet.key, None)

    def has_opening(self, packet: segment.Segment) -> bool:
        """Returns whether the target has an opening packet or a copy of it."""
        delivery = self._openings.get(packet.key)
        return delivery is not None and delivery.seq == packet.seq

    def start_trial(self, now_ms: int, packet: segment.Segment,
                    origin: ids.Address) -> bool:
        """Records a later packet; returns whether to send it to the target now.

        Packets are buffered until the result of a flow's first one is known. A
        packet of another flow is dropped; its client retransmits it.
        """
        delivery = self._trials.get(packet.key)
        if delivery is None:
            delivery = self._trials[packet.key] = PendingDelivery(
                now_ms, packet)
            delivery.origins.add(origin)
            return True
        if segment.is_near(delivery.ack, packet.ack):
            delivery.origins.add(origin)
            if len(delivery.buffered_packets) < segment.PACKETS_IN_FLIGHT:
                delivery.buffered_packets.append(packet.raw)
        return False

    def finish_opening(self, key: bytes) -> PendingDelivery | None:
        """Removes and returns an opening packet, or None."""
        return self._openings.pop(key, None)

    def finish_trial(self, key: bytes, number: int) -> PendingDelivery | None:
        """Removes and returns a later packet, or None.

        Args:
          key: Key of the flow.
          number: A recent number of the server in the flow; a packet of another
            flow is not returned.
        """
        delivery = self._trials.get(key)
        if delivery is None or not segment.is_near(delivery.ack, number):
            return None
        return self._trials.pop(key)

    def openings(
            self) -> collections.abc.Iterable[tuple[bytes, PendingDelivery]]:
        """Returns a snapshot of the opening packets by flow key."""
        return tuple(self._openings.items())

    def trials(self) -> collections.abc.Iterable[tuple[bytes, PendingDelivery]]:
        """Returns a snapshot of the later packets by flow key."""
        return tuple(self._trials.items())

    def add_denial(self, now_ms: int, key: bytes, ack: int,
                   ended: bool) -> None:
        """Records that the target does not hold a flow.

        Args:
          now_ms: Time.
          key: Key of the flow.
          ack: The client's last acknowledgement number.
          ended: Whether the target held the flow before.
        """
        self._denials[key] = _Denial(now_ms + DENIAL_TTL_MS, ack, ended)

    def denied_flow_ended(self, now_ms: int, key: bytes,
                          ack: int) -> bool | None:
        """Returns whether a flow that is not held has ended.

        The result is None if there is no current record of the flow.
        """
        denial = self._denials.get(key)
        if (denial is None or denial.until_ms <= now_ms or
                not segment.is_near(denial.ack, ack)):
            return None
        return denial.ended

    def expire(self, now_ms: int) -> None:
        """Removes records that have passed their lifetime."""
        for key, denial in tuple(self._denials.items()):
            if denial.until_ms <= now_ms:
                del self._denials[key]
