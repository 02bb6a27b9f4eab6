"""A non-blocking HTTP/1.1 server for readiness, heartbeats and metrics.

Explanation
===========

`httptools` parses the requests. A callback returns each response at once.

References
==========

RFC 9112, HTTP/1.1.
"""

import collections.abc
import socket
import typing

import httptools

from figdrum.core import ids
from figdrum.runtime import loop as loop_module
from figdrum.runtime import stream as stream_module

# Length of the queue of connections to accept.
BACKLOG = 64

# Largest request body and path in bytes; a heartbeat has a few hundred.
MAX_BODY_BYTES = 65_536
MAX_PATH_BYTES = 8_192

REASON_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    413: 'Content Too Large',
    414: 'URI Too Long',
    503: 'Service Unavailable',
}


class Request(typing.NamedTuple):
    """A complete request.

    Attributes:
      method: HTTP method.
      path: Path with its query.
      body: Body, empty if there is none.
    """
    method: str
    path: str
    body: bytes


class Response(typing.NamedTuple):
    """A response.

    Attributes:
      status: HTTP status code.
      body: Body.
      content_type: Media type of the body.
    """
    status: int
    body: bytes = b''
    content_type: str = 'text/plain'

    def to_bytes(self) -> bytes:
        """Returns the encoded response."""
        head = (
            f'HTTP/1.1 {self.status} {REASON_PHRASES.get(self.status, "Other")}'
            f'\r\nContent-Type: {self.content_type}'
            f'\r\nContent-Length: {len(self.body)}\r\n\r\n')
        return head.encode() + self.body


OnRequest = collections.abc.Callable[[Request], Response]


class _Connection(stream_module.Handler):
    """Parses the requests of one connection."""

    def __init__(self, loop: loop_module.Loop, sock: socket.socket,
                 on_request: OnRequest,
                 on_end: collections.abc.Callable[['_Connection'], None]):
        self._on_request = on_request
        self._on_end = on_end
        self._parser = httptools.HttpRequestParser(self)
        self._path = ''
        self._body = b''
        # Complete requests without a response yet, and whether the connection
        # stays open after each.
        self._requests: list[tuple[Request, bool]] = []
        self.stream = stream_module.Stream(loop, sock, self, is_connected=True)

    def on_data(self, data: bytes) -> None:
        is_malformed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # An upgrade to another protocol is not supported.
            is_malformed = True
        # The parser reports an exception in its callbacks as a malformed
        # request, so the requests are handled outside of them.
        requests, self._requests = self._requests, []
        for req, stays_open in requests:
            if not self.stream.is_open:
                return
            self.stream.write(self._on_request(req).to_bytes())
            if not stays_open:
                self._finish()
        if is_malformed:
            self._reject(400)

    def on_closed(self, reason: str) -> None:
        self._on_end(self)

    def on_message_begin(self) -> None:
        """Called by the parser at the start of a request."""
        self._path = ''
        self._body = b''

    def on_url(self, url: bytes) -> None:
        """Called by the parser with the path or a part of it."""
        self._path += url.decode('latin-1')
        if len(self._path) > MAX_PATH_BYTES:
            self._reject(414)

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of the body."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request."""
        req = Request(self._parser.get_method().decode(), self._path,
                      self._body)
        self._requests.append((req, self._parser.should_keep_alive()))

    def _reject(self, status: int) -> None:
        if self.stream.is_open:
            self.stream.write(Response(status).to_bytes())
            self._finish()

    def _finish(self) -> None:
        self.stream.close()
        self._on_end(self)


class HttpServer:
    """Serves HTTP requests at one address."""

    def __init__(self, loop: loop_module.Loop, address: ids.Address,
                 on_request: OnRequest):
        self._loop = loop
        self._on_request = on_request
        self._connections: set[_Connection] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        loop.watch(self._sock, self._accept)

    @property
    def address(self) -> ids.Address:
        """The address to which the socket is bound."""
        return self._sock.getsockname()

    def close(self) -> None:
        """Closes the socket and all connections."""
        self._loop.watch(self._sock)
        self._sock.close()
        for connection in tuple(self._connections):
            connection.stream.close()

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            # The client closed the connection before it was accepted.
            return
        sock.setblocking(False)
        stream_module.set_keepalive(sock)
        self._connections.add(
            _Connection(self._loop, sock, self._on_request,
                        self._connections.discard))
