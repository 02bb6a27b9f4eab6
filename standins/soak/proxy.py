"""Loopback TCP proxy that delays, discards or resets traffic."""

import enum
import typing

from twisted.internet import protocol


class Mode(enum.Enum):
    """What the proxy does with the bytes of its connections.

    Attributes:
      PASS: Forwards all bytes.
      DELAY: Forwards all bytes, `DELAY_S` later.
      CUT_REQUESTS: Discards bytes from the node to the store.
      CUT_ANSWERS: Discards bytes from the store to the node.
      SILENCE: Discards bytes in both directions.
      NARROW: Forwards `NARROW_BYTES_PER_S` in both directions together.
    """
    PASS = 'pass'
    DELAY = 'delay'
    CUT_REQUESTS = 'cut requests'
    CUT_ANSWERS = 'cut answers'
    SILENCE = 'silence'
    NARROW = 'narrow'


DELAY_S = 0.3
NARROW_BYTES_PER_S = 6_000


class Proxy(protocol.Factory):
    """Forwards connections to one address.

    Attributes:
      mode: Handling of bytes that arrive from now on.
    """

    def __init__(self, reactor: typing.Any, target: tuple[str, int]):
        self.reactor = reactor
        self.target = target
        self.mode = Mode.PASS
        self.connections: set['_Inner'] = set()
        # Time at which the bytes that wait have passed.
        self._free_s = 0.0

    def buildProtocol(self, addr: typing.Any) -> protocol.Protocol:
        return _NodeConnection(self)

    def reset(self) -> None:
        """Resets all connections."""
        for connection in tuple(self.connections):
            connection.transport.abortConnection()

    def forward(self, transport: typing.Any, data: bytes,
                is_request: bool) -> None:
        """Forwards bytes, or delays or discards them, by the current mode."""
        if transport is None or self.mode is Mode.SILENCE:
            return
        if self.mode is (Mode.CUT_REQUESTS if is_request else Mode.CUT_ANSWERS):
            return
        delay_s = DELAY_S if self.mode is Mode.DELAY else 0.0
        if self.mode is Mode.NARROW:
            now_s = self.reactor.seconds()
            self._free_s = max(now_s,
                               self._free_s) + len(data) / NARROW_BYTES_PER_S
            delay_s = self._free_s - now_s
        self.reactor.callLater(delay_s, transport.write, data)


class _NodeConnection(protocol.Protocol):
    """Connection from a node; buffers bytes until the store is connected."""

    def __init__(self, proxy: Proxy):
        self._proxy = proxy
        self._store_conn: typing.Any = None
        self._buffered_request = b''

    def connectionMade(self) -> None:
        self._proxy.connections.add(self)
        creator = protocol.ClientCreator(self._proxy.reactor, _StoreConnection,
                                         self._proxy, self)
        creator.connectTCP(*self._proxy.target).addCallbacks(
            self._on_store_connected,
            lambda _: self.transport.abortConnection())

    def _on_store_connected(self, store_conn: typing.Any) -> None:
        self._store_conn = store_conn
        if self._buffered_request:
            self._proxy.forward(store_conn.transport, self._buffered_request,
                                True)

    def dataReceived(self, data: bytes) -> None:
        if self._store_conn is None:
            self._buffered_request += data
        else:
            self._proxy.forward(self._store_conn.transport, data, True)

    def connectionLost(self, reason: typing.Any = None) -> None:
        self._proxy.connections.discard(self)
        if (self._store_conn is not None and
                self._store_conn.transport is not None):
            self._store_conn.transport.abortConnection()


class _StoreConnection(protocol.Protocol):
    """Connection to the store."""

    def __init__(self, proxy: Proxy, node_conn: _NodeConnection):
        self._proxy = proxy
        self._node_conn = node_conn

    def dataReceived(self, data: bytes) -> None:
        self._proxy.forward(self._node_conn.transport, data, False)

    def connectionLost(self, reason: typing.Any = None) -> None:
        if self._node_conn.transport is not None:
            self._node_conn.transport.loseConnection()
