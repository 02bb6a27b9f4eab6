"""Decides whether a balancer's machine can carry another upload now.

Explanation
===========

A client has at most 16 packets in flight and waits for acknowledgements, so
each upload fills a small link in bursts of that size. A full link drops
datagrams, also those of other flows. The budget therefore bounds the data that
all uploads have in flight, so that it delays an interactive packet by at most
`delay_ms`. The rate of interactive traffic is measured and left to it.

A machine has up to three resources: the link in, the link out and the
processor. All rates are in bytes per ms. The processor's rate is that at which
it can forward full packets.

Examples
========

>>> budget = LinkBudget(0, Limits(link_mbps=5.0))
>>> budget.can_start(0, 'upload')
True
>>> budget.start(0, b'one', 'upload')
>>> budget.can_start(1, 'upload')
False
>>> budget.on_packet(60, b'one', 900, 'upload')
True
>>> budget.can_start(61, 'upload')
True
"""

import math
import typing

from figdrum.core import clock
from figdrum.flows import segment

# Size of a full packet in bytes with its headers: 32 of the flow's protocol, 6
# between balancer and agent, 28 of IP and UDP.
HEADER_BYTES = 66
FULL_PACKET_BYTES = segment.MAX_DATA_BYTES + HEADER_BYTES

# Headers of IP and UDP, which a link carries with each datagram.
DATAGRAM_HEADER_BYTES = 28

# The most that one upload has in flight, in bytes.
WINDOW_BYTES = segment.PACKETS_IN_FLIGHT * FULL_PACKET_BYTES

# Time in ms from a client's packet to its acknowledgement on an idle path.
ROUND_TRIP_MS = 7

# Time in ms by which uploads may delay an interactive packet if no interactive
# route states a latency target, and the share of the latency target otherwise.
DEFAULT_DELAY_MS = 30
DELAY_SHARE = 0.1

# Time constant of measured rates, in ms: several times an upload's duration on
# a small link, and shorter than a burst of requests.
TIME_CONSTANT_MS = 250

# Share of a resource that interactive traffic must leave free for an upload to
# start. With less, an upload would take longer than its latency target.
MIN_FREE_SHARE = 0.1

# Size of an upload in bytes with headers before the first one of its route has
# ended, and the weight of each one in the mean after that.
DEFAULT_UPLOAD_BYTES = 2 * WINDOW_BYTES
SIZE_WEIGHT = 0.1

# Time in ms after an upload's last packet until it is forgotten. Clients
# retransmit after 1.6 s at the latest.
RECORD_TTL_MS = 2_000

# CPU time of a packet in ms before it was measured, and the range of what is
# taken for measured. Few packets share the cost of timers and watches.
DEFAULT_PACKET_CPU_MS = 0.1
MIN_PACKET_CPU_MS = 0.02
MAX_PACKET_CPU_MS = 0.2

# Packets in one measurement of their CPU time at least.
MIN_CPU_SAMPLE = 50

BYTES_PER_MS_AND_MBPS = 1_000_000 / 8 / clock.MS_PER_S


class Limits(typing.NamedTuple):
    """Stated limits of a machine; None for no limit.

    Attributes:
      link_mbps: Rate of the link in Mbit/s, the same in both directions.
      cpu_share: Share of one core that the process gets.
      cores: Cores of the machine.
    """
    link_mbps: float | None = None
    cpu_share: float | None = None
    cores: float | None = None

    @property
    def processor(self) -> float | None:
        """Cores that the process can use; it has one thread."""
        stated = [x for x in (self.cpu_share, self.cores) if x is not None]
        return min(1.0, *stated) if stated else None

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self != UNLIMITED


UNLIMITED = Limits()


class RateMeter:
    """Exponential moving average of a rate, in bytes per ms.

    Examples
    ========

    >>> meter = RateMeter(0)
    >>> for now_ms in range(0, 1000, 10):
    ...     meter.add(now_ms, 500)
    >>> round(meter.rate(1000))
    48
    """

    def __init__(self, now_ms: int):
        self._rate = 0.0
        self._updated_ms = now_ms

    def add(self, now_ms: int, size: int) -> None:
        """Adds `size` bytes."""
        self._rate = self.rate(now_ms) + size / TIME_CONSTANT_MS
        self._updated_ms = now_ms

    def rate(self, now_ms: int) -> float:
        """Returns the average rate."""
        return self._rate * math.exp(
            (self._updated_ms - now_ms) / TIME_CONSTANT_MS)


