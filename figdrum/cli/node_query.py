"""Asks balancers how new their state is.

Explanation
===========

A balancer answers a `Pull` by a `Digest`, after a `Delta` if it is ahead of the
revision in the `Pull`. The revision sent here is above every real one, so that
the answer is the digest alone, some 80 bytes.
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
# Open connections at once; the target size has 910 balancers.
PARALLEL = 32
MAX_ANSWER_BYTES = 65_536


class _Query(protocol.Protocol):
    """Sends the question and waits for the digest."""

    def __init__(self, peer: str):
        self.answer: defer.Deferred = defer.Deferred(self._cancel)
        self._peer = peer
        self._unpacker = msgpack.Unpacker(use_list=False,
                                          max_buffer_size=MAX_ANSWER_BYTES)

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
                errors.MessageError('ask balancer', self._peer, repr(exc)))

    def connectionLost(self,
                       reason: typing.Any = protocol.connectionDone) -> None:
        self._finish(
            errors.NotReadyError('ask balancer', self._peer,
                                 'it closed the connection'))

    def _finish(self, result: typing.Any) -> None:
        if self.answer.called:
            return
        if isinstance(result, Exception):
            self.answer.errback(result)
        else:
            self.answer.callback(result)
        self.transport.abortConnection()

    def _cancel(self, _) -> None:
        self.transport.abortConnection()


@defer.inlineCallbacks
def query_balancer(reactor: typing.Any,
                   address: ids.Address,
                   timeout_ms: int = TIMEOUT_MS):
    """Asks the balancer at control address `address`.

    Returns:
      A Deferred of its `control.Digest`. It fails with `errors.NotReadyError`
      when there is no answer, `errors.MessageError` or `errors.VersionError`
      when it cannot be read.
    """
    peer = f'{address[0]}:{address[1]}'
    timeout_s = timeout_ms / clock.MS_PER_S
    query = _Query(peer)
    endpoint = endpoints.TCP4ClientEndpoint(reactor,
                                            *address,
                                            timeout=timeout_s)
    try:
        yield endpoints.connectProtocol(endpoint, query)
        return (yield query.answer.addTimeout(timeout_s, reactor))
    except errors.FigdrumError:
        raise
    except Exception as exc:
        raise errors.NotReadyError('ask balancer', peer,
                                   str(exc) or 'no answer') from exc


@defer.inlineCallbacks
def query_balancers(reactor: typing.Any, addresses: list[ids.Address]):
    """Asks many balancers, at most `PARALLEL` at once.

    Returns:
      A Deferred of a list of a `control.Digest` or an error per address, in
      their order.
    """
    found: dict[ids.Address, control.Digest | errors.FigdrumError] = {}

    @defer.inlineCallbacks
    def note(address):
        try:
            found[address] = yield query_balancer(reactor, address)
        except errors.FigdrumError as exc:
            found[address] = exc

    slots = defer.DeferredSemaphore(PARALLEL)
    yield defer.gatherResults(
        [slots.run(note, address) for address in addresses])
    return [found[address] for address in addresses]
