"""The UDP port between this agent, the balancers and the other agents."""

import collections.abc

from twisted.internet import protocol

from figdrum.core import ids
from figdrum.core import ports

OnDatagram = collections.abc.Callable[[ids.Address, bytes], None]
CountError = collections.abc.Callable[[str], None]


class FramePort(protocol.DatagramProtocol, ports.PeerPort):
    """Receives and sends datagrams.

    Args:
      count_error: Called with the name of a metric for each error.

    Attributes:
      on_datagram: Called with the sender's address and the datagram.
    """
    noisy = False

    def __init__(self, count_error: CountError):
        self._count_error = count_error
        self.on_datagram: OnDatagram | None = None

    def datagramReceived(self, datagram: bytes, addr: ids.Address) -> None:
        if self.on_datagram is not None:
            self.on_datagram(addr, datagram)

    def send(self, address, datagram):
        # The address comes from a received message and may be invalid.
        if self.transport is None or not 0 < address[1] < 65_536:
            self._count_error('agent.not_sent')
            return
        try:
            self.transport.write(datagram, address)
        except (OSError, ValueError, AssertionError):
            self._count_error('agent.not_sent')
