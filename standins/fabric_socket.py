"""A UDP socket of the fabric."""

import collections.abc

from twisted.internet import protocol
from twisted.internet import reactor

from figdrum.core import ids

_DATAGRAM_BYTES = 65_536

Receiver = collections.abc.Callable[[bytes, ids.Address, ids.Address], None]


class FabricSocket(protocol.DatagramProtocol):
    """Passes what it receives on, with the address that it was sent to.

    Attributes:
      address: The socket's own address, with its real port.
    """
    noisy = False

    def __init__(self, wanted: ids.Address, receiver: Receiver):
        self._receiver = receiver
        port = reactor.listenUDP(wanted[1], self, wanted[0], _DATAGRAM_BYTES)
        self.address: ids.Address = (wanted[0], port.getHost().port)

    def datagramReceived(self, datagram: bytes, addr: ids.Address) -> None:
        self._receiver(datagram, addr, self.address)

    def send(self, payload: bytes, to: ids.Address) -> None:
        """Sends one datagram; one that the kernel refuses is lost."""
        try:
            self.transport.write(payload, to)
        except OSError:
            pass
