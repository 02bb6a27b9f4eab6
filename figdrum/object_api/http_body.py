"""Bodies of HTTP requests and answers in memory.

Explanation
===========

Twisted's `readBody` cannot close the connection when it is cancelled, because
the transport that it is given has no way to abort; a body that stops coming
would keep its connection. Twisted's `FileBodyProducer` copies in steps that the
global reactor schedules, which a body in memory does not need.
"""

from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http
from twisted.web import iweb
import zope.interface


@zope.interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes a request body at once.

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
        """Does nothing: the body is written already."""

    pauseProducing = stopProducing  # pylint: disable=invalid-name
    resumeProducing = stopProducing  # pylint: disable=invalid-name


class _Collector(protocol.Protocol):
    """Collects an answer's body."""

    def __init__(self):
        self.done: defer.Deferred = defer.Deferred(self._cancel)
        self._parts: list[bytes] = []

    def dataReceived(self, data):
        self._parts.append(data)

    def connectionLost(self, reason=protocol.connectionDone):
        if self.done.called:
            return
        # An answer without a length ends with its connection. One that was cut
        # short is not valid JSON.
        if reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.done.callback(b''.join(self._parts))
        else:
            self.done.errback(reason)

    def _cancel(self, _deferred: defer.Deferred) -> None:
        self.transport.loseConnection()


def read(response) -> defer.Deferred:
    """Returns a Deferred of the whole body of `response`.

    Cancelling it closes the connection. It fails when the body is cut short.
    """
    collector = _Collector()
    response.deliverBody(collector)
    return collector.done
