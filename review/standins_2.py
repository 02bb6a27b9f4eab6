"""Stand-ins of the second review: store, servers, clients, router, machines.

They follow PROTOCOL.md and use the standard library alone. One event loop runs
all of them. The processes of figdrum are started with the commands of
deploy/system.toml, each on a loopback address of its own.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import traceback
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[1]

SYN, ACK, FIN, RST, BOUNCED = 8, 32, 16, 1, 2
HEAD = struct.Struct('>BB4s4sHHI4sHII')
KEY = b'known to the two ends of a flow only'

HEARTBEAT_MS = 1_200
# Of servers: requests at a time, and the work of one, which takes longer while
# a server is cold; as in the site file sahil-fit.
SLOTS = 2
WORK_S = 0.02
COLD_FACTOR = 1.6
ZONES = ('zone-a', 'zone-b')
SYN_TIMES_S = (0.0, 0.2, 0.6)
SYN_END_S = 1.4
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6)


def now_ms() -> int:
    """Returns the steady time in ms."""
    return time.monotonic_ns() // 1_000_000


class Record:
    """Writes lines with the time since the start to record.txt."""

    def __init__(self, folder: pathlib.Path):
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self._start_ms = now_ms()

    def write(self, text: str) -> None:
        """Writes one line."""
        seconds = (now_ms() - self._start_ms) / 1_000
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()


def checksum(flags: int, dst: bytes, src: bytes, ports: tuple[int, int],
             numbers: tuple[int, int], data: bytes) -> int:
    """Returns the keyed sum over all fields but `echo`, `pad` and BOUNCED."""
    body = struct.pack('>B4s4sHHIIH', flags & ~BOUNCED, dst, src, *ports,
                       *numbers, len(data))
    return zlib.crc32(KEY + body + data) or 1


class Packet:
    """A packet of a flow."""

    def __init__(self, raw: bytes):
        (self.flags, _, self.dst, self.src, self.dport, self.sport, self.sum,
         self.echo, self.length, self.seq, self.ack) = HEAD.unpack_from(raw)
        self.data = raw[HEAD.size:]
        self.raw = raw

    @property
    def is_genuine(self) -> bool:
        """Whether its sender has written it so."""
        return self.length == len(self.data) and self.sum == checksum(
            self.flags, self.dst, self.src, (self.dport, self.sport),
            (self.seq, self.ack), self.data)


def build(flags: int, dst: tuple[bytes, int], src: tuple[bytes, int], seq: int,
          ack: int, data: bytes = b'') -> bytes:
    """Returns the bytes of a packet."""
    total = checksum(flags, dst[0], src[0], (dst[1], src[1]), (seq, ack), data)
    return HEAD.pack(flags, 0, dst[0], src[0], dst[1], src[1], total,
                     b'\0\0\0\0', len(data), seq, ack) + data


class Network:
    """Loopback addresses and ports that are free on all of them."""

    NAMES = ('packets', 'ready', 'control', 'outbound', 'app', 'internal')

    def __init__(self, rng: random.Random):
        self.prefix = f'127.{rng.randint(60, 250)}.{rng.randint(1, 250)}'
        self.ports: dict[str, int] = {}
        port = rng.randint(15_000, 30_000)
        for name in self.NAMES:
            while not all(
                    self._is_free(f'{self.prefix}.{number}', port)
                    for number in range(1, 255, 7)):
                port += 1
            self.ports[name] = port
            port += 1

    @staticmethod
    def _is_free(host: str, port: int) -> bool:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((host, port))
                except OSError:
                    return False
        return True

    def host(self, number: int) -> str:
        """Returns an address."""
        return f'{self.prefix}.{number}'

    def at(self, host: str, name: str) -> str:
        """Returns an address with the port of a name."""
        return f'{host}:{self.ports[name]}'


async def read_request(reader) -> tuple[str, str, bytes] | None:
    """Returns method, path and body of an HTTP request, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        length = 0
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name.lower() == 'content-length':
                length = int(value)
        body = await reader.readexactly(length) if length else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, path, _ = lines[0].split(' ')
    return method, path, body


