"""Queries balancers for the revision of their state.

Explanation
===========

A balancer replies to a `Pull` with a `Digest`. If its state is newer than the
revision in the `Pull`, it sends a `Delta` first. The revision sent here is
higher than any real one, so the reply is only the digest of about 80 bytes.
"""

import typing

import msgpack
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol

from figdrum.core import clock
from figdrum.core import errors
from figdrum.core import ids
from figdrum.messages import codec
from figdrum.messages import control

ABOVE_ALL_REVISIONS = 2**62
TIMEOUT_MS = 2_000
# Maximum number of connections open at once. An installation of the planned
# size has 910 balancers.
MAX_CONCURRENT_QUERIES = 32
# Maximum number of bytes of a reply that are buffered; a digest has about 80.
MAX_REPLY_BYTES = 65_536


class _Query(protocol.Protocol):
    """Sends the `Pull` and waits for the digest.

    Attributes:
      reply: Deferred of the digest; cancelling it closes the connection.
    """

    def __init__(self, peer: str):
        self.reply: defer.Deferred = defer.Deferred(self._cancel)
        self._peer = peer
        self._unpacker = msgpack.Unpacker(use_list=False,
                                          max_buffer_size=MAX_REPLY_BYTES)

    def connectionMade(self) -> None:
        self.transport.write(codec.encode(control.Pull(ABOVE_ALL_REVISIONS)))

    def dataReceived(self, data: bytes) -> None:
        try:
            self._unpacker.feed(data)
            for obj in self._unpacker:
                message = codec.from_object(obj, self._peer)
                if isinstance(message, control.Digest):
                    self._finish(message)
                    return
        except errors.FigdrumError as exc:
            self._finish(exc)
        except (ValueError, msgpack.UnpackException, msgpack.BufferFull,
                RecursionError) as exc:
            self._finish(
                errors.MessageError('query balancer', self._peer, repr(exc)))

    def connectionLost(self,
                       reason: typing.Any = protocol.connectionDone) -> None:
        self._finish(
            errors.NotReadyError('query balancer', self._peer,
                                 'the balancer closed the connection'))

    def _finish(self, result: typing.Any) -> None:
        if self.reply.called:
            return
        if isinstance(result, Exception):
            self.reply.errback(result)
        else:
            self.reply.callback(result)
        self.transport.abortConnection()

    def _cancel(self, _) -> None:
        self.transport.abortConnection()


@defer.inlineCallbacks
def query_balancer(reactor: typing.Any,
                   address: ids.Address,
                   timeout_ms: int = TIMEOUT_MS):
    """Queries one balancer.

    Args:
      reactor: Twisted's reactor.
      address: Control address of the balancer.
      timeout_ms: Time limit in ms for the connection and again for the reply.

    Returns:
      A Deferred of the balancer's `control.Digest`. It fails with
      `errors.NotReadyError` if there is no reply, and with
      `errors.MessageError` or `errors.VersionError` if the reply cannot be
      decoded.
    """
    peer = f'{address[0]}:{address[1]}'
    timeout_s = timeout_ms / clock.MS_PER_S
    query = _Query(peer)
    endpoint = endpoints.TCP4ClientEndpoint(reactor,
                                            *address,
                                            timeout=timeout_s)
    try:
        yield endpoints.connectProtocol(endpoint, query)
        return (yield query.reply.addTimeout(timeout_s, reactor))
    except errors.FigdrumError:
        raise
    except Exception as exc:
        raise errors.NotReadyError('query balancer', peer,
                                   str(exc) or 'no reply') from exc


@defer.inlineCallbacks
def query_balancers(reactor: typing.Any, addresses: list[ids.Address]):
    """Queries several balancers, up to `MAX_CONCURRENT_QUERIES` at once.

    Args:
      reactor: Twisted's reactor.
      addresses: Control addresses of the balancers.

    Returns:
      A Deferred of a list with a `control.Digest` or a `FigdrumError` for each
      address, in the order of the addresses.
    """
    results: dict[ids.Address, control.Digest | errors.FigdrumError] = {}

    @defer.inlineCallbacks
    def collect(address):
        try:
            results[address] = yield query_balancer(reactor, address)
        except errors.FigdrumError as exc:
            results[address] = exc

    semaphore = defer.DeferredSemaphore(MAX_CONCURRENT_QUERIES)
    yield defer.gatherResults(
        [semaphore.run(collect, address) for address in addresses])
    return [results[address] for address in addresses]
