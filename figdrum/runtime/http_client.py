"""A non-blocking HTTP/1.1 client with one request in flight at a time.

Explanation
===========

A response does not say which request it belongs to, and a server may send a
copy of an earlier response late. So each request has a connection of its own,
on which only its own response can arrive.

References
==========

RFC 9112, HTTP/1.1.
"""

import collections
import collections.abc
import errno
import typing

import httptools

from figdrum.core import errors
from figdrum.core import ids
from figdrum.runtime import loop as loop_module
from figdrum.runtime import stream as stream_module


class Response(typing.NamedTuple):
    """A complete response.

    Attributes:
      status: HTTP status code.
      headers: Headers by lower-case name.
      body: Complete body.
    """
    status: int
    headers: dict[str, str]
    body: bytes


class NotConnectedError(errors.StoreError):
    """The connection to the server could not be established."""


class RefusedError(NotConnectedError):
    """Nothing listens at the server's address, by its machine's word."""


Result = Response | errors.StoreError
OnResult = collections.abc.Callable[[Result], None]


class _Call:
    """A request that is queued or waits for its response."""
    __slots__ = ('data', 'timeout_ms', 'on_result', 'is_sent')

    def __init__(self, data: bytes, timeout_ms: int, on_result: OnResult):
        self.data = data
        self.timeout_ms = timeout_ms
        self.on_result = on_result
        self.is_sent = False


class HttpClient(stream_module.Handler):
    """Sends requests to a server in order, each over its own connection."""

    def __init__(self, loop: loop_module.Loop, address: ids.Address, name: str):
        self._loop = loop
        self._address = address
        self._name = name
        self._stream: stream_module.Stream | None = None
        self._is_connected = False
        self._parser: typing.Any = None
        self._calls: collections.deque[_Call] = collections.deque()
        self._timer: loop_module.Timer | None = None
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._response: Response | None = None

    @property
    def peer(self) -> str:
        """The server's address as text."""
        return f'{self._address[0]}:{self._address[1]}'

    def call(self, method: str, path: str, body: bytes, timeout_ms: int,
             on_result: OnResult) -> None:
        """Queues a request.

        Args:
          method: HTTP method.
          path: Path with its query.
          body: JSON body, or empty for none.
          timeout_ms: Time in ms from sending the request to the end of the
            response.
          on_result: Called with the response, or with a `StoreError` if there
            is none; a `NotConnectedError` if no connection could be
            established, and a `RefusedError` if nothing listens there.
        """
        head = (f'{method} {path} HTTP/1.1\r\nHost: {self.peer}\r\n'
                'Connection: close\r\n')
        if body:
            head += 'Content-Type: application/json\r\n'
        if body or method in ('POST', 'PUT'):
            head += f'Content-Length: {len(body)}\r\n'
        self._calls.append(
            _Call(head.encode() + b'\r\n' + body, timeout_ms, on_result))
        self._send_next()

    def close(self) -> None:
        """Closes the connection and drops queued requests without a call."""
        self._calls.clear()
        self._disconnect()

    def _send_next(self) -> None:
        if not self._calls or self._calls[0].is_sent:
            return
        call = self._calls[0]
        call.is_sent = True
        self._timer = self._loop.call_later(
            call.timeout_ms, lambda: self._fail(
                errors.StoreError(self._name, self.peer,
                                  'no response before the timeout')))
        if self._stream is None:
            try:
                self._stream = stream_module.connect(self._loop, self._address,
                                                     self)
            except OSError as exc:
                error = self._connect_error(f'cannot connect: {exc.strerror}',
                                            exc.errno)
                self._loop.call_later(0, lambda: self._fail(error))
                return
            self._parser = httptools.HttpResponseParser(self)
        self._stream.write(call.data)

    def on_data(self, data: bytes) -> None:
        reason = ''
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            reason = f'malformed response: {exc}'
        if self._response is not None:
            self._finish()
        elif reason:
            self.on_closed(reason)

    def on_connected(self) -> None:
        self._is_connected = True

    def on_closed(self, reason: str) -> None:
        if self._is_connected or self._stream is None:
            self._fail(errors.StoreError(self._name, self.peer, reason))
        else:
            self._fail(self._connect_error(reason, self._stream.connect_errno))

    def _connect_error(self, reason: str,
                       code: int | None) -> NotConnectedError:
        kind = (RefusedError
                if code == errno.ECONNREFUSED else NotConnectedError)
        return kind(self._name, self.peer, reason)

    def _fail(self, exc: errors.StoreError) -> None:
        self._disconnect()
        if self._calls:
            self._calls.popleft().on_result(exc)
        self._send_next()

    def _finish(self) -> None:
        response = self._response
        self._disconnect()
        self._calls.popleft().on_result(response)
        self._send_next()

    def on_message_begin(self) -> None:
        """Called by the parser at the start of a response."""
        self._headers = {}
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header."""
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a response."""
        if self._response is None:
            self._response = Response(self._parser.get_status_code(),
                                      self._headers, b''.join(self._body))

    def _disconnect(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._stream:
            self._stream.close()
            self._stream = None
        self._response = None
        self._is_connected = False