class _Resource:
    """A rate that interactive traffic and uploads share.

    Attributes:
      per_ms: Capacity in bytes per ms; None if it is not limited.
      interactive: Rate of interactive traffic.
      total: Rate of all traffic.
    """

    def __init__(self, now_ms: int):
        self.per_ms: float | None = None
        self.interactive = RateMeter(now_ms)
        self.total = RateMeter(now_ms)

    def add(self, now_ms: int, size: int, is_bulk: bool) -> None:
        """Adds `size` bytes."""
        if self.per_ms is None:
            return
        self.total.add(now_ms, size)
        if not is_bulk:
            self.interactive.add(now_ms, size)


class _Upload:
    """An upload that was let through.

    Attributes:
      left_bytes: Expected bytes that are still to come.
      carried_bytes: Bytes that have come, or have come since its end.
      last_packet_ms: Time of the last packet.
      is_whole: Whether its opening packet was seen, and its end was not.
      has_ended: Whether its last packet was seen.
    """
    __slots__ = ('left_bytes', 'carried_bytes', 'last_packet_ms', 'is_whole',
                 'has_ended')

    def __init__(self, now_ms: int, left_bytes: float, is_whole: bool):
        self.left_bytes = left_bytes
        self.carried_bytes = 0
        self.last_packet_ms = now_ms
        self.is_whole = is_whole
        self.has_ended = False

    def add(self, now_ms: int, size: int) -> None:
        """Adds a packet of `size` bytes."""
        self.last_packet_ms = now_ms
        self.carried_bytes += size
        self.left_bytes -= size
        if self.has_ended and self.carried_bytes > WINDOW_BYTES:
            # More than retransmissions: a later request of the flow.
            self.has_ended = False

    def end(self) -> None:
        """Records that the last packet has come."""
        self.has_ended, self.is_whole = True, False
        self.left_bytes = self.carried_bytes = 0

    def in_flight_bytes(self, lead_bytes: float) -> float:
        """Returns the most that may be in flight after `lead_bytes` more.

        More than expected may come; then a full window is in flight.
        """
        if self.left_bytes <= 0:
            return WINDOW_BYTES
        if not self.carried_bytes:
            return min(WINDOW_BYTES, self.left_bytes)
        return min(WINDOW_BYTES, max(0.0, self.left_bytes - lead_bytes))


