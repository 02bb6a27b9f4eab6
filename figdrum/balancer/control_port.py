"""The TCP port for gossip and subscriptions, and streams to other balancers.

Explanation
===========

A stream to another balancer is opened with the first message to it and closed
after it was idle for 30 s. Incoming streams stay open until the peer closes
them; agents keep theirs open. The number of streams of each kind is limited.
"""

import collections.abc
import dataclasses
import ipaddress
import typing

from twisted.internet import error
from twisted.internet import protocol

from figdrum.balancer import control_stream
from figdrum.core import clock
from figdrum.core import ids
from figdrum.messages import codec
from figdrum.messages import control

CONNECT_TIMEOUT_MS = 1000
IDLE_TIMEOUT_MS = 30_000

# A balancer has 21 subscribed agents and a few streams from other balancers.
MAX_INCOMING = 256
MAX_OUTGOING = 32

# Messages queued while a stream is being opened. Further ones are dropped, as
# later messages make up for them.
_MAX_QUEUED = 8

_MAX_PORT = 65_535

OnMessage = collections.abc.Callable[
    [control_stream.ControlStream, codec.Message], None]
OnClosed = collections.abc.Callable[[control_stream.ControlStream], None]
CountError = collections.abc.Callable[[str], None]


@dataclasses.dataclass(slots=True)
class _OutgoingStream:
    address: ids.Address
    last_used_ms: int
    connector: typing.Any = None
    stream: control_stream.ControlStream | None = None
    queue: list[control.Message] = dataclasses.field(default_factory=list)


class ControlPort:
    """Accepts and opens the control streams of a balancer."""

    def __init__(self, reactor: typing.Any, time_source: clock.Clock,
                 on_message: OnMessage, on_closed: OnClosed,
                 count_error: CountError):
        """Initializes the port without listening.

        Args:
            reactor: Twisted's reactor.
            time_source: Source of the time.
            on_message: Called with the stream and the message.
            on_closed: Called when a stream has ended.
            count_error: Called with the name of a metric for each error.
        """
        self._reactor = reactor
        self._clock = time_source
        self._on_message = on_message
        self._on_closed = on_closed
        self.count_error = count_error
        self._incoming: set[control_stream.ControlStream] = set()
        self._outgoing: dict[ids.Address, _OutgoingStream] = {}
        self._listener: typing.Any = None

    def listen(self, address: ids.Address) -> ids.Address:
        """Accepts streams; returns the address with the bound port."""
        self._listener = self._reactor.listenTCP(address[1],
                                                 _IncomingFactory(self),
                                                 interface=address[0])
        return (address[0], self._listener.getHost().port)

    def send(self, address: ids.Address, message: control.Message) -> None:
        """Sends `message` to `address`, or drops and counts it."""
        now_ms = self._clock.now_ms()
        outgoing = self._outgoing.get(address)
        if outgoing is None:
            if not _is_remote(address):
                self.count_error('balancer.bad_peer_address')
                return
            if len(self._outgoing) >= MAX_OUTGOING:
                self._close_least_recently_used()
            outgoing = _OutgoingStream(address, now_ms)
            self._outgoing[address] = outgoing
            outgoing.connector = self._reactor.connectTCP(
                address[0],
                address[1],
                _OutgoingFactory(self, outgoing),
                timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_S)
        outgoing.last_used_ms = now_ms
        if outgoing.stream is not None:
            outgoing.stream.send(message)
        elif len(outgoing.queue) < _MAX_QUEUED:
            outgoing.queue.append(message)
        else:
            self.count_error('balancer.control_not_sent')

    def close_idle(self) -> None:
        """Closes streams to other balancers that were idle for 30 s."""
        now_ms = self._clock.now_ms()
        for outgoing in list(self._outgoing.values()):
            if now_ms - outgoing.last_used_ms >= IDLE_TIMEOUT_MS:
                self._remove(outgoing)

    def close(self) -> None:
        """Stops listening and ends all streams."""
        if self._listener is not None:
            self._listener.stopListening()
        for outgoing in list(self._outgoing.values()):
            self._remove(outgoing)
        for stream in list(self._incoming):
            stream.close()

    def has_room(self) -> bool:
        """Returns True if another incoming stream can be accepted."""
        return len(self._incoming) < MAX_INCOMING

    def on_opened(self, stream: control_stream.ControlStream) -> None:
        """Registers a new stream and sends its queue; see `StreamOwner`."""
        outgoing = self._outgoing_of(stream)
        if outgoing is None:
            self._incoming.add(stream)
            return
        for message in outgoing.queue:
            stream.send(message)
        outgoing.queue.clear()

    def on_message(self, stream: control_stream.ControlStream,
                   message: codec.Message) -> None:
        """Passes a message on; see `StreamOwner`."""
        outgoing = self._outgoing_of(stream)
        if outgoing is not None:
            outgoing.last_used_ms = self._clock.now_ms()
        self._on_message(stream, message)

    def on_closed(self, stream: control_stream.ControlStream) -> None:
        """Removes a stream; see `StreamOwner`."""
        self._incoming.discard(stream)
        outgoing = self._outgoing_of(stream)
        if outgoing is not None:
            del self._outgoing[outgoing.address]
        self._on_closed(stream)

    def on_not_connected(self, outgoing: _OutgoingStream) -> None:
        """Removes a stream that could not be opened."""
        self.count_error('balancer.peer_not_reached')
        if self._outgoing.get(outgoing.address) is outgoing:
            del self._outgoing[outgoing.address]

    def _outgoing_of(
            self,
            stream: control_stream.ControlStream) -> _OutgoingStream | None:
        return next((o for o in self._outgoing.values() if o.stream is stream),
                    None)

    def _close_least_recently_used(self) -> None:
        self._remove(min(self._outgoing.values(), key=lambda o: o.last_used_ms))

    def _remove(self, outgoing: _OutgoingStream) -> None:
        self._outgoing.pop(outgoing.address, None)
        if outgoing.stream is not None:
            outgoing.stream.close()
        else:
            outgoing.connector.disconnect()


def _is_remote(address: ids.Address) -> bool:
    """Returns True for a dotted IPv4 address with a port above 0.

    Addresses come from digests. A host name would start a DNS lookup.
    """
    try:
        ipaddress.IPv4Address(address[0])
        return 0 < address[1] <= _MAX_PORT
    except ValueError:
        return False


class _IncomingFactory(protocol.ServerFactory):
    """Accepts streams up to `MAX_INCOMING`."""
    noisy = False

    def __init__(self, port: ControlPort):
        self._port = port

    def buildProtocol(self, addr):
        if not self._port.has_room():
            self._port.count_error('balancer.too_many_streams')
            return None
        return control_stream.ControlStream(self._port)


class _OutgoingFactory(protocol.ClientFactory):
    """Builds the stream of one outgoing connection."""
    noisy = False

    def __init__(self, port: ControlPort, outgoing: _OutgoingStream):
        self._port = port
        self._outgoing = outgoing

    def buildProtocol(self, addr):
        self._outgoing.stream = control_stream.ControlStream(self._port)
        return self._outgoing.stream

    def clientConnectionFailed(self, connector, reason):
        if not reason.check(error.UserError):
            self._port.on_not_connected(self._outgoing)