def response(status: int, body: bytes = b'', headers: str = '') -> bytes:
    """Returns the bytes of an HTTP response."""
    return (f'HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n{headers}'
            f'Content-Length: {len(body)}\r\n\r\n').encode() + body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 10
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()

    async def start(self, host: str) -> str:
        """Serves on a free port; returns the address."""
        server = await asyncio.start_server(self._serve, host, 0)
        return f'{host}:{server.sockets[0].getsockname()[1]}'

    def put(self, kind: str, name: str, spec) -> None:
        """Writes an object, as the operator does."""
        self._change(kind, name, spec, False)

    def delete(self, kind: str, name: str) -> None:
        """Removes an object, as the operator does."""
        self._change(kind, name, None, True)

    def _change(self, kind: str, name: str, spec, removed: bool) -> None:
        self.revision += 1
        if removed:
            item = self.objects.pop((kind, name))
        else:
            item = {
                'meta': {
                    'name': name,
                    'revision': self.revision,
                    'created': self.revision,
                    'finalizers': [],
                    'deleting': False
                },
                'spec': spec,
                'status': None
            }
            self.objects[kind, name] = item
        self._history.append((self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (req := await read_request(reader)) is not None:
                await asyncio.sleep(0.004)
                status, body = await self._answer(*req)
                writer.write(
                    response(status,
                             json.dumps(body).encode(), 'Store-Era: 1\r\n'))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str,
                      body: bytes) -> tuple[int, object]:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split('/')[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ''
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, int(query['watch']),
                                     int(query['waitMs']))
        if method == 'GET' and not name:
            items = [
                item for (its_kind, _), item in sorted(self.objects.items())
                if its_kind == kind
            ]
            return 200, {
                'items': items,
                'hasMore': False,
                'storeRevision': self.revision
            }
        item = self.objects.get((kind, name))
        if method == 'GET':
            return (200, item) if item else (404, {})
        if method == 'DELETE':
            if item is None:
                return 404, {}
            if int(query['revision']) != item['meta']['revision']:
                return 409, item
            self._change(kind, name, None, True)
            return 200, item
        value = json.loads(body)
        if method == 'POST':
            name = value['meta']['name']
            item = self.objects.get((kind, name))
            if item is not None:
                return 409, item
        elif item is None:
            return 404, {}
        elif value['meta'].get('revision') != item['meta']['revision']:
            return 409, item
        if item is None or item['spec'] != value['spec']:
            self._change(kind, name, value['spec'], False)
        return 200, self.objects[kind, name]

    async def _watch(self, kind: str, since: int,
                     wait_ms: int) -> tuple[int, object]:
        end_ms = now_ms() + wait_ms
        while True:
            events = [{
                'object': item,
                'removed': removed
            }
                      for revision, its_kind, item, removed in self._history
                      if its_kind == kind and revision > since]
            left_ms = end_ms - now_ms()
            if events or left_ms <= 0:
                return 200, {'events': events, 'storeRevision': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_ms / 1_000)
            except asyncio.TimeoutError:
                pass


class Machine:
    """A machine with one process of figdrum."""

    def __init__(self, site: 'Site', name: str, role: str, host: str, zone: str,
                 service: str = ''):
        self.site, self.name, self.role = site, name, role
        self.host, self.zone, self.service = host, zone, service
        self.process: subprocess.Popen | None = None
        self.is_ready = False
        self._starts = 0

    def _settings(self) -> str:
        net = self.site.network
        fields = {
            'nodeName': self.name,
            'zone': self.zone,
            'ip': self.host,
            'service': self.service,
            'app': net.at(self.host, 'app'),
            'heartbeatMs': HEARTBEAT_MS,
            'bootstrap': self.site.is_first_start,
            'seeds': [
                net.at(m.host, 'control')
                for m in self.site.machines
                if m.role == 'balancer'
            ][:3],
            'internalPorts': [net.ports['internal'],
                              net.ports['internal'] + 1],
            'listen': {
                'datagramAddr': net.at(self.host, 'packets'),
                'ready': net.at(self.host, 'ready'),
                'control': net.at(self.host, 'control'),
                'outbound': net.at(self.host, 'outbound'),
            },
            'limits': {
                'linkMbps': 1000.0,
                'cpuShare': 1.07,
                'cores': 1
            },
            'bounds': self.site.bounds,
            'platform': {
                'address': self.site.store_address,
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20
            },
        }

        def value(match: re.Match) -> str:
            found = fields
            for part in match.group(1).split('.'):
                found = found[int(part)] if part.isdigit() else found[part]
            if isinstance(found, bool):
                return str(found).lower()
            if isinstance(found, list):
                return ','.join(map(str, found))
            return str(found)

        template = ROOT / self.site.roles[self.role]['template']
        return re.sub(r'\{\{([\w.]+)\}\}', value, template.read_text())

    def launch(self) -> None:
        """Starts the process with the command of the deploy file."""
        path = self.site.folder / f'{self.name}.ini'
        path.write_text(self._settings())
        self._starts += 1
        with open(self.site.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                self.site.roles[self.role]['run'].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'FIGDRUM_SETTINGS': str(path)
                })
        self.site.record.write(f'{self.name}: start {self._starts}')

    def signal(self, number: int) -> None:
        """Sends a signal to the process that this script has started."""
        if self.process is not None and self.process.poll() is None:
            self.site.record.write(
                f'{self.name}: {signal.Signals(number).name}')
            self.process.send_signal(number)

    async def restart(self, number: int, pause_s: float) -> None:
        """Ends the process by a signal, and starts it again."""
        self.signal(number)
        while self.process is not None and self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.site.record.write(f'{self.name}: ended')
        await asyncio.sleep(pause_s)
        self.launch()


