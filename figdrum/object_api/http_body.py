"""HTTP request and response bodies that are held in memory.

Explanation
===========

This module replaces two classes of Twisted. `readBody` cannot close the
connection when it is cancelled, because the transport that it is given has no
way to abort, so a response that stalls would keep its connection open.
`FileBodyProducer` copies the body in chunks that the global reactor schedules,
which is unnecessary for a body in memory.
"""

from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http
from twisted.web import iweb
import zope.interface


@zope.interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes a request body in a single call.

    Attributes:
      length: Size of the body in bytes.
    """

    def __init__(self, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer) -> defer.Deferred:  # pylint: disable=invalid-name
        """Writes the body to `consumer`."""
        consumer.write(self._body)
        return defer.succeed(None)

    def stopProducing(self) -> None:  # pylint: disable=invalid-name
        """Does nothing: the whole body has already been written."""

    pauseProducing = stopProducing  # pylint: disable=invalid-name
    resumeProducing = stopProducing  # pylint: disable=invalid-name


class _BodyCollector(protocol.Protocol):
    """Collects the body of a response."""

    def __init__(self):
        self.done: defer.Deferred = defer.Deferred(self._cancel)
        self._chunks: list[bytes] = []

    def dataReceived(self, data):
        self._chunks.append(data)

    def connectionLost(self, reason=protocol.connectionDone):
        if self.done.called:
            return
        # A response without a length ends when its connection is closed, so a
        # truncated one cannot be detected here. The JSON parser detects it.
        if reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.done.callback(b''.join(self._chunks))
        else:
            self.done.errback(reason)

    def _cancel(self, _deferred: defer.Deferred) -> None:
        self.transport.loseConnection()


def read(response) -> defer.Deferred:
    """Reads the whole body of `response`.

    Returns:
      A Deferred of the body in bytes. It fails if the connection is lost before
      the announced length was received. Cancelling it closes the connection.
    """
    collector = _BodyCollector()
    response.deliverBody(collector)
    return collector.done
