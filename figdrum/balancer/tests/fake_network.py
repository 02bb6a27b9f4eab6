"""A reactor and network in virtual time for tests of whole processes."""

# Twisted's names.
# pylint: disable=invalid-name

import ipaddress

from twisted.internet import address
from twisted.internet import error
from twisted.internet import main
from twisted.internet import task
from twisted.python import failure

_DELAY_S = 0.001
_FIRST_PORT = 20_000


class _Port:
    """A bound port."""

    def __init__(self, ports, bound):
        self._ports = ports
        self._bound = bound

    def getHost(self):
        """Returns the address."""
        return address.IPv4Address('TCP', *self._bound)

    def stopListening(self):
        """Frees the port."""
        self._ports.pop(self._bound, None)


class _UdpTransport:
    """Transport of a UDP protocol."""

    def __init__(self, network, bound):
        self._network = network
        self._bound = bound

    def write(self, datagram, to):
        """Sends a datagram; it is lost if no port is bound to `to`."""
        self._network.send(self._bound, to, datagram)


class _TcpTransport:
    """Transport of one end of a TCP connection."""

    def __init__(self, network, protocol, hosts):
        self._network = network
        self.protocol = protocol
        self._hosts = hosts
        self.remote = None
        self.is_open = True

    def write(self, data):
        """Sends bytes to the other end."""
        self._network.callLater(_DELAY_S, self.remote.receive, data)

    def receive(self, data):
        """Receives bytes from the other end."""
        if self.is_open and not self._hosts & self._network.disconnected_hosts:
            self.protocol.dataReceived(data)

    def abortConnection(self):
        """Closes both ends."""
        for end in (self, self.remote):
            self._network.callLater(_DELAY_S, end.close)

    def close(self):
        """Reports the closed connection to the protocol, once."""
        if self.is_open:
            self.is_open = False
            self.protocol.connectionLost(failure.Failure(main.CONNECTION_DONE))

    def ignore(self, *args):
        """Does nothing."""

    setTcpNoDelay = setTcpKeepAlive = registerProducer = ignore
    unregisterProducer = ignore


class _Connector:
    """A connection that is being opened."""

    def __init__(self):
        self.stopped = False

    def disconnect(self):
        """Cancels the connection."""
        self.stopped = True


class FakeNetwork(task.Clock):
    """The reactor of all processes of a test.

    Attributes:
        disconnected_hosts: Hosts that can neither send nor receive.
        stopped_hosts: Hosts whose timers do not run; they must also be in
            `disconnected_hosts`.
        sent: (from, to, datagram) of all datagrams.
    """

    def __init__(self):
        super().__init__()
        self.disconnected_hosts = set()
        self.stopped_hosts = set()
        self.sent = []
        self._udp = {}
        self._tcp = {}
        self._next_port = _FIRST_PORT

    def _bind(self, ports, wanted, endpoint):
        if not wanted[1]:
            self._next_port += 1
            wanted = (wanted[0], self._next_port)
        if wanted in ports:
            raise error.CannotListenError(*wanted, 'in use')
        ports[wanted] = endpoint
        return wanted

    def listenUDP(self, port, protocol, interface, max_size):
        """Binds a UDP port."""
        del max_size
        bound = self._bind(self._udp, (interface, port), protocol)
        protocol.transport = _UdpTransport(self, bound)
        return _Port(self._udp, bound)

    def listenTCP(self, port, factory, interface):
        """Binds a TCP port."""
        return _Port(self._tcp, self._bind(self._tcp, (interface, port),
                                           factory))

    def connectTCP(self, host, port, factory, timeout, source=''):
        """Connects from `source` to a TCP port after a short time."""
        del timeout
        assert ipaddress.IPv4Address(host) and 0 < port < 2**16
        connector = _Connector()
        self.callLater(_DELAY_S, self._connect, connector, source, (host, port),
                       factory)
        return connector

    def _connect(self, connector, source, to, factory):
        if connector.stopped:
            factory.clientConnectionFailed(connector,
                                           failure.Failure(error.UserError()))
            return
        listener = self._tcp.get(to)
        accepted = None
        hosts = {source, to[0]}
        if listener is not None and not hosts & self.disconnected_hosts:
            accepted = listener.buildProtocol(None)
        if accepted is None:
            factory.clientConnectionFailed(
                connector, failure.Failure(error.ConnectionRefusedError()))
            return
        ends = [
            _TcpTransport(self, protocol, hosts)
            for protocol in (factory.buildProtocol(None), accepted)
        ]
        ends[0].remote, ends[1].remote = ends[1], ends[0]
        for end in ends:
            end.protocol.makeConnection(end)

    def send(self, src, dst, datagram):
        """Delivers a datagram after a short time."""
        self.sent.append((src, dst, datagram))
        if (dst[0] not in self.disconnected_hosts and
                src[0] not in self.disconnected_hosts):
            self.callLater(_DELAY_S, self._deliver, src, dst, datagram)

    def _deliver(self, src, dst, datagram):
        protocol = self._udp.get(dst)
        if protocol is not None:
            protocol.datagramReceived(datagram, src)

    def run(self, seconds):
        """Advances the time in steps from one scheduled call to the next."""
        end = self.seconds() + seconds
        while self.calls and self.calls[0].getTime() <= end:
            self.advance(max(0, self.calls[0].getTime() - self.seconds()))
        self.advance(max(0, end - self.seconds()))


class Host:
    """The reactor of one host of a network."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def __getattr__(self, name):
        return getattr(self._network, name)

    def callLater(self, delay, fn, *args):
        """Calls `fn` unless the host is in `stopped_hosts` at that time."""

        def call():
            if self._name not in self._network.stopped_hosts:
                fn(*args)

        return self._network.callLater(delay, call)

    def connectTCP(self, host, port, factory, timeout):
        """Connects from this host."""
        return self._network.connectTCP(host, port, factory, timeout,
                                        self._name)
