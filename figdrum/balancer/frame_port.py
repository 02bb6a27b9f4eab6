"""The UDP port between this balancer and the agents."""

import collections.abc

from twisted.internet import protocol

from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import ports
from figdrum.messages import codec

OnMessage = collections.abc.Callable[[ids.Address, codec.Message], None]
CountError = collections.abc.Callable[[str], None]


class FramePort(protocol.DatagramProtocol, ports.PeerPort):
    """Decodes datagrams from agents and sends datagrams to them."""
    noisy = False

    def __init__(self, on_message: OnMessage, count_error: CountError):
        """Initializes the port.

        Args:
            on_message: Called with the sender's address and its message.
            count_error: Called with the name of a metric for each error.
        """
        self._on_message = on_message
        self._count_error = count_error

    def datagramReceived(self, datagram: bytes, addr: ids.Address) -> None:
        try:
            message = codec.decode(datagram)
        except errors.MessageError:
            self._count_error('balancer.bad_frame')
            return
        except errors.VersionError:
            self._count_error('balancer.frame_of_other_version')
            return
        self._on_message(addr, message)

    def send(self, address, datagram):
        try:
            self.transport.write(datagram, address)
        except (OSError, OverflowError, ValueError):
            self._count_error('balancer.frame_not_sent')
