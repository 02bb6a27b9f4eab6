"""Simulated servers: flows, slots, heartbeats and health checks."""

import collections
import json
import random
import typing
import urllib.request

from twisted.internet import protocol
from twisted.internet import threads
from twisted.web import resource
from twisted.web import server as web_server

from standins.soak import flow_checker as flow_checker_module
from standins.soak import layout
from standins.soak import link as link_module
from standins.soak import observations as observations_module
from standins.soak import opening_checker as opening_checker_module
from standins.soak import wire

# Requests that a server executes at a time.
SLOTS = 2

# Requests that may wait for a slot; further ones are answered with 503.
QUEUE_LIMIT = 16

# Mean time to execute a request; times are distributed exponentially. Uploads
# take longer by a factor.
MEAN_WORK_S = 0.015
UPLOAD_WORK_FACTOR = 4

WARMUP_S = 2.0
HEARTBEAT_TIMEOUT_S = 1.0

# Opening packets that a cold server may get within one second.
COLD_LIMIT = layout.COLD_PER_S * layout.COLD_OVERAGE + layout.COLD_SLACK


class _Flow:
    """State of a flow at a server.

    Attributes:
      client_first: Sequence number of the opening packet.
      initial_seq: Sequence number of the acceptance.
      next_seq: Sequence number of the next byte sent.
      expected_seq: Sequence number of the next request.
      parts: Data of the next request, by sequence number.
      answers: Packets sent as answers, by sequence number of the request; a
        retransmitted request gets the same answer.
      is_open: Whether a packet followed the opening packet.
      is_closed: Whether the client has closed it.
    """
    __slots__ = ('client_first', 'initial_seq', 'next_seq', 'expected_seq',
                 'parts', 'answers', 'is_open', 'is_closed')

    def __init__(self, client_first: int, initial_seq: int):
        self.client_first = client_first
        self.initial_seq = initial_seq
        self.next_seq = initial_seq + 1
        self.expected_seq = client_first + 1
        self.parts: dict[int, bytes] = {}
        self.answers: dict[int, bytes] = {}
        self.is_open = False
        self.is_closed = False


