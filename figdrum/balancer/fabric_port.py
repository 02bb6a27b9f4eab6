"""The UDP port between the fabric and this balancer.

Explanation
===========

Datagrams carry a PROXY protocol header in both directions. One with an invalid
header is counted and dropped.
"""

import collections.abc

from twisted.internet import protocol

from figdrum.balancer import proxy_header
from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import ports

OnPacket = collections.abc.Callable[[ids.Address, ids.Address, bytes], None]
CountError = collections.abc.Callable[[str], None]


class FabricPort(protocol.DatagramProtocol, ports.PacketPort):
    """Receives callers' packets from the fabric and sends it replies."""
    noisy = False

    def __init__(self, fabric: ids.Address, on_packet: OnPacket,
                 count_error: CountError):
        """Initializes the port.

        Args:
            fabric: Address to which replies are sent.
            on_packet: Called with caller, service address and payload.
            count_error: Called with the name of a metric for each error.
        """
        self._fabric = fabric
        self._on_packet = on_packet
        self._count_error = count_error

    def datagramReceived(self, datagram: bytes, addr: ids.Address) -> None:
        try:
            src, dst, payload = proxy_header.unpack(datagram)
        except (errors.MessageError, errors.VersionError):
            self._count_error('balancer.bad_proxy_header')
            return
        self._on_packet(src, dst, payload)

    def send(self, src, dst, payload):
        try:
            datagram = proxy_header.pack(src, dst, payload)
            self.transport.write(datagram, self._fabric)
        except (errors.MessageError, OSError):
            self._count_error('balancer.reply_not_sent')
