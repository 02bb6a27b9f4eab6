"""A TCP connection on the loop."""

import abc
import socket

from figdrum.core import ids
from figdrum.runtime import loop as loop_module

READ_BYTES = 65_536

# Keep-alive probes of a connection: idle time and period in s, and probes that
# may stay unanswered. A silent connection is noticed after 3 s, within the
# shortest bound on applying a configuration.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2

# Time in ms after which unacknowledged bytes close the connection.
USER_TIMEOUT_MS = 3_000


class Handler(abc.ABC):
    """Takes what happens on a connection."""

    def on_connected(self) -> None:
        """The connection is open."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Bytes arrived."""

    @abc.abstractmethod
    def on_closed(self, reason: str) -> None:
        """The connection has ended, by the peer or by a failure."""


class Stream:
    """Reads and writes one connection without blocking."""

    def __init__(self, loop: loop_module.Loop, sock: socket.socket,
                 handler: Handler, connected: bool):
        self._loop = loop
        self._sock = sock
        self._handler = handler
        self._connected = connected
        self._output = b''
        self.is_open = True
        self._update()

    def write(self, data: bytes) -> None:
        """Sends `data` as far as the peer takes it, the rest later."""
        if not self.is_open:
            return
        self._output += data
        if self._connected:
            self._flush()

    def close(self) -> None:
        """Closes the connection; the handler is not told."""
        if self.is_open:
            self.is_open = False
            self._loop.watch(self._sock)
            self._sock.close()

    def _end(self, reason: str) -> None:
        if self.is_open:
            self.close()
            self._handler.on_closed(reason)

    def _update(self) -> None:
        waits = bool(self._output) or not self._connected
        self._loop.watch(self._sock, self._read, self._write if waits else None)

    def _write(self) -> None:
        if not self._connected:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._end(f'connect failed with errno {code}')
                return
            self._connected = True
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
            self._end(f'send failed: {exc.strerror}')
            return
        self._update()

    def _read(self) -> None:
        if not self.is_open or not self._connected:
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._end(f'receive failed: {exc.strerror}')
            return
        if data:
            self._handler.on_data(data)
        else:
            self._end('closed by the peer')


def set_keepalive(sock: socket.socket) -> None:
    """Lets the kernel notice a peer that has gone silent."""
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
    return Stream(loop, sock, handler, connected=False)