class Flow:
    """A flow at a server."""

    def __init__(self, first: int, seq: int):
        self.first, self.seq = first, seq
        self.next_seq = seq + 1
        self.expected = first + 1
        self.is_open = self.has_client_fin = False
        self.answers: dict[int, list[bytes]] = {}


class Server(asyncio.DatagramProtocol):
    """A server beside an agent."""

    def __init__(self, site: 'Site', machine: Machine, name: str):
        self.site, self.machine, self.name = site, machine, name
        self.is_up = False
        self.state = 'ready'
        self.seq = 0
        self.born_ms = 0
        self.cold_until_ms = 0
        self.flows: dict[tuple[bytes, int], Flow] = {}
        # Opening packets that it took while cold: sent and arrived, in ms.
        self.cold_openings: list[tuple[int, int]] = []
        self._slots = asyncio.Semaphore(SLOTS)
        self._health = None
        self._udp = None
        self._beats: asyncio.Task | None = None
        self._acked_state = ''
        self.on_state_acked = lambda state: None

    async def start(self, is_cold: bool) -> None:
        """Starts an incarnation, which holds and knows nothing of before."""
        host, net = self.machine.host, self.site.network
        self.flows = {}
        self._slots = asyncio.Semaphore(SLOTS)
        self.seq = 0
        self.state = 'ready'
        self.born_ms = int(time.time() * 1_000)
        self.cold_until_ms = now_ms() + (self.site.warmup_ms if is_cold else 0)
        loop = asyncio.get_running_loop()
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: self, (host, net.ports['app']))
        self._health = await asyncio.start_server(self._serve_health, host,
                                                  net.ports['app'])
        self.is_up = True
        self._beats = asyncio.create_task(self._send_beats())
        self.site.record.write(f'{self.name} on {self.machine.name}: started, '
                               f'born {self.born_ms}, cold {is_cold}')

    def crash(self) -> None:
        """Ends at once, with all its flows."""
        self.is_up = False
        self._beats.cancel()
        self._udp.close()
        self._health.close()
        self.site.record.write(f'{self.name} on {self.machine.name}: ended')

    async def _serve_health(self, reader, writer) -> None:
        try:
            if await read_request(reader) is not None and self.is_up:
                status = 200 if self.state == 'ready' else 503
                writer.write(
                    response(status, b'', f'X-Instance-Id: {self.name}\r\n'))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _send_beats(self) -> None:
        while True:
            asyncio.create_task(self.send_beat())
            await asyncio.sleep(HEARTBEAT_MS / 1_000)

    async def send_beat(self) -> None:
        """Sends a check-in to the `control` address of the machine."""
        self.seq += 1
        state = self.state
        body = {
            'service': self.machine.service,
            'address': self.site.network.at(self.machine.host, 'app'),
            'zone': self.machine.zone,
            'version': 'v1',
            'slots': SLOTS,
            'state': state,
            'warmupLeftMs': max(0, self.cold_until_ms - now_ms()),
            'seq': self.seq,
            'born': self.born_ms
        }
        status = await self.site.post(
            self.machine.host, f'/figdrum/Instances.Heartbeat/{self.name}',
            body)
        self.site.record.write(
            f'{self.name}: check-in {body["seq"]} {state} warmupLeftMs '
            f'{body["warmupLeftMs"]} -> {status}')
        if status == 200:
            self.on_state_acked(state)

    def datagram_received(self, data: bytes, addr) -> None:
        packet = Packet(data)
        if not packet.is_genuine or packet.flags & BOUNCED:
            self.site.violations.append(f'UNASKED: {self.name} got {data!r}')
            return
        client = (packet.src, packet.sport)
        flow = self.flows.get(client)
        if packet.flags & SYN:
            if flow is None or flow.first != packet.seq:
                flow = self.flows[client] = Flow(packet.seq,
                                                 self.site.rng.getrandbits(31))
                self._on_new_flow(packet)
            self._send(packet, SYN | ACK, flow.seq, packet.seq + 1)
            return
        if flow is None or not 0 < packet.ack - flow.seq < 1 << 24:
            self.site.on_packet(packet, self, False)
            self._write(
                bytes((packet.flags | BOUNCED, 0)) + data[2:])
            return
        self.site.on_packet(packet, self, True)
        flow.is_open = True
        if packet.data and packet.seq == flow.expected:
            flow.expected += len(packet.data)
            asyncio.create_task(self._run(flow, packet))
        elif packet.data:
            for raw in flow.answers.get(packet.seq, ()):
                self._write(raw)
        if packet.flags & FIN:
            flow.has_client_fin = True
            self._send(packet, FIN | ACK, flow.next_seq, packet.seq + 1)

    def _on_new_flow(self, packet: Packet) -> None:
        arrived_ms = now_ms()
        sent_ms = self.site.sent_ms.get((packet.src, packet.sport, packet.seq))
        is_cold = arrived_ms < self.cold_until_ms
        self.site.record.write(
            f'{self.name}: opening {socket.inet_ntoa(packet.src)}:'
            f'{packet.sport}{" (cold)" if is_cold else ""}')
        if is_cold and sent_ms is not None:
            self.cold_openings.append((sent_ms, arrived_ms))

    async def _run(self, flow: Flow, packet: Packet) -> None:
        name = packet.data.split(b'X-Attempt-Id: ')[1].split(b'\r\n')[0]
        born_ms = self.born_ms
        self.site.runs[name.decode()] += 1
        async with self._slots:
            is_cold = now_ms() < self.cold_until_ms
            await asyncio.sleep(WORK_S * (COLD_FACTOR if is_cold else 1))
        if not self.is_up or born_ms != self.born_ms:
            return
        body = b'x' * 200
        data = (b'HTTP/1.1 200 OK\r\nX-Response-Signature: ' + name +
                b'\r\nContent-Length: 200\r\n\r\n' + body)
        raw = build(ACK, (packet.src, packet.sport), (packet.dst, packet.dport),
                    flow.next_seq, packet.seq + len(packet.data), data)
        flow.next_seq += len(data)
        flow.answers[packet.seq] = [raw]
        self._write(raw)

    def _send(self, packet: Packet, flags: int, seq: int, ack: int) -> None:
        self._write(
            build(flags, (packet.src, packet.sport),
                  (packet.dst, packet.dport), seq, ack))

    def _write(self, raw: bytes) -> None:
        if self.is_up:
            self._udp.sendto(
                raw, (self.machine.host, self.site.network.ports['outbound']))


