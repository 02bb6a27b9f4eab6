"""A TCP connection on the event loop."""

import abc
import socket

from figdrum.core import ids
from figdrum.runtime import loop as loop_module

READ_BYTES = 65_536

# TCP keep-alive: idle time and probe period in s, and number of probes without
# an answer. A dead connection is detected after 3 s, which is within the
# shortest limit for applying a configuration.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2

# Time in ms after which a connection with unacknowledged data is closed.
USER_TIMEOUT_MS = 3_000


class Handler(abc.ABC):
    """Receives the events of a connection."""

    def on_connected(self) -> None:
        """Called when the connection is established."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Called with received data."""

    @abc.abstractmethod
    def on_closed(self, reason: str) -> None:
        """Called when the peer or a failure has closed the connection."""


class Stream:
    """A non-blocking TCP connection.

    Attributes:
      is_open: Whether neither end has closed the connection.
      connect_errno: Error with which the connection could not be established,
        or 0.
    """

    def __init__(self, loop: loop_module.Loop, sock: socket.socket,
                 handler: Handler, is_connected: bool):
        self._loop = loop
        self._sock = sock
        self._handler = handler
        self._is_connected = is_connected
        self._output = b''
        self.connect_errno = 0
        self.is_open = True
        self._update_watch()

    def write(self, data: bytes) -> None:
        """Sends `data`; buffers what the kernel does not accept yet."""
        if not self.is_open:
            return
        self._output += data
        if self._is_connected:
            self._flush()

    def close(self) -> None:
        """Closes the connection without a call of the handler."""
        if self.is_open:
            self.is_open = False
            self._loop.watch(self._sock)
            self._sock.close()

    def _close_with_reason(self, reason: str) -> None:
        if self.is_open:
            self.close()
            self._handler.on_closed(reason)

    def _update_watch(self) -> None:
        wants_write = bool(self._output) or not self._is_connected
        self._loop.watch(self._sock, self._read,
                         self._write if wants_write else None)

    def _write(self) -> None:
        if not self._is_connected:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.connect_errno = code
                self._close_with_reason(f'connect failed with errno {code}')
                return
            self._is_connected = True
            self._handler.on_connected()
        if self.is_open:
            self._flush()

    def _flush(self) -> None:
        try:
            while self._output:
                sent = self._sock.send(self._output)
                self._output = self._output[sent:]
        except BlockingIOError:
            pass
        except OSError as exc:
            self._close_with_reason(f'send failed: {exc.strerror}')
            return
        self._update_watch()

    def _read(self) -> None:
        if not self.is_open or not self._is_connected:
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._close_with_reason(f'receive failed: {exc.strerror}')
            return
        if data:
            self._handler.on_data(data)
        else:
            self._close_with_reason('closed by the peer')


def set_keepalive(sock: socket.socket) -> None:
    """Makes the kernel close connections to unreachable peers."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL,
                    KEEPALIVE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                    USER_TIMEOUT_MS)


def connect(loop: loop_module.Loop, address: ids.Address,
            handler: Handler) -> Stream:
    """Opens a connection to `address`.

    Raises:
      OSError: if the connection fails at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_keepalive(sock)
    try:
        sock.connect(address)
    except BlockingIOError:
        pass
    except OSError:
        sock.close()
        raise
    return Stream(loop, sock, handler, is_connected=False)
