"""Clients of the soak, and the network's routers."""

import functools
import random
import typing
import zlib

from twisted.internet import protocol

from standins.soak import layout
from standins.soak import ledger as ledger_module
from standins.soak import link as link_module
from standins.soak import wire

COPY_S = (0.2, 0.6)
GIVE_UP_S = 1.4
RETRANSMIT_S = 0.2
DEADLINE_S = 3.0
PAUSE_S = 0.25

# Requests that a client sends on one flow.
REQUESTS_PER_FLOW = 20

# Time between two requests of a client that asks as fast as it can.
HASTY_PAUSE_S = 0.03


class Router:
    """Chooses the balancer of a packet by hash over those in rotation."""

    def __init__(self, balancers: list[layout.Machine]):
        self._balancers = balancers
        self.in_rotation = {m.name for m in balancers}

    def choose(self, zone: str, key: str) -> layout.Machine:
        """Returns the balancer for a flow of a client in a zone."""
        own = [m for m in self._balancers if m.zone == zone]
        ready = [m for m in own if m.name in self.in_rotation]
        nodes = ready if 2 * len(ready) >= len(own) else own
        if not nodes:
            nodes = self._balancers
        return max(nodes, key=lambda m: zlib.crc32(f'{key} {m.name}'.encode()))


# One object stands for a whole end of a flow.
# pylint: disable-next=too-many-instance-attributes
class Client(protocol.DatagramProtocol):
    """A client that keeps a flow open and sends one request at a time.

    Attributes:
      link: What happens to its packets.
      is_hasty: It opens a flow for each request, one soon after the other.
    """

    def __init__(self, reactor: typing.Any, host: str, zone: str, *,
                 service: wire.Address, is_unsafe: bool, is_counted: bool,
                 router: Router, rng: random.Random,
                 ledger: ledger_module.Ledger,
                 holders: typing.Callable[[wire.Address, wire.Address],
                                          list[str]]):
        self._reactor = reactor
        self._host = host
        self._zone = zone
        self._service = service
        self._kind = 'unsafe' if is_unsafe else 'safe'
        self._is_counted = is_counted
        self.link = link_module.Link(reactor, rng)
        self.is_hasty = False
        self._router = router
        self._rng = rng
        self._ledger = ledger
        self._holders = holders
        self._port = 30_000
        self._number = 0
        self._timers: list[typing.Any] = []
        self._is_open = False
        self._request = ''
        self._data = b''
        self._asked_ms = 0
        self._may_repeat = True
        self._seq = 1
        self._ack = 0
        self._transport: typing.Any = None
        self._deadline: typing.Any = None

    def start(self) -> None:
        """Begins with a request after a random pause."""
        self._transport = self._reactor.listenUDP(layout.PACKET_PORT,
                                                  self,
                                                  interface=self._host)
        self._reactor.callLater(self._rng.random(), self._begin)

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Takes a packet of a server, or a reset."""
        self.link.carry(self._take, datagram)

    def _take(self, datagram: bytes) -> None:
        packet = wire.decode(datagram)
        if packet.dst != (self._host, self._port):
            return
        if packet.flags & wire.RST:
            self._on_reset(packet)
            return
        if packet.sum != wire.SUM or packet.src != self._service:
            self._ledger.note_broken('changed packet', self._now_ms(),
                                     f'{self._host}: {packet}')
        if packet.flags & wire.SYN:
            self._on_accepted(packet)
        elif packet.data and self._is_waiting and packet.seq == self._ack:
            self._on_answer(packet)

    @property
    def _is_waiting(self) -> bool:
        return self._deadline is not None and self._deadline.active()

    def _now_ms(self) -> int:
        return int(self._reactor.seconds() * 1_000)

    def _begin(self) -> None:
        self._number += 1
        self._request = f'{self._host}-{self._number}'
        self._asked_ms = self._now_ms()
        self._may_repeat = True
        if self._is_counted:
            self._ledger.note_asked(self._asked_ms)
        self._deadline = self._reactor.callLater(DEADLINE_S, self._finish,
                                                 'deadline')
        if (self._is_open and not self.is_hasty and
                self._number % REQUESTS_PER_FLOW):
            self._send_request()
        else:
            self._open()

    def _open(self) -> None:
        self._cancel()
        self._close()
        self._port += 1
        self._is_open = False
        self._seq = 1
        self._ack = 0
        self._send_opening(0)
        for copies, delay_s in enumerate(COPY_S, 1):
            self._later(delay_s, self._send_opening, copies)
        self._later(GIVE_UP_S, self._open)

    def _close(self) -> None:
        if self._is_open:
            self._send(wire.FIN | wire.ACK, self._seq, self._ack)

    def _send_opening(self, copies: int) -> None:
        self._send(wire.SYN, 0, copies)

    def _on_accepted(self, packet: wire.Packet) -> None:
        if self._is_open or not self._is_waiting:
            return
        self._cancel()
        self._is_open = True
        self._ack = packet.seq + 1
        self._send(wire.ACK, self._seq, self._ack)
        self._send_request()

    def _send_request(self) -> None:
        self._may_repeat = self._kind == 'safe'
        data = f'{self._kind} {self._request} '.encode().ljust(120, b'.')
        self._data = data
        self._repeat(RETRANSMIT_S)

    def _repeat(self, delay_s: float) -> None:
        self._send(wire.ACK, self._seq, self._ack, self._data)
        self._later(delay_s, self._repeat, min(2 * delay_s, 1.6))

    def _on_answer(self, packet: wire.Packet) -> None:
        status, request, *_ = packet.data.decode().split()
        self._cancel()
        if request != self._request:
            self._ledger.note_broken('wrong answer', self._now_ms(),
                                     f'{request} in place of {self._request}')
        self._ack += len(packet.data)
        self._seq += len(self._data)
        self._send(wire.ACK, self._seq, self._ack)
        self._finish('served' if status == '200' else 'shed')

    def _on_reset(self, packet: wire.Packet) -> None:
        was_open = self._is_open
        if was_open:
            if not -76_800 <= packet.seq - self._ack <= 76_800:
                return
            holders = self._holders((self._host, self._port), self._service)
            if holders:
                self._ledger.note_broken(
                    'open flow reset', self._now_ms(),
                    f'{self._host}:{self._port} held by {holders}')
        self._is_open = False
        self._cancel()
        if not self._is_waiting:
            return
        if self._may_repeat or not was_open:
            self._later(0.05, self._open)
        else:
            self._finish('cut')

    def _finish(self, outcome: str) -> None:
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        self._cancel()
        if outcome != 'served':
            self._close()
            self._is_open = False
        if self._is_counted:
            self._ledger.note_outcome(self._asked_ms, outcome)
        pause_s = HASTY_PAUSE_S if self.is_hasty else PAUSE_S
        self._reactor.callLater(pause_s * (0.5 + self._rng.random()),
                                self._begin)

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b'') -> None:
        src = (self._host, self._port)
        node = self._router.choose(self._zone, f'{src}')
        if flags & wire.SYN:
            self._ledger.note_opening(src, self._now_ms(), node.name)
        self.link.carry(
            functools.partial(self._write, (node.host, layout.PACKET_PORT)),
            wire.encode(flags, src, self._service, seq, ack, data))

    def _write(self, address: wire.Address, raw: bytes) -> None:
        self._transport.write(raw, address)

    def _later(self, delay_s: float, fn: typing.Callable, *args:
               typing.Any) -> None:
        self._timers.append(self._reactor.callLater(delay_s, fn, *args))

    def _cancel(self) -> None:
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
