"""UDP sockets on the event loop."""

import collections.abc
import socket

from figdrum.core import ids
from figdrum.runtime import bound_sockets
from figdrum.runtime import loop as loop_module

# Largest datagram that a node accepts, in bytes. A client's packet has at most
# 1,232, and a report far fewer.
MAX_DATAGRAM_BYTES = 4_096

# Datagrams read per callback at most, so that timers are not delayed.
MAX_READS_PER_CALLBACK = 64

OnDatagram = collections.abc.Callable[[bytes, ids.Address], None]


class UdpSocket:
    """Sends and receives datagrams at one address.

    Attributes:
      unsent_count: Number of datagrams that the kernel did not accept.
      refused_count: Number of sends and reads that failed because a receiver
        had no socket.
      failed_read_count: Number of reads with another error, which the kernel
        reports for datagrams sent before.
    """

    def __init__(self,
                 loop: loop_module.Loop,
                 address: ids.Address,
                 on_datagram: OnDatagram,
                 sock: socket.socket | None = None):
        """Opens a socket.

        Args:
          loop: Event loop of the process.
          address: Address of the socket.
          on_datagram: Called with each datagram and its sender.
          sock: A socket that is bound to the address already.
        """
        self._sock = sock or bound_sockets.bind(address)
        self._on_datagram = on_datagram
        self._loop = loop
        self.unsent_count = 0
        self.refused_count = 0
        self.failed_read_count = 0
        loop.watch(self._sock, self._read)

    @property
    def address(self) -> ids.Address:
        """The address to which the socket is bound."""
        return self._sock.getsockname()

    def send(self, data: bytes, address: ids.Address) -> None:
        """Sends a datagram; counts it if the kernel does not accept it."""
        try:
            self._sock.sendto(data, address)
        except ConnectionRefusedError:
            self.refused_count += 1
        except OSError:
            # UDP may lose any datagram, so the ends of a flow retransmit.
            self.unsent_count += 1

    def close(self) -> None:
        """Stops receiving and closes the socket."""
        self._loop.watch(self._sock)
        self._sock.close()

    def _read(self) -> None:
        receive = self._sock.recvfrom
        for _ in range(MAX_READS_PER_CALLBACK):
            try:
                data, address = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except ConnectionRefusedError:
                self.refused_count += 1
                continue
            except OSError:
                self.failed_read_count += 1
                continue
            self._on_datagram(data, address)


class ConnectedUdpSocket:
    """Sends datagrams to one address; reports if nothing listens there.

    Attributes:
      unsent_count: Number of datagrams that the kernel did not accept.
      failed_read_count: Number of errors of datagrams sent before, other than
        that nothing listens.
    """

    def __init__(self, loop: loop_module.Loop, host: str, peer: ids.Address,
                 on_refused: collections.abc.Callable[[], None]):
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((host, 0))
        self._sock.connect(peer)
        self._on_refused = on_refused
        self.unsent_count = 0
        self.failed_read_count = 0
        loop.watch(self._sock, self._read)

    def send(self, data: bytes) -> None:
        """Sends a datagram; counts it if the kernel does not accept it."""
        try:
            self._sock.send(data)
        except ConnectionRefusedError:
            self._on_refused()
        except OSError:
            # UDP may lose any datagram, so the ends of a flow retransmit.
            self.unsent_count += 1

    def _read(self) -> None:
        try:
            while True:
                self._sock.recv(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except ConnectionRefusedError:
            self._on_refused()
        except OSError:
            self.failed_read_count += 1