class Client(asyncio.DatagramProtocol):
    """A client host with any number of flows, one port each."""

    def __init__(self, site: 'Site', host: str, zone: str):
        self.site, self.host, self.zone = site, host, zone
        self.address = socket.inet_aton(host)
        self._next_port = 30_000
        self._queues: dict[int, asyncio.Queue] = {}
        self._udp = None

    async def start(self) -> None:
        """Binds the port to which packets for clients are sent."""
        loop = asyncio.get_running_loop()
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.host, self.site.network.ports['packets']))

    def datagram_received(self, data: bytes, addr) -> None:
        packet = Packet(data)
        is_reset = packet.flags & RST and packet.sum == 0
        if not is_reset and not packet.is_genuine:
            self.site.violations.append(f'MIXED: {self.host} got {data!r}')
            return
        queue = self._queues.get(packet.dport)
        if queue is not None:
            queue.put_nowait(packet)

    def send(self, route: tuple[str, int], port: int, flags: int, seq: int,
             ack: int, data: bytes = b'') -> None:
        """Sends a packet through the router."""
        balancer = self.site.route(self, port)
        if balancer is None:
            return
        raw = build(flags, (socket.inet_aton(route[0]), route[1]),
                    (self.address, port), seq, ack, data)
        self._udp.sendto(raw,
                         (balancer.host, self.site.network.ports['packets']))

    def next_port(self) -> int:
        """Returns the port of a new flow."""
        self._next_port += 1
        return self._next_port

    def open_port(self, port: int) -> asyncio.Queue:
        """Returns the queue of packets for a port from now on."""
        queue = self._queues[port] = asyncio.Queue()
        return queue

    def close_port(self, port: int) -> None:
        """Drops packets for a port from now on."""
        self._queues.pop(port, None)


