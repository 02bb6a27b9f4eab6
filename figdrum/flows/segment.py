"""The fields of a flow's packets that figdrum reads.

Explanation
===========

figdrum reads the addresses, the sequence numbers and a few flags of a packet,
and forwards the datagram unchanged. It does not interpret the flow's data.

Examples
========

>>> follows(0xFFFFFFF0, 0x10)
True
>>> follows(0x10, 0xFFFFFFF0)
False
"""

import abc

SEQUENCE_MODULUS = 1 << 32

# Largest number of packets that one end of a flow has in flight, and the most
# data in one, in bytes.
PACKETS_IN_FLIGHT = 16
MAX_DATA_BYTES = 1_200

# Distance in bytes between numbers of one flow that are in use at about the
# same time. Packets may arrive late, so it covers several times the data that
# can be in flight. Initial numbers of servers are random, so the number of
# another flow is rarely that near.
NUMBER_WINDOW = 4 * PACKETS_IN_FLIGHT * MAX_DATA_BYTES

# Time in ms after a client's first opening packet within which copies of it may
# arrive. The client sends them after 200 and 600 ms, and gives up after 1.4 s.
OPENING_TIMEOUT_MS = 1_400

# Times in ms at which a client sends its opening packet and the copies of it.
OPENING_TIMES_MS = (0, 200, 600)


def follows(earlier: int, later: int) -> bool:
    """Returns whether `later` comes after `earlier`, modulo 2**32."""
    return 0 < (later - earlier) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


def is_near(one: int, other: int, window: int = NUMBER_WINDOW) -> bool:
    """Returns whether two numbers may be of the same flow, modulo 2**32.

    >>> is_near(0xFFFFFFF0, 0x10), is_near(1, 1_000_000)
    (True, False)
    """
    return (one - other + window) % SEQUENCE_MODULUS <= 2 * window


class Segment:
    """One packet of a flow.

    Attributes:
      raw: The whole datagram.
      key: Addresses and ports of client and service, the same for both
        directions.
      is_opening: Whether it is the client's first packet of a flow, or a
        retransmission of that packet.
      is_accepting: Whether it is the server's answer to an opening packet.
      is_closing: Whether the sender has no more data to send.
      is_reset: Whether the sender has aborted the flow.
      is_returned: Whether the server does not hold the flow and has sent the
        packet back.
      seq: Sequence number of the first byte of data.
      ack: Sequence number of the byte that the sender expects next. In an
        opening packet, the number of earlier copies of it.
      length: Length of the data in bytes.
    """
    __slots__ = ('raw', 'key', 'is_opening', 'is_accepting', 'is_closing',
                 'is_reset', 'is_returned', 'seq', 'ack', 'length')

    def __init__(self, raw: bytes, key: bytes):
        self.raw = raw
        self.key = key
        self.is_opening = False
        self.is_accepting = False
        self.is_closing = False
        self.is_reset = False
        self.is_returned = False
        self.seq = 0
        self.ack = 0
        self.length = 0


class PacketFormat(abc.ABC):
    """Parses and builds packets in the format of the platform's network."""

    @abc.abstractmethod
    def parse_client(self, raw: bytes) -> Segment | None:
        """Parses a packet from a client; returns None if it is malformed."""

    @abc.abstractmethod
    def parse_target(self, raw: bytes) -> Segment | None:
        """Parses a packet from a target; returns None if it is malformed."""

    @abc.abstractmethod
    def restore(self, returned: Segment) -> bytes:
        """Returns the client's original datagram of a returned packet."""

    @abc.abstractmethod
    def build_reset(self, key: bytes, ack: int) -> bytes:
        """Returns a reset from the service to the client of the flow `key`.

        Args:
          key: Key of the flow.
          ack: The client's last acknowledgement number, or any number if the
            flow is not open.
        """

    @abc.abstractmethod
    def client_host(self, key: bytes) -> str:
        """Returns the client's IPv4 address."""

    @abc.abstractmethod
    def service_address(self, key: bytes) -> bytes:
        """Returns the service's address and port, encoded as in routes."""

    @abc.abstractmethod
    def request_id(self, raw: bytes) -> str:
        """Returns the id of the request that starts in a packet, or ''."""

    @abc.abstractmethod
    def describe(self, key: bytes) -> str:
        """Returns the flow's addresses and ports as text for logs."""
