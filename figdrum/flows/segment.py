"""A packet of a flow, as far as figdrum reads it.

Explanation
===========

The bytes of a flow belong to its two ends. figdrum reads the addresses, the
sequence numbers and a few flags, and carries the datagram as it is.

Examples
========

>>> follows(0xFFFFFFF0, 0x10)
True
>>> follows(0x10, 0xFFFFFFF0)
False
"""

import abc

SEQUENCE_MODULUS = 1 << 32

# Packets that an end has in flight at most.
PACKETS_IN_FLIGHT = 16


def follows(earlier: int, later: int) -> bool:
    """Returns whether `later` comes after `earlier` on the sequence circle."""
    return 0 < (later - earlier) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


class Segment:
    """One packet.

    Attributes:
      raw: The whole datagram.
      key: Addresses and ports of client and service; equal for both directions.
      is_opening: The client's first packet of a flow, or a copy of it.
      is_accepting: The server's answer to an opening packet.
      is_closing: The sender has no more bytes to send.
      is_reset: The sender has given the flow up.
      is_returned: The server does not hold the flow and hands the packet back.
      seq: Number of the first byte of data.
      ack: Number of the byte that the sender expects next; in an opening
        packet, the number of copies sent before.
      length: Bytes of data.
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
    """Reads and writes the packets of the network that figdrum runs in."""

    @abc.abstractmethod
    def parse_client(self, raw: bytes) -> Segment | None:
        """Returns a client's packet, or None for bytes that are none."""

    @abc.abstractmethod
    def parse_target(self, raw: bytes) -> Segment | None:
        """Returns a packet from a target, or None for bytes that are none."""

    @abc.abstractmethod
    def restore(self, returned: Segment) -> bytes:
        """Returns the datagram as its sender wrote it, for another server."""

    @abc.abstractmethod
    def build_reset(self, key: bytes, ack: int) -> bytes:
        """Returns a reset from the service to the client of the flow `key`.

        Args:
          key: Key of the flow.
          ack: The client's last acknowledgement, or any number if the flow is
            not open.
        """

    @abc.abstractmethod
    def client_host(self, key: bytes) -> str:
        """Returns the client's IPv4 address."""

    @abc.abstractmethod
    def service_address(self, key: bytes) -> bytes:
        """Returns the service's address and port as routes name them."""

    @abc.abstractmethod
    def request_id(self, raw: bytes) -> str:
        """Returns the id of the request that a packet begins, or ''."""

    @abc.abstractmethod
    def describe(self, key: bytes) -> str:
        """Returns the flow's addresses for people."""