class LinkBudget:
    """Rates of a machine's traffic, and the uploads that it carries.

    Attributes:
      limits: Stated limits of the machine.
      delay_ms: Time in ms by which uploads may delay an interactive packet.
    """

    def __init__(self, now_ms: int, limits: Limits = UNLIMITED):
        self.delay_ms: float = DEFAULT_DELAY_MS
        self._link_in = _Resource(now_ms)
        self._link_out = _Resource(now_ms)
        self._processor = _Resource(now_ms)
        self._packet_cpu_ms = DEFAULT_PACKET_CPU_MS
        self._cpu_ms: float | None = None
        self._packet_count = 0
        self._uploads: dict[bytes, _Upload] = {}
        self._mean_bytes: dict[str, float] = {}
        self.limits = UNLIMITED
        self.set_limits(limits)

    def set_limits(self, limits: Limits) -> None:
        """Changes the limits; uploads under way stay counted."""
        self.limits = limits
        link = limits.link_mbps
        per_ms = None if link is None else link * BYTES_PER_MS_AND_MBPS
        self._link_in.per_ms = self._link_out.per_ms = per_ms
        self._set_processor_rate()

    def _set_processor_rate(self) -> None:
        processor = self.limits.processor
        self._processor.per_ms = (None if processor is None else processor *
                                  FULL_PACKET_BYTES / self._packet_cpu_ms)

    def record_cpu_time(self, cpu_ms: float) -> None:
        """Records the CPU time that the process has used since its start."""
        if self._cpu_ms is None:
            self._cpu_ms, self._packet_count = cpu_ms, 0
        elif self._packet_count >= MIN_CPU_SAMPLE:
            measured_ms = (cpu_ms - self._cpu_ms) / self._packet_count
            self._packet_cpu_ms = min(max(measured_ms, MIN_PACKET_CPU_MS),
                                      MAX_PACKET_CPU_MS)
            self._cpu_ms, self._packet_count = cpu_ms, 0
            self._set_processor_rate()

    def record_in(self, now_ms: int, size: int, is_bulk: bool) -> None:
        """Records a datagram that has come in, of `size` bytes."""
        self._packet_count += 1
        self._link_in.add(now_ms, size + DATAGRAM_HEADER_BYTES, is_bulk)
        self._processor.add(now_ms, FULL_PACKET_BYTES, is_bulk)

    def record_out(self, now_ms: int, size: int, is_bulk: bool) -> None:
        """Records a datagram that was sent, of `size` bytes."""
        self._link_out.add(now_ms, size + DATAGRAM_HEADER_BYTES, is_bulk)

    def bytes_per_s(self, now_ms: int) -> tuple[int, int]:
        """Returns the bytes per second in and out."""
        return (round(self._link_in.total.rate(now_ms) * clock.MS_PER_S),
                round(self._link_out.total.rate(now_ms) * clock.MS_PER_S))

    def expected_bytes(self, route: str) -> float:
        """Returns the mean size of the uploads of a route with headers."""
        return self._mean_bytes.get(route, DEFAULT_UPLOAD_BYTES)

    def start(self, now_ms: int, key: bytes, route: str) -> None:
        """Records that an upload's opening packet is let through."""
        self._uploads[key] = _Upload(now_ms, self.expected_bytes(route), True)

    def on_packet(self, now_ms: int, key: bytes, length: int,
                  route: str) -> bool:
        """Records a packet of an upload after its opening packet.

        Args:
          now_ms: Time.
          key: Key of the flow.
          length: Length of its data in bytes. A packet that is not full ends
            the upload.
          route: Name of the route.

        Returns:
          Whether the upload has ended.
        """
        upload = self._uploads.get(key)
        if upload is None:
            if length:
                # Another balancer, or an earlier process, has let it through.
                self._uploads[key] = _Upload(now_ms, 0.0, False)
            return False
        upload.add(now_ms, length + HEADER_BYTES)
        if not 0 < length < segment.MAX_DATA_BYTES or upload.has_ended:
            return False
        if upload.is_whole:
            mean = self.expected_bytes(route)
            self._mean_bytes[route] = mean + SIZE_WEIGHT * (
                upload.carried_bytes - mean)
        upload.end()
        return True

    def end(self, key: bytes) -> bool:
        """Records that a flow has ended; returns whether its upload had not."""
        upload = self._uploads.pop(key, None)
        return upload is not None and not upload.has_ended

    def count_uploads(self, now_ms: int) -> int:
        """Returns the number of uploads that use the machine."""
        return len(self._active_uploads(now_ms))

    def in_flight_bytes(self, now_ms: int) -> float:
        """Returns the most that uploads may have in flight a round trip later.

        That is when the first data of an upload that starts now comes.
        """
        lead_bytes = self.free_bytes_per_ms(now_ms) * ROUND_TRIP_MS
        return sum(
            upload.in_flight_bytes(lead_bytes)
            for upload in self._active_uploads(now_ms))

    def _active_uploads(self, now_ms: int) -> list[_Upload]:
        """Returns the uploads that send packets.

        Within the delay that they may cause, and a round trip, each of them has
        a packet. One without waits for its target or for a retransmission, and
        does not use the link.
        """
        since_ms = now_ms - self.delay_ms - ROUND_TRIP_MS
        for key, upload in tuple(self._uploads.items()):
            if now_ms - upload.last_packet_ms > RECORD_TTL_MS:
                del self._uploads[key]
        return [
            upload for upload in self._uploads.values()
            if not upload.has_ended and upload.last_packet_ms >= since_ms
        ]

    def free_bytes_per_ms(self, now_ms: int) -> float:
        """Returns the rate that interactive traffic leaves to uploads.

        It is that of the scarcest resource, and never below `MIN_FREE_SHARE` of
        a resource. It is infinite without a limit.
        """
        free = math.inf
        for per_ms, left in self._free_rates(now_ms):
            free = min(free, max(left, MIN_FREE_SHARE * per_ms))
        return free

    def can_start(self, now_ms: int, route: str) -> bool:
        """Returns whether an upload of a route can start."""
        if any(left < MIN_FREE_SHARE * per_ms
               for per_ms, left in self._free_rates(now_ms)):
            return False
        in_flight = self.in_flight_bytes(now_ms)
        added = min(WINDOW_BYTES, self.expected_bytes(route))
        room = self.free_bytes_per_ms(now_ms) * (self.delay_ms + ROUND_TRIP_MS)
        return not in_flight or in_flight + added <= room

    def transfer_ms(self, now_ms: int, size: float) -> float:
        """Returns the time that uploads of `size` bytes need on the machine."""
        return size / self.free_bytes_per_ms(now_ms)

    def _free_rates(self, now_ms: int) -> list[tuple[float, float]]:
        """Returns the capacity and the free rate of each limited resource."""
        return [(resource.per_ms,
                 resource.per_ms - resource.interactive.rate(now_ms))
                for resource in (self._link_in, self._link_out, self._processor)
                if resource.per_ms is not None]

    def left_bytes(self) -> float:
        """Returns the expected bytes of the uploads under way."""
        return sum(max(0.0, u.left_bytes) for u in self._uploads.values())