async def _receive(queue: asyncio.Queue, until_s: float) -> Packet | None:
    left_s = until_s - time.monotonic()
    if left_s <= 0:
        return None
    try:
        return await asyncio.wait_for(queue.get(), left_s)
    except asyncio.TimeoutError:
        return None


class ClientFlow:
    """The client's end of a flow."""

    def __init__(self, client: Client, route: tuple[str, int]):
        self.client, self.route = client, route
        self.port = client.next_port()
        self.queue = client.open_port(self.port)
        self.first = client.site.rng.getrandbits(31)
        self.seq, self.ack = self.first + 1, 0
        self.is_open = False

    def send(self, flags: int, data: bytes = b'') -> None:
        """Sends a packet with the current numbers."""
        self.client.send(self.route, self.port, flags, self.seq, self.ack, data)

    async def open(self) -> str:
        """Opens the flow; returns 'open', 'reset' or 'no answer'."""
        site = self.client.site
        start_s = time.monotonic()
        site.sent_ms[self.client.address, self.port, self.first] = now_ms()
        for copy, until in zip(range(3), (*SYN_TIMES_S[1:], SYN_END_S)):
            self.client.send(self.route, self.port, SYN, self.first, copy)
            while (packet := await _receive(self.queue,
                                            start_s + until)) is not None:
                if packet.flags & RST:
                    return 'reset'
                if packet.flags & SYN and packet.ack == self.first + 1:
                    self.ack = packet.seq + 1
                    self.is_open = True
                    return 'open'
        return 'no answer'

    async def request(self, deadline_s: float) -> str:
        """Sends a request; returns 'served', 'reset' or 'deadline'."""
        site = self.client.site
        site.attempts += 1
        name = f'{self.client.host}-{self.port}-{site.attempts}'
        data = (f'GET / HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: {name}\r\n'
                f'\r\n').encode()
        end_s = time.monotonic() + deadline_s
        for wait_s in (*RETRANSMIT_S, *RETRANSMIT_S[-1:] * 8):
            self.send(ACK, data)
            until_s = min(end_s, time.monotonic() + wait_s)
            while (packet := await _receive(self.queue,
                                            until_s)) is not None:
                if packet.flags & RST:
                    site.on_reset(self, packet)
                    self.is_open = False
                    return 'reset'
                if packet.data and packet.seq == self.ack:
                    if name.encode() not in packet.data:
                        site.violations.append(f'MIXED: {name} got '
                                               f'{packet.data!r}')
                    self.ack += len(packet.data)
                    self.seq += len(data)
                    self.send(ACK)
                    return 'served'
            if time.monotonic() >= end_s:
                break
        return 'deadline'

    def close(self) -> None:
        """Closes the flow."""
        if self.is_open:
            self.send(FIN | ACK)
        self.client.close_port(self.port)


