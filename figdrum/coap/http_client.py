"""HTTP client for the target beside the agent.

Explanation
===========

Each request opens a connection of its own. On a persistent connection, a second
copy of a response that comes late would be taken for the response to the next
request. Also, if the target closed a persistent connection while a request was
sent, it would be unknown whether the request ran. Cancelling a call closes
its connection. If a connection could not be established, the request certainly
did not run; every other failure leaves the outcome unknown. A body without a
length or with a wrong one is a failure, so that no caller takes part of a
response for the whole.

References
==========

RFC 9112, section 9; Twisted, "Using the Twisted Web Client".
"""

import typing

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

from figdrum.core import clock
from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import ports

MAX_BODY_BYTES = 16_000_000
CONNECT_TIMEOUT_S = 2
DID_NOT_RUN = ports.TargetAnswer(ports.NOT_CONNECTED, b'', True)


# The methods below are documented in IBodyProducer.
# pylint: disable=missing-function-docstring
@interface.implementer(iweb.IBodyProducer)
class _BodyProducer:
    """Request body that is written in one piece."""

    def __init__(self, data: bytes):
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer):  # pylint: disable=invalid-name
        consumer.write(self._data)
        return defer.succeed(None)

    def pauseProducing(self):  # pylint: disable=invalid-name
        pass

    def resumeProducing(self):  # pylint: disable=invalid-name
        pass

    def stopProducing(self):  # pylint: disable=invalid-name
        pass


# pylint: enable=missing-function-docstring


class _BodyCollector(protocol.Protocol):
    """Collects a whole response body of at most `MAX_BODY_BYTES`."""

    def __init__(self, done: defer.Deferred):
        self._done = done
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            self.abort()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        if self._done.called:
            return
        if reason.check(client.ResponseDone):
            self._done.callback(b''.join(self._parts))
        else:
            self._done.errback(reason)

    def abort(self) -> None:
        """Closes the connection."""
        if self.transport is not None:
            self.transport.loseConnection()
            abort = getattr(self.transport, 'abortConnection', None)
            if abort is not None:
                abort()


class HttpTarget(ports.Target):
    """Calls the target beside the agent.

    Args:
      reactor: Twisted reactor.
      address: The target's address.
    """

    def __init__(self, reactor: typing.Any, address: ids.Address):
        self._reactor = reactor
        self._address = address
        self._agent = client.Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)

    def call(self, req: ports.TargetRequest) -> defer.Deferred:
        host, port = self._address
        call = self._agent.request(
            req.method.encode(), f'http://{host}:{port}{req.path}'.encode(),
            _headers(req),
            _BodyProducer(req.body) if req.body else None)
        call.addCallback(_read_answer)
        timer = self._reactor.callLater(
            max(1, req.deadline_ms) / clock.MS_PER_S, call.cancel)

        def stop_timer(result):
            if timer.active():
                timer.cancel()
            return result

        call.addBoth(stop_timer)
        call.addErrback(self._on_failure)
        return call

    def _on_failure(self, failure) -> ports.TargetAnswer:
        peer = f'{self._address[0]}:{self._address[1]}'
        if failure.check(error.ConnectError):
            return DID_NOT_RUN
        raise errors.TargetError('call target', peer,
                                 f'{failure.type.__name__} {failure.value}')


def _read_answer(response) -> defer.Deferred:
    reader = None
    done = defer.Deferred(lambda _: reader.abort())
    reader = _BodyCollector(done)
    response.deliverBody(reader)
    did_not_run_header = response.headers.getRawHeaders(b'x-did-not-run',
                                                        [b''])[0]
    did_not_run = (response.code == http.SERVICE_UNAVAILABLE and
                   did_not_run_header.strip() == b'1')
    return done.addCallback(
        lambda body: ports.TargetAnswer(response.code, body, did_not_run))


def _headers(req: ports.TargetRequest) -> http_headers.Headers:
    headers = http_headers.Headers({
        b'X-Deadline-Ms': [str(req.deadline_ms).encode()],
        b'X-Customer': [req.customer.encode()],
        b'X-Service': [req.service.encode()],
    })
    if req.key:
        headers.addRawHeader(b'Idempotency-Key', req.key.encode())
    return headers