# One object holds the whole state of a server.
# pylint: disable-next=too-many-instance-attributes
class Server(protocol.DatagramProtocol, resource.Resource):
    """A server that runs as the target of an agent on the same machine.

    Each start is a new incarnation with a new name.

    Attributes:
      machine: The machine on which it runs.
      link: Link that carries packets between it and its agent.
      name: Name of its incarnation.
      state: State that it announces, 'ready' or 'draining'.
      is_alive: Whether an incarnation is running.
      drain_acknowledged_ms: When the agent first confirmed a heartbeat with the
        state 'draining', or None.
      flows: Flows of this incarnation by client address.
      started_ms: When its incarnation started.
      last_opening_ms: When it last got an opening packet of a new flow, or
        None.
      states_name: Whether its health responses have its name.
      speed: Factor by which it is faster than the mean.
      copy_delay_s: Longest time until a health response, a second copy of it,
        and a second copy of a heartbeat are sent; 0 if there are no copies.
    """
    isLeaf = True

    def __init__(self, reactor: typing.Any, machine: layout.Machine,
                 rng: random.Random,
                 observations: observations_module.Observations,
                 opening_checker: opening_checker_module.OpeningChecker,
                 flow_checker: flow_checker_module.FlowChecker):
        resource.Resource.__init__(self)
        self.machine = machine
        self._reactor = reactor
        self._rng = rng
        self._observations = observations
        self._opening_checker = opening_checker
        self._flow_checker = flow_checker
        self.link = link_module.Link(reactor, rng)
        self._incarnation_count = 0
        self._udp: typing.Any = None
        self._tcp: typing.Any = None
        self._heartbeat_timer: typing.Any = None
        self.name = ''
        self.state = 'ready'
        self.is_alive = False
        self.drain_acknowledged_ms: int | None = None
        self.flows: dict[wire.Address, _Flow] = {}
        self.started_ms = 0
        self.last_opening_ms: int | None = None
        self.states_name = True
        self.speed = 1.0
        self.copy_delay_s = 0.0
        self._cold_openings: collections.deque[int] = collections.deque()
        self._heartbeat_seq = 0
        self._running_count = 0
        self._queue: collections.deque[typing.Any] = collections.deque()

    def start(self) -> None:
        """Starts a new incarnation, which has no flows."""
        self._incarnation_count += 1
        self.name = f'i-{self.machine.name}-{self._incarnation_count}'
        self.is_alive = True
        self.state = 'ready'
        self.drain_acknowledged_ms = None
        self.started_ms = self.now_ms()
        self.last_opening_ms = None
        self._cold_openings.clear()
        self._heartbeat_seq = 0
        self._running_count = 0
        self._queue.clear()
        self.flows = {}
        host = self.machine.host
        self._udp = self._reactor.listenUDP(layout.TARGET_PORT,
                                            self,
                                            interface=host)
        self._tcp = self._reactor.listenTCP(layout.TARGET_PORT,
                                            web_server.Site(self),
                                            interface=host)
        self._send_heartbeat()

    def crash(self) -> typing.Any:
        """Stops at once, without a drain.

        Returns:
          A Deferred that fires when the UDP port is free.
        """
        self.is_alive = False
        self._observations.note_disturbance(self.machine.name, self.now_ms())
        if self._heartbeat_timer is not None and self._heartbeat_timer.active():
            self._heartbeat_timer.cancel()
        self._tcp.stopListening()
        return self._udp.stopListening()

    def drain(self) -> None:
        """Announces by heartbeat that it is draining."""
        self.state = 'draining'
        self._send_heartbeat()

    def now_ms(self) -> int:
        """Returns the time in ms."""
        return int(self._reactor.seconds() * 1_000)

    # Twisted prescribes the name.
    # pylint: disable-next=invalid-name
    def render_GET(self, request: web_server.Request) -> typing.Any:
        """Answers a health check: 200 if ready, 503 otherwise."""
        if self.copy_delay_s:
            status = '200 OK' if self.state == 'ready' else '503 Draining'
            name = f'X-Instance-Id: {self.name}\r\n' if self.states_name else ''
            raw = f'HTTP/1.1 {status}\r\n{name}Content-Length: 0\r\n\r\n'
            transport = request.channel.transport
            for _ in range(2):
                self._call_later_if_alive(transport.write, raw.encode())
            return web_server.NOT_DONE_YET
        if self.states_name:
            request.setHeader(b'X-Instance-Id', self.name.encode())
        request.setResponseCode(200 if self.state == 'ready' else 503)
        return b''

    def _call_later_if_alive(self, fn: typing.Callable, *args:
                             typing.Any) -> None:
        """Calls `fn` within `copy_delay_s`, unless it has ended by then."""
        name = self.name
        self._reactor.callLater(
            self._rng.random() * self.copy_delay_s, lambda: fn(*args)
            if self.is_alive and name == self.name else None)

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Receives a packet that the agent forwards."""
        self.link.transmit(self._on_packet, datagram)

    def _on_packet(self, datagram: bytes) -> None:
        if not self.is_alive:
            return
        packet = wire.decode(datagram)
        if packet.sum != wire.SUM or packet.flags & wire.BOUNCED:
            self._observations.note_violation('changed packet', self.now_ms(),
                                              f'{self.name}: {packet}')
        if packet.flags & wire.SYN:
            self._on_opening(packet, datagram)
        else:
            self._on_flow_packet(packet, datagram)

    def _on_opening(self, packet: wire.Packet, raw: bytes) -> None:
        now_ms = self.now_ms()
        self._opening_checker.check_opening(now_ms, packet, self.machine,
                                            self.name)
        acknowledged_ms = self.drain_acknowledged_ms
        if (acknowledged_ms is not None and
                now_ms - acknowledged_ms > layout.DRAIN_MS):
            self._observations.note_violation('drain', now_ms, self.name)
        flow = self.flows.get(packet.src)
        is_new = flow is None or flow.client_first != packet.seq
        if is_new:
            self.last_opening_ms = now_ms
            if now_ms - self.started_ms < WARMUP_S * 1_000:
                self._check_cold_limit(now_ms)
        if self.state != 'ready' and is_new:
            self._send(wire.bounce(raw))
            return
        if is_new:
            # The client does not use the port for an earlier flow any more.
            flow = self.flows[packet.src] = _Flow(packet.seq,
                                                  self._rng.getrandbits(31))
        self._send(
            wire.encode(wire.SYN | wire.ACK, packet.dst, packet.src,
                        flow.initial_seq, packet.seq + 1))

    def holds(self, flow: flow_checker_module.Flow) -> bool:
        """Returns whether it holds a flow that its client has accepted."""
        known = self.flows.get(flow.client)
        return (self.is_alive and known is not None and not known.is_closed and
                known.client_first == flow.first_seq and
                known.initial_seq == flow.server_first)

    def _check_cold_limit(self, now_ms: int) -> None:
        taken = self._cold_openings
        taken.append(now_ms)
        while taken[0] <= now_ms - 1_000:
            taken.popleft()
        if len(taken) > COLD_LIMIT:
            self._observations.note_violation(
                'cold server', now_ms, f'{self.name}: {len(taken)} in a second')

    def _on_flow_packet(self, packet: wire.Packet, raw: bytes) -> None:
        flow = self.flows.get(packet.src)
        if flow is None or not 0 < packet.ack - flow.initial_seq < 1 << 24:
            self._flow_checker.note_stray(self.now_ms(), packet, self.name)
            self._send(wire.bounce(raw))
            return
        self._flow_checker.note_held(self.now_ms(), packet.src,
                                     flow.client_first)
        flow.is_open = True
        if packet.flags & wire.FIN:
            flow.is_closed = True
            self._send(
                wire.encode(wire.FIN | wire.ACK, packet.dst, packet.src,
                            flow.next_seq, packet.seq + 1))
        elif packet.data and flow.is_closed:
            self._send(
                wire.encode(wire.RST, packet.dst, packet.src, packet.ack, 0))
            return
        if not packet.data:
            return
        answer = flow.answers.get(packet.seq)
        if answer is not None:
            self._send(answer)
        elif packet.seq >= flow.expected_seq:
            flow.parts[packet.seq] = packet.data
            self._take_request(flow, packet)

    def _take_request(self, flow: _Flow, packet: wire.Packet) -> None:
        """Enqueues the next request of a flow, if all of it has arrived."""
        first_seq, data = flow.expected_seq, b''
        while first_seq + len(data) in flow.parts:
            data += flow.parts[first_seq + len(data)]
        if data and len(data) >= wire.request_size(data):
            flow.expected_seq += len(data)
            flow.parts.clear()
            self._enqueue(flow, packet._replace(seq=first_seq, data=data))

    def _enqueue(self, flow: _Flow, packet: wire.Packet) -> None:
        if len(self._queue) >= QUEUE_LIMIT:
            self._answer(flow, packet, f'503 {self._request_id(packet)}')
            return
        self._queue.append((flow, packet, self.name))
        self._run_queued()

    def _run_queued(self) -> None:
        while self._queue and self._running_count < SLOTS:
            flow, packet, name = self._queue.popleft()
            self._running_count += 1
            request = self._request_id(packet)
            kind = packet.data.split()[0]
            self._observations.note_execution(request, kind != b'safe',
                                              self.now_ms())
            rate_per_s = self.speed / MEAN_WORK_S
            if kind == b'upload':
                rate_per_s /= UPLOAD_WORK_FACTOR
            self._reactor.callLater(self._rng.expovariate(rate_per_s),
                                    self._finish, flow, packet, name, request)

    def _finish(self, flow: _Flow, packet: wire.Packet, name: str,
                request: str) -> None:
        if name != self.name or not self.is_alive:
            return
        self._running_count -= 1
        self._answer(flow, packet, f'200 {request} {name}')
        self._run_queued()

    def _request_id(self, packet: wire.Packet) -> str:
        return packet.data.split()[1].decode()

    def _answer(self, flow: _Flow, packet: wire.Packet, text: str) -> None:
        data = text.encode()
        raw = wire.encode(wire.ACK, packet.dst, packet.src, flow.next_seq,
                          packet.seq + len(packet.data), data)
        flow.next_seq += len(data)
        flow.answers[packet.seq] = raw
        self._send(raw)

    def _send(self, raw: bytes) -> None:
        self.link.transmit(self._write, raw)

    def _write(self, raw: bytes) -> None:
        if self.is_alive:
            self._udp.write(raw, (self.machine.host, layout.OUTBOUND_PORT))

    def _send_heartbeat(self) -> None:
        self._heartbeat_seq += 1
        age_s = (self.now_ms() - self.started_ms) / 1_000
        body = {
            'service': self.machine.service,
            'address': f'{self.machine.host}:{layout.TARGET_PORT}',
            'zone': self.machine.zone,
            'version': 'v1',
            'slots': SLOTS,
            'state': self.state,
            'warmupLeftMs': int(max(0.0, WARMUP_S - age_s) * 1_000),
            'seq': self._heartbeat_seq,
            'born': self.started_ms
        }
        name = self.name
        path = f'/figdrum/Instances.Heartbeat/{name}'
        if self.copy_delay_s:
            self._call_later_if_alive(self._post_copy, path, body)
        done = threads.deferToThread(self._post, path, body)
        done.addCallbacks(
            lambda _: self._on_heartbeat_confirmed(name, body['state']),
            lambda _: None)
        self._heartbeat_timer = self._reactor.callLater(
            layout.HEARTBEAT_MS / 1_000, self._send_heartbeat)

    def _post_copy(self, path: str, body: typing.Any) -> None:
        threads.deferToThread(self._post, path, body).addErrback(lambda _: None)

    def _post(self, path: str, body: typing.Any) -> None:
        req = urllib.request.Request(
            f'http://{self.machine.host}:{layout.CONTROL_PORT}{path}',
            json.dumps(body).encode(), {'Content-Type': 'application/json'})
        with urllib.request.urlopen(req, timeout=HEARTBEAT_TIMEOUT_S):
            pass

    def _on_heartbeat_confirmed(self, name: str, state: str) -> None:
        if (state == 'draining' and name == self.name and
                self.drain_acknowledged_ms is None):
            self.drain_acknowledged_ms = self.now_ms()
