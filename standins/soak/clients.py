"""Simulated clients, and the network router in front of the balancers."""

import functools
import random
import typing
import zlib

from twisted.internet import protocol

from standins.soak import flow_checker as flow_checker_module
from standins.soak import layout
from standins.soak import link as link_module
from standins.soak import observations as observations_module
from standins.soak import wire

# Times after a flow's first opening packet at which copies of it are sent.
SYN_RETRANSMIT_TIMES_S = (0.2, 0.6)

# Time without an acceptance after which the client opens another flow, from the
# next port.
OPEN_TIMEOUT_S = 1.4

# Time until the first retransmission of a request. It doubles each time, up to
# 1.6 s.
REQUEST_RETRANSMIT_S = 0.2

# Time after which a request that has no answer counts as failed.
DEADLINE_S = 3.0

# Mean pause between the end of a request and the next request.
THINK_TIME_S = 0.25

# Requests that a client sends on one flow.
REQUESTS_PER_FLOW = 20

# Source ports that a client with few ports uses in turn, as a kernel hands out
# ports again.
FIRST_PORT = 30_001
PORT_COUNT = 4

# The same pause during a burst of requests.
BURST_THINK_TIME_S = 0.03


class Router:
    """Chooses the balancer of a packet by rendezvous hashing.

    Attributes:
      in_rotation: Names of the balancers that pass their readiness check.
      links: Links to balancers that may be impaired, by the balancer's name.
    """

    def __init__(self, balancers: list[layout.Machine]):
        self._balancers = balancers
        self.in_rotation = {m.name for m in balancers}
        self.links: dict[str, link_module.Link] = {}

    def choose(self, zone: str, key: str) -> layout.Machine:
        """Returns the balancer for a flow of a client.

        Balancers of the client's zone are used. Those out of rotation are
        skipped, unless they are more than half of the zone. A zone without
        balancers uses those of all zones.

        Args:
          zone: Zone of the client.
          key: Identifies the flow.
        """
        in_zone = [m for m in self._balancers if m.zone == zone]
        ready = [m for m in in_zone if m.name in self.in_rotation]
        candidates = ready if 2 * len(ready) >= len(in_zone) else in_zone
        if not candidates:
            candidates = self._balancers
        return max(candidates,
                   key=lambda m: zlib.crc32(f'{key} {m.name}'.encode()))


