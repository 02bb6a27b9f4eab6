"""A UDP socket of the fabric."""

import collections.abc

from twisted.internet import protocol
from twisted.internet import reactor

from figdrum.core import ids

_DATAGRAM_BYTES = 65_536

Receiver = collections.abc.Callable[[bytes, ids.Address, ids.Address], None]


class FabricSocket(protocol.DatagramProtocol):
    """Passes received datagrams to a callback, with source and own address.

    Attributes:
      address: The socket's own address, with the port that it got.
    """
    noisy = False

    def __init__(self, requested: ids.Address, receiver: Receiver):
        self._receiver = receiver
        port = reactor.listenUDP(requested[1], self, requested[0],
                                 _DATAGRAM_BYTES)
        self.address: ids.Address = (requested[0], port.getHost().port)

    def datagramReceived(self, datagram: bytes, addr: ids.Address) -> None:
        self._receiver(datagram, addr, self.address)

    def send(self, payload: bytes, to: ids.Address) -> None:
        """Sends one datagram; a datagram that the kernel refuses is lost."""
        try:
            self.transport.write(payload, to)
        except OSError:
            pass
