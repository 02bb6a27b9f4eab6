"""Packets that come before a balancer knows routes and targets.

Explanation
===========

A balancer that starts reads the configuration and the registrations within
some tens of ms. A client whose packet is dropped meanwhile sends it again only
after 200 ms or more. So packets are kept until both are known, and then handled
as if they came then. Kept packets are bounded in number and time: when the
store does not answer, clients have other balancers.

Of a packet and its copies only the last one is kept. A copy of an opening
packet that follows at once would say that the target has not answered.

Examples
========

>>> early = EarlyPackets()
>>> packet = segment_module.Segment(b'datagram', b'key')
>>> early.add(10, packet)
>>> early.add(20, packet)
>>> early.take(40), early.forwarded_count, early.dropped_count
([b'datagram'], 1, 0)
"""

import typing

from figdrum.flows import segment as segment_module

# Packets kept at most, 300 KB.
MAX_PACKETS = 256

# Time in ms for which a packet is kept. Clients retransmit after 200 ms and
# then each 400 ms or more, so the last copy of a packet is not much older.
MAX_AGE_MS = 300


class _Kept(typing.NamedTuple):
    received_ms: int
    raw: bytes


class EarlyPackets:
    """Keeps packets, the oldest first.

    Attributes:
      forwarded_count: Number of packets that were taken.
      dropped_count: Number of packets that were too many or too old.
    """

    def __init__(self):
        self._kept: dict[tuple, _Kept] = {}
        self.forwarded_count = 0
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._kept)

    def age_ms(self, now_ms: int) -> int:
        """Returns the age of the oldest packet, 0 without any."""
        # A copy is added at the end, so the packets are in order of age.
        for kept in self._kept.values():
            return now_ms - kept.received_ms
        return 0

    def add(self, now_ms: int, packet: segment_module.Segment) -> None:
        """Keeps a packet in place of an earlier copy."""
        identity = (packet.key, packet.seq, packet.is_opening, packet.length)
        self._kept.pop(identity, None)
        self._kept[identity] = _Kept(now_ms, packet.raw)
        if len(self._kept) > MAX_PACKETS:
            self._drop_oldest()

    def expire(self, now_ms: int) -> None:
        """Drops the packets that are too old."""
        while self.age_ms(now_ms) > MAX_AGE_MS:
            self._drop_oldest()

    def take(self, now_ms: int) -> list[bytes]:
        """Returns all packets that are not too old, and forgets them."""
        self.expire(now_ms)
        taken = [kept.raw for kept in self._kept.values()]
        self._kept.clear()
        self.forwarded_count += len(taken)
        return taken

    def _drop_oldest(self) -> None:
        del self._kept[next(iter(self._kept))]
        self.dropped_count += 1