# One object holds the whole state of a flow's client side.
# pylint: disable-next=too-many-instance-attributes
class Client(protocol.DatagramProtocol):
    """A client that keeps a flow open and sends one request at a time.

    Attributes:
      link: Link that carries its packets, with the faults of that link.
      has_few_ports: Whether it uses its ports again.
      is_bursting: Whether it opens a flow for each request, with short pauses.
      is_burst_only: Whether it sends requests only in bursts.
      is_urgent: Whether its requests are of the most urgent class.
      service: Address of the service that it uses.
      kind: Kind of its requests, 'safe', 'unsafe' or 'upload'. Only safe ones
        are sent again on another flow.
    """

    def __init__(self, reactor: typing.Any, host: str, zone: str, *,
                 service: wire.Address, is_unsafe: bool, is_counted: bool,
                 router: Router, rng: random.Random,
                 observations: observations_module.Observations,
                 flow_checker: flow_checker_module.FlowChecker):
        self._reactor = reactor
        self._host = host
        self._zone = zone
        self.service = service
        self.kind = 'unsafe' if is_unsafe else 'safe'
        self._is_counted = is_counted
        self.link = link_module.Link(reactor, rng)
        self.is_bursting = False
        self.is_burst_only = False
        self.is_urgent = False
        self.has_few_ports = False
        self._router = router
        self._rng = rng
        self._observations = observations
        self._flow_checker = flow_checker
        self._source_port = FIRST_PORT - 1
        self._first_seq = 0
        self._server_first = 0
        self._request_count = 0
        self._timers: list[typing.Any] = []
        self._is_flow_open = False
        self._request_id = ''
        self._request_data = b''
        self._requested_ms = 0
        self._can_retry = True
        self._seq = 1
        self._ack = 0
        self._transport: typing.Any = None
        self._deadline: typing.Any = None

    def start(self) -> None:
        """Binds the socket and sends the first request within one second."""
        self._transport = self._reactor.listenUDP(layout.PACKET_PORT,
                                                  self,
                                                  interface=self._host)
        self._reactor.callLater(self._rng.random(), self._start_request)

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Receives a packet of a server, or a reset."""
        self.link.transmit(self._on_packet, datagram)

    def _on_packet(self, datagram: bytes) -> None:
        packet = wire.decode(datagram)
        if packet.dst != (self._host, self._source_port):
            return
        if packet.flags & wire.RST:
            self._on_reset(packet)
            return
        if packet.sum != wire.SUM or packet.src != self.service:
            self._observations.note_violation('changed packet', self._now_ms(),
                                              f'{self._host}: {packet}')
        if packet.flags & wire.SYN:
            if packet.ack == self._first_seq + 1:
                self._on_accepted(packet)
        elif (packet.data and self._is_request_pending and
              packet.seq == self._ack):
            self._on_answer(packet)

    @property
    def _is_request_pending(self) -> bool:
        return self._deadline is not None and self._deadline.active()

    @property
    def _flow(self) -> flow_checker_module.Flow:
        return flow_checker_module.Flow((self._host, self._source_port),
                                        self._first_seq, self._server_first,
                                        self.service)

    def _now_ms(self) -> int:
        return int(self._reactor.seconds() * 1_000)

    def _start_request(self) -> None:
        if self.is_burst_only and not self.is_bursting:
            self._reactor.callLater(THINK_TIME_S, self._start_request)
            return
        self._request_count += 1
        self._request_id = f'{self._host}-{self._request_count}'
        self._requested_ms = self._now_ms()
        self._can_retry = True
        if self._is_counted:
            self._observations.note_request(self._requested_ms)
        self._deadline = self._reactor.callLater(DEADLINE_S, self._finish,
                                                 'deadline')
        if (self._is_flow_open and not self.is_bursting and
                self._request_count % REQUESTS_PER_FLOW):
            self._send_request()
        else:
            self._open_flow()

    def _open_flow(self) -> None:
        self._cancel_timers()
        self._close_flow()
        self._source_port += 1
        if self.has_few_ports and self._source_port >= FIRST_PORT + PORT_COUNT:
            self._source_port = FIRST_PORT
        self._is_flow_open = False
        self._first_seq = self._rng.getrandbits(31)
        self._seq = self._first_seq + 1
        self._ack = 0
        self._send_opening(0)
        for copy_number, delay_s in enumerate(SYN_RETRANSMIT_TIMES_S, 1):
            self._start_timer(delay_s, self._send_opening, copy_number)
        self._start_timer(OPEN_TIMEOUT_S, self._open_flow)

    def _close_flow(self) -> None:
        if self._is_flow_open:
            self._send(wire.FIN | wire.ACK, self._seq, self._ack)

    def _send_opening(self, copy_number: int) -> None:
        self._send(wire.SYN, self._first_seq, copy_number)

    def _on_accepted(self, packet: wire.Packet) -> None:
        if self._is_flow_open or not self._is_request_pending:
            return
        self._cancel_timers()
        self._is_flow_open = True
        self._server_first = packet.seq
        self._ack = packet.seq + 1
        self._send(wire.ACK, self._seq, self._ack)
        self._send_request()

    def _send_request(self) -> None:
        self._can_retry = self.kind == 'safe'
        data = f'{self.kind} {self._request_id} '.encode().ljust(120, b'.')
        self._request_data = data.ljust(wire.request_size(data), b'.')
        self._retransmit(REQUEST_RETRANSMIT_S)

    def _retransmit(self, delay_s: float) -> None:
        for start in range(0, len(self._request_data), wire.PART_BYTES):
            self._send(wire.ACK, self._seq + start, self._ack,
                       self._request_data[start:start + wire.PART_BYTES])
        self._start_timer(delay_s, self._retransmit, min(2 * delay_s, 1.6))

    def _on_answer(self, packet: wire.Packet) -> None:
        status, request, *_ = packet.data.decode().split()
        self._cancel_timers()
        if request != self._request_id:
            self._observations.note_violation(
                'wrong answer', self._now_ms(),
                f'{request} in place of {self._request_id}')
        self._ack += len(packet.data)
        self._seq += len(self._request_data)
        self._send(wire.ACK, self._seq, self._ack)
        self._finish('served' if status == '200' else 'shed')

    def _on_reset(self, packet: wire.Packet) -> None:
        was_open = self._is_flow_open
        if was_open:
            if not -76_800 <= packet.seq - self._ack <= 76_800:
                return
            self._flow_checker.check_reset(self._now_ms(), self._flow)
        self._is_flow_open = False
        self._cancel_timers()
        if not self._is_request_pending:
            return
        if self._can_retry or not was_open:
            self._start_timer(0.05, self._open_flow)
        else:
            self._finish('cut')

    def _finish(self, outcome: str) -> None:
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        self._cancel_timers()
        if outcome != 'served':
            self._close_flow()
            self._is_flow_open = False
        if self._is_counted:
            self._observations.note_outcome(self._requested_ms, outcome)
        if self.is_urgent:
            waited_ms = self._now_ms() - self._requested_ms
            self._observations.urgent.append(
                (self._requested_ms,
                 waited_ms if outcome == 'served' else None))
        pause_s = BURST_THINK_TIME_S if self.is_bursting else THINK_TIME_S
        self._reactor.callLater(pause_s * (0.5 + self._rng.random()),
                                self._start_request)

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b'') -> None:
        src = (self._host, self._source_port)
        node = self._router.choose(self._zone, f'{src}')
        if flags & wire.SYN:
            self._observations.note_opening(src, seq, self._now_ms(), node.name)
        else:
            self._flow_checker.note_sent(self._now_ms(), self._flow, node.name)
        deliver = functools.partial(self._write,
                                    (node.host, layout.PACKET_PORT))
        if node.name in self._router.links:
            deliver = functools.partial(self._router.links[node.name].transmit,
                                        deliver)
        self.link.transmit(
            deliver, wire.encode(flags, src, self.service, seq, ack, data))

    def _write(self, address: wire.Address, raw: bytes) -> None:
        self._transport.write(raw, address)

    def _start_timer(self, delay_s: float, fn: typing.Callable, *args:
                     typing.Any) -> None:
        self._timers.append(self._reactor.callLater(delay_s, fn, *args))

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