async def request_forever(client: Client, route: tuple[str, int],
                          per_s: float, outcomes: dict[str, int]) -> None:
    """Opens a flow for each request, and repeats a failed request twice.

    Args:
      client: The client.
      route: Address of the route.
      per_s: Requests per second.
      outcomes: Number of requests by outcome.
    """

    async def request() -> None:
        outcome = ''
        for _ in range(3):
            flow = ClientFlow(client, route)
            outcome = await flow.open()
            if outcome == 'open':
                outcome = await flow.request(1.0)
            flow.close()
            if outcome == 'served':
                break
            await asyncio.sleep(0.05)
        outcomes[outcome] = outcomes.get(outcome, 0) + 1

    while True:
        asyncio.create_task(request())
        await asyncio.sleep(client.site.rng.uniform(0.5, 1.5) / per_s)


class Site:
    """A small deployment: its machines, servers, clients and store."""

    def __init__(self, folder: pathlib.Path, seed: int):
        self.rng = random.Random(seed)
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='figdrum-review-'))
        self.network = Network(random.Random())
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self.roles = tomllib.load(file)['roles']
        self.bounds = {
            'graceS': 6,
            'drainMs': 3000,
            'warmupOverage': 1.5,
            'warmupSlack': 5
        }
        self.is_first_start = True
        self.cold_per_s = 0.0
        self.warmup_ms = 2_000
        self.version = 1
        self.store = Store()
        self.store_address = ''
        self.machines: list[Machine] = []
        self.servers: list[Server] = []
        self.clients: list[Client] = []
        self.service_of: dict[tuple[str, int], str] = {}
        self.sent_ms: dict[tuple[bytes, int, int], int] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.attempts = 0
        self.on_packet = lambda packet, server, is_held: None
        self.on_reset = lambda flow, packet: None

    def add(self, role: str, zone: str, service: str = '') -> Machine:
        """Adds a machine."""
        number = len(self.machines) + 1
        machine = Machine(self, f'{role}-{number}', role,
                          self.network.host(number), zone, service)
        self.machines.append(machine)
        if role == 'agent':
            self.servers.append(Server(self, machine, f'i-{number}'))
        return machine

    async def add_client(self, zone: str) -> Client:
        """Adds a client host."""
        client = Client(self, self.network.host(150 + len(self.clients)), zone)
        self.clients.append(client)
        await client.start()
        return client

    def write_configuration(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 2
        services = sorted(set(self.service_of.values()))
        self.store.put(
            'config', 'main', {
                'version': self.version,
                'routes': [{
                    'name': f'r-{number}',
                    'hostname': host,
                    'pathPrefix': f'/{port}/',
                    'routeType': 'download',
                    'timeoutMs': 3000,
                    'targetLatencyMs': 500,
                    'priority': 2,
                    'service': service,
                    'maxAttempts': 2
                } for number, ((host, port),
                               service) in enumerate(self.service_of.items())],
                'services': [{
                    'name': service,
                    'healthPath': '/health',
                    'maxConns': 2000,
                    'protocol': 'h1',
                    'tls': False,
                    'warmupS': self.warmup_ms / 1_000,
                    'coldPerS': self.cold_per_s
                } for service in services],
                'limits': {
                    'idleTimeoutMs': 15000
                }
            })

    async def start(self) -> None:
        """Starts the store, the servers and all processes."""
        self.store_address = await self.store.start(self.network.host(250))
        self.write_configuration()
        for server in self.servers:
            await server.start(is_cold=False)
        for machine in self.machines:
            machine.launch()
        asyncio.create_task(self._check_ready())

    async def _check_ready(self) -> None:
        """Checks the readiness of balancers, as the platform does."""
        missed: collections.Counter[str] = collections.Counter()
        balancers = [m for m in self.machines if m.role == 'balancer']
        while True:
            for machine in balancers:
                status = await self.get(machine.host, 'ready',
                                        '/figdrum/ready')
                if status == 200:
                    missed[machine.name] = 0
                    machine.is_ready = True
                else:
                    missed[machine.name] += 1
                    if missed[machine.name] >= 2:
                        machine.is_ready = False
            await asyncio.sleep(0.5)

    def route(self, client: Client, port: int) -> Machine | None:
        """Returns the balancer for a flow, as the platform's routers do."""
        balancers = [m for m in self.machines if m.role == 'balancer']
        in_zone = [m for m in balancers if m.zone == client.zone]
        ready = [m for m in in_zone if m.is_ready]
        chosen = ready if 2 * len(ready) >= len(in_zone) else in_zone
        if not ready:
            chosen = [m for m in balancers if m.is_ready] or in_zone
        return max(chosen,
                   default=None,
                   key=lambda m: zlib.crc32(f'{client.host} {port} {m.name}'.
                                            encode()))

    async def wait_ready(self, limit_s: float) -> bool:
        """Waits until all balancers are ready and all agents registered."""
        end_s = time.monotonic() + limit_s
        agents = sum(m.role == 'agent' for m in self.machines)
        while time.monotonic() < end_s:
            known = sum(kind == 'figdrum-agents' for kind, _ in
                        self.store.objects)
            if known == agents and all(
                    m.is_ready for m in self.machines if m.role == 'balancer'):
                return True
            await asyncio.sleep(0.1)
        return False

    async def call(self, host: str, name: str, data: bytes,
                   limit_s: float) -> int:
        """Sends an HTTP request; returns the status, 0 without an answer."""

        async def exchange() -> int:
            reader, writer = await asyncio.open_connection(
                host, self.network.ports[name])
            try:
                writer.write(data)
                line = await reader.readline()
                return int(line.split()[1]) if line else 0
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), limit_s)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0

    async def get(self, host: str, name: str, path: str) -> int:
        """Sends a GET request."""
        data = f'GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode()
        return await self.call(host, name, data, 0.4)

    async def post(self, host: str, path: str, value) -> int:
        """Sends a POST request to a `control` address."""
        return await self.post_raw(host, path, json.dumps(value).encode())

    async def post_raw(self, host: str, path: str, body: bytes) -> int:
        """Sends a POST request with a body to a `control` address."""
        head = (f'POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: '
                f'application/json\r\nContent-Length: {len(body)}\r\n\r\n')
        return await self.call(host, 'control', head.encode() + body, 1.0)

    def check_cold_openings(self) -> str:
        """Returns how FAILBACK was broken, '' if it held.

        Only openings count that were sent and arrived inside one second.
        """
        most, who = 0, ''
        for server in self.servers:
            for start_ms, _ in server.cold_openings:
                count = sum(start_ms <= sent_ms and
                            arrived_ms < start_ms + 1_000
                            for sent_ms, arrived_ms in server.cold_openings)
                if count > most:
                    most, who = count, server.name
        bound = (self.cold_per_s * self.bounds['warmupOverage'] +
                 self.bounds['warmupSlack'])
        self.record.write(f'most openings at a cold server in a second: {most} '
                          f'{who}, bound {bound}')
        if most <= bound:
            return ''
        return (f'FAILBACK: {who} took {most} openings in one second while '
                f'cold; the bound is {bound}')

    def end(self) -> None:
        """Kills all processes that this script has started; removes its folder."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(run_case, folder: pathlib.Path, seed: int = 1) -> None:
    """Runs a case and exits with 0, 1 or 2.

    Args:
      run_case: Coroutine function; takes the site and whether there is a
        disruption. It returns what broke the rule, '' if it held, and None if
        the case could not run.
      folder: Folder of the case.
      seed: Seed of what is drawn.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> None:
        try:
            site = Site(folder, seed)
        except OSError as exc:
            print(exc, flush=True)
            os._exit(2)
        site.record.write(f'trouble: {has_trouble}')
        try:
            broken = await asyncio.wait_for(run_case(site, has_trouble), 110)
        except Exception:  # A fault of the stand-ins is no result.
            site.record.write(traceback.format_exc())
            broken = None
        finally:
            site.end()
        for violation in site.violations[:5]:
            site.record.write(violation)
        text = ('the case could not run' if broken is None else
                f'broken: {broken}' if broken else 'the rule held')
        site.record.write(text)
        print(text, flush=True)
        # Tasks that wait are dropped with the process.
        os._exit(2 if broken is None else 1 if broken else 0)

    asyncio.run(run())
