"""Stand-ins of the platform, its servers and clients, for scripts of a review.

They follow the platform's pages and use nothing but the standard library. All
of them run in one process on one clock; figdrum's own programs are started as
separate processes, with the commands of the deploy file. Every address is a
loopback address, and every machine has one of its own.
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
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

SYN, ACK, FIN, RST, BOUNCED = 8, 32, 16, 1, 2
_HEAD = struct.Struct('>BB4s4sHHIIHII')
# Takes the place of the keyed checksum, which no node may change.
SUM = 0x5AFE5AFE

HEARTBEAT_MS = 1_200
STORE_DELAY_S = 0.004
SYN_COPIES_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
GRACE_S = 6


def now_ms() -> float:
    """Returns the time in ms on the clock of all stand-ins."""
    return time.monotonic() * 1_000


Packet = collections.namedtuple(
    'Packet', 'flags pad dst src sum echo length seq ack data')


def encode(flags, src, dst, seq, ack, data=b''):
    """Returns a packet as a client or server writes it."""
    return _HEAD.pack(flags, 0, socket.inet_aton(dst[0]),
                      socket.inet_aton(src[0]), dst[1], src[1], SUM, 0,
                      len(data), seq % (1 << 32), ack % (1 << 32)) + data


def decode(raw):
    """Decodes a packet."""
    flags, pad, dst, src, dport, sport, total, echo, length, seq, ack = (
        _HEAD.unpack_from(raw))
    return Packet(flags, pad, (socket.inet_ntoa(dst), dport),
                  (socket.inet_ntoa(src), sport), total, echo, length, seq, ack,
                  raw[_HEAD.size:_HEAD.size + length])


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start_ms = now_ms()

    def write(self, event, **fields):
        """Writes one line."""
        values = ' '.join(f'{key}={value}' for key, value in fields.items())
        if not self._file.closed:
            self._file.write(
                f'{now_ms() - self._start_ms:9.0f} {event} {values}\n')

    def close(self):
        """Closes the file."""
        self._file.close()


async def _read_request(reader):
    """Returns method, path, headers and body of an HTTP request."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, path, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return method, path, headers, body


def _respond(writer, status, body=b'', headers=()):
    lines = [
        f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}',
        'Content-Type: application/json'
    ]
    lines += [f'{name}: {value}' for name, value in headers]
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)


async def http_call(address, method, path, body=b'', timeout_s=1.0):
    """Returns status, headers and body; raises OSError or TimeoutError."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f'{method} {path} HTTP/1.1\r\nHost: x\r\n'
                         f'Connection: close\r\nContent-Type: application/json'
                         f'\r\nContent-Length: {len(body)}\r\n\r\n'.encode() +
                         body)
            head = await reader.readuntil(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(':')
                headers[name.strip().lower()] = value.strip()
            data = await reader.readexactly(int(headers['content-length']))
            return int(lines[0].split()[1]), headers, data
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout_s)
    except (asyncio.IncompleteReadError, ValueError, KeyError) as exc:
        raise OSError(str(exc)) from exc


_Change = collections.namedtuple('_Change',
                                 'revision kind item removed made_ms')


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._history = []
        self._changed = asyncio.Event()
        self.revision = 1
        # How old the answers to calls with `serializable` are.
        self.lag_ms = 0
        self.address = None

    async def start(self, host):
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, host, 0, backlog=512)
        self.address = server.sockets[0].getsockname()

    def put(self, kind, name, spec):
        """Writes an object as the operator does."""
        self._change(kind, name, spec)

    def remove(self, kind, name):
        """Removes an object as the operator does."""
        self._change(kind, name, None)

    def get(self, kind, name):
        """Returns an object's spec, or None."""
        item = self._objects.get((kind, name))
        return item and item['spec']

    def size(self, kind, name):
        """Returns the length of an object in a response."""
        return len(json.dumps(self._objects[kind, name], separators=(',', ':')))

    def _change(self, kind, name, spec):
        self.revision += 1
        if spec is None:
            item = self._objects.pop((kind, name))
            removed = True
        else:
            item = {
                'meta': {
                    'name': name,
                    'revision': self.revision
                },
                'spec': spec
            }
            self._objects[kind, name] = item
            removed = False
        self._history.append(
            _Change(self.revision, kind, item, removed, now_ms()))
        self._record.write('store',
                           kind=kind,
                           name=name,
                           revision=self.revision,
                           removed=removed,
                           spec=json.dumps(spec)[:160])
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return item

    async def _serve(self, reader, writer):
        try:
            while True:
                method, path, _, body = await _read_request(reader)
                await asyncio.sleep(STORE_DELAY_S)
                status, value = await self._answer(method, path, body)
                _respond(writer, status,
                         json.dumps(value, separators=(',', ':')).encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, body):
        split = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(split.query))
        parts = [urllib.parse.unquote(p) for p in split.path.split('/')[3:]]
        lag_ms = self.lag_ms if query.get('serializable') == '1' else 0
        if method == 'GET' and 'watch' in query:
            return await self._watch(parts[0], int(query['watch']),
                                     int(query.get('waitMs', 0)), lag_ms)
        if method == 'GET' and len(parts) == 1:
            revision, changes = self._visible(lag_ms)
            items = {}
            for change in changes:
                if change.kind == parts[0]:
                    items[change.item['meta']['name']] = change
            return 200, {
                'items': [
                    items[name].item
                    for name in sorted(items)
                    if not items[name].removed
                ],
                'hasMore': False,
                'storeRevision': revision
            }
        if method == 'GET':
            item = self._objects.get((parts[0], parts[1]))
            return (200, item) if item else (404, {})
        return self._write(method, parts, query, body)

    def _write(self, method, parts, query, body):
        data = json.loads(body) if body else {}
        name = parts[1] if len(parts) > 1 else data['meta']['name']
        item = self._objects.get((parts[0], name))
        if method == 'POST':
            if item is not None:
                return 409, item
            return 201, self._change(parts[0], name, data['spec'])
        if item is None:
            return 404, {}
        wanted = query.get('revision', data.get('meta', {}).get('revision'))
        if wanted is not None and int(wanted) != item['meta']['revision']:
            return 409, item
        if method == 'DELETE':
            return 200, self._change(parts[0], name, None)
        if item['spec'] == data['spec']:
            return 200, item
        return 200, self._change(parts[0], name, data['spec'])

    def _visible(self, lag_ms):
        """Returns the revision and changes that a call with a lag shows."""
        until_ms = now_ms() - lag_ms
        changes = [c for c in self._history if c.made_ms <= until_ms]
        return (changes[-1].revision if changes else 1), changes

    async def _watch(self, kind, since, wait_ms, lag_ms):
        end_ms = now_ms() + wait_ms
        while True:
            revision, changes = self._visible(lag_ms)
            events = [{
                'object': c.item,
                'removed': c.removed
            } for c in changes if c.kind == kind and c.revision > since]
            left_ms = end_ms - now_ms()
            if events or left_ms <= 0:
                return 200, {
                    'events': events,
                    'storeRevision': max(since, revision)
                }
            if lag_ms:
                await asyncio.sleep(min(0.05, left_ms / 1_000))
                continue
            try:
                await asyncio.wait_for(self._changed.wait(), left_ms / 1_000)
            except asyncio.TimeoutError:
                pass


class Link:
    """A machine's path to the store, of a limited rate towards the machine."""

    def __init__(self, store, mbps):
        self._store = store
        self._bytes_per_s = mbps * 1e6 / 8
        # Time at which the last byte sent so far has passed.
        self._free_s = 0.0
        self.address = None

    async def start(self, host):
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, host, 0, backlog=128)
        self.address = server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(
                *self._store.address)
        except OSError:
            writer.close()
            return

        async def pass_on(source, target, is_limited):
            try:
                while data := await source.read(1_460):
                    if is_limited:
                        now_s = time.monotonic()
                        self._free_s = (max(now_s, self._free_s) +
                                        len(data) / self._bytes_per_s)
                        await asyncio.sleep(self._free_s - now_s)
                    target.write(data)
                    await target.drain()
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                target.close()

        try:
            await asyncio.gather(pass_on(reader, up_writer, False),
                                 pass_on(up_reader, writer, True))
        except asyncio.CancelledError:
            pass


class Machine:
    """A machine with one of figdrum's processes.

    Attributes:
      name: Its name.
      role: Role in the deploy file.
      zone: Its zone.
      host: Its loopback address.
      service: Service of the server beside an agent.
    """

    def __init__(self, name, role, zone, host, service=''):
        self.name, self.role, self.zone = name, role, zone
        self.host, self.service = host, service
        self.process = None
        # How far the machine's time of day is from the true time.
        self.clock_error_ms = 0


class Ports:
    """The ports of all machines, which are the same on each."""

    def __init__(self, base):
        (self.packets, self.ready, self.control, self.outbound, self.app,
         self.internal) = range(base, base + 6)


def free_network():
    """Returns a second byte for all addresses, and ports that are free."""
    while True:
        network = random.randint(20, 250)
        ports = Ports(random.randint(12_000, 30_000))
        try:
            for host in (f'127.{network}.1.1', f'127.{network}.2.1',
                         f'127.{network}.8.1'):
                for port in (*range(ports.packets, ports.internal + 2), 9_464):
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((host, port))
        except OSError:
            continue
        return network, ports


class Fleet:
    """Machines, store, servers and clients of one case."""

    def __init__(self,
                 folder,
                 services,
                 fronts,
                 sides,
                 *,
                 warmup_s,
                 cold_per_s,
                 bounds=None,
                 front_link_mbps=None):
        """Plans the deployment.

        Args:
          folder: Folder of the case, for its record.
          services: Names of the services.
          fronts: Zone of each front machine.
          sides: Zone and service of each side machine.
          warmup_s: Time for which a server is cold.
          cold_per_s: Requests per second that a cold server bears.
          bounds: Bounds that differ from those of the small sites.
          front_link_mbps: Rate of a front machine's link, which limits what it
            reads from the store; no limit by default.
        """
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.network, self.ports = free_network()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='figdrum-'))
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text())
        self.warmup_s, self.cold_per_s = warmup_s, cold_per_s
        self.bounds = {
            'graceS': GRACE_S,
            'evacuateMs': 5_000,
            'warmupOverage': 1.5,
            'warmupSlack': 5
        } | (bounds or {})
        self.fronts = [
            Machine(f'front-{zone}-{n}', 'balancer', zone,
                    f'127.{self.network}.1.{n}')
            for n, zone in enumerate(fronts, 1)
        ]
        self.sides = [
            Machine(f'side-{zone}-{n}', 'agent', zone,
                    f'127.{self.network}.2.{n}', service)
            for n, (zone, service) in enumerate(sides, 1)
        ]
        self._front_link_mbps = front_link_mbps
        self._links = {}
        # Routes without traffic, and services whose route was dropped.
        self.idle_routes = []
        self.dropped = set()
        self.timeout_ms = 5_000
        self.services = {
            name: (f'127.{self.network}.9.{n}', 443)
            for n, name in enumerate(services, 1)
        }
        self.store = Store(self.record)
        self.in_rotation = set()
        self._missed = collections.Counter()
        self.servers = {m.name: Server(self, m) for m in self.sides}
        self.clients = []
        self.tasks = []
        self.version = 3
        self.is_ending = False
        # Time at which each client sent its last opening packet.
        self._sent_ms = {}

    async def start(self, count=None):
        """Starts the store, the servers and all processes.

        Args:
          count: Number of side machines to start; all by default.
        """
        await self.store.start(f'127.{self.network}.3.1')
        if self._front_link_mbps:
            for machine in self.fronts:
                link = self._links[machine.name] = Link(self.store,
                                                        self._front_link_mbps)
                await link.start(f'127.{self.network}.3.1')
        self.write_configuration()
        for machine in self.sides[:count]:
            await self.servers[machine.name].start(is_cold=False)
        for machine in self.fronts + self.sides[:count]:
            self.launch(machine, first_start=True)
        self.spawn(self._check_ready())
        deadline = now_ms() + 15_000
        while now_ms() < deadline:
            if (len(self.in_rotation) == len(self.fronts) and
                    all(self.servers[m.name].is_confirmed
                        for m in self.sides[:count])):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError('the deployment did not start')
        await asyncio.sleep(1.5)

    def spawn(self, coroutine):
        """Runs a coroutine beside the others."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    def write_configuration(self):
        """Writes a version of the configuration, as the operator does."""
        self.version += 2
        self.store.put(
            'config', 'main', {
                'version':
                    self.version,
                'routes': [{
                    'name': f'r-{name}',
                    'hostname': address[0],
                    'pathPrefix': f'/{address[1]}/',
                    'service': name,
                    'routeType': 'safe',
                    'timeoutMs': self.timeout_ms,
                    'targetLatencyMs': 500,
                    'priority': 2,
                    'maxAttempts': 1
                }
                           for name, address in self.services.items()
                           if name not in self.dropped] + self.idle_routes,
                'services': [{
                    'name': name,
                    'healthPath': '/health',
                    'maxConns': 2_000,
                    'warmupS': self.warmup_s,
                    'coldPerS': self.cold_per_s
                } for name in self.services],
                'limits': {
                    'idleTimeoutMs': 12_000
                }
            })

    def add_idle_routes(self, count):
        """Adds routes without traffic to the next configuration."""
        names = random.Random(len(self.idle_routes))
        for _ in range(count):
            number = len(self.idle_routes)
            self.idle_routes.append({
                'name':
                    'r-' + ''.join(
                        names.choices('abcdefghijklmnopqrstuvwxyz0123456789',
                                      k=7)),
                'hostname':
                    f'127.{self.network}.{100 + number // 250}.'
                    f'{1 + number % 250}',
                'pathPrefix':
                    '/8443/',
                'routeType':
                    'safe',
                'timeoutMs':
                    1_358,
                'targetLatencyMs':
                    226,
                'priority':
                    2,
                'service':
                    next(iter(self.services)),
                'maxAttempts':
                    2
            })

    def _fields(self, machine, first_start):
        host, ports = machine.host, self.ports
        store = self.store
        mbps = 1000.0
        if machine.role == 'balancer' and self._front_link_mbps:
            store, mbps = self._links[machine.name], self._front_link_mbps
        return {
            'nodeName':
                machine.name,
            'zone':
                machine.zone,
            'ip':
                host,
            'service':
                machine.service,
            'app':
                f'{host}:{ports.app}',
            'heartbeatMs':
                HEARTBEAT_MS,
            'bootstrap':
                first_start,
            'seeds':
                ','.join(f'{m.host}:{ports.control}' for m in self.fronts[:3]),
            'internalPorts': [ports.internal, ports.internal + 1],
            'listen': {
                'datagramAddr': f'{host}:{ports.packets}',
                'ready': f'{host}:{ports.ready}',
                'control': f'{host}:{ports.control}',
                'outbound': f'{host}:{ports.outbound}'
            },
            'platform': {
                'address': '%s:%d' % store.address,
                'writesPerS': 400,
                'historyS': 20
            },
            'bounds':
                self.bounds,
            'limits': {
                'linkMbps': mbps,
                'cpuShare': 0.645,
                'cores': 1
            }
        }

    def launch(self, machine, first_start=False):
        """Writes a machine's settings and starts its process."""
        if self.is_ending:
            return
        role = self.deploy['roles'][machine.role]
        fields = self._fields(machine, first_start)

        def value(match):
            found = fields
            for name in match.group(1).split('.'):
                found = found[int(name)] if name.isdigit() else found[name]
            return str(found).lower() if isinstance(found, bool) else str(found)

        text = re.sub(r'\{\{([\w.]+)\}\}', value,
                      (ROOT / role['template']).read_text())
        path = self.directory / f'{machine.name}.ini'
        path.write_text(text)
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env |= {'FIGDRUM_SETTINGS': str(path), 'PYTHONPATH': 'target/deps'}
        with open(self.directory / f'{machine.name}.log', 'ab') as log:
            machine.process = subprocess.Popen(role['run'].split(),
                                               cwd=ROOT,
                                               env=env,
                                               stdout=log,
                                               stderr=log,
                                               stdin=subprocess.DEVNULL)
        self.record.write('process started',
                          machine=machine.name,
                          pid=machine.process.pid)

    def end_process(self, machine, number):
        """Sends a signal to a machine's process."""
        self.record.write('signal',
                          machine=machine.name,
                          signal=signal.Signals(number).name)
        machine.process.send_signal(number)

    async def kill_and_restart(self, machine, pause_s, number=signal.SIGKILL):
        """Ends a process, and starts it again after a pause."""
        self.end_process(machine, number)
        process = machine.process
        while process.poll() is None:
            await asyncio.sleep(0.005)
        self.record.write('process ended',
                          machine=machine.name,
                          status=process.returncode)
        await asyncio.sleep(pause_s)
        self.launch(machine)

    def log_lines(self, machine):
        """Returns the lines that a machine's processes have logged."""
        lines = []
        path = self.directory / f'{machine.name}.log'
        for line in path.read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({'event': line})
        return lines

    async def _check_ready(self):
        """Keeps the routers' rotation, as the platform does."""
        path = '/figdrum/ready'

        async def check(machine):
            try:
                status, _, _ = await http_call((machine.host, self.ports.ready),
                                               'GET', path, b'', 0.4)
            except (OSError, asyncio.TimeoutError):
                status = 0
            if status == 200:
                self._missed[machine.name] = 0
                self.in_rotation.add(machine.name)
                return
            self._missed[machine.name] += 1
            if self._missed[machine.name] >= 2:
                self.in_rotation.discard(machine.name)

        while True:
            await asyncio.gather(*(check(m) for m in self.fronts))
            await asyncio.sleep(0.5)

    def note_sent(self, client):
        """Records that a client sends an opening packet."""
        self._sent_ms[client] = now_ms()

    def sent_ms(self, client):
        """Returns when a client sent its last opening packet."""
        return self._sent_ms[client]

    def route(self, zone, key):
        """Returns the front machine that gets a client's packet."""
        in_zone = [m for m in self.fronts if m.zone == zone] or self.fronts
        ready = [m for m in in_zone if m.name in self.in_rotation]
        if 2 * len(ready) < len(in_zone):
            ready = in_zone
        return max(ready, key=lambda m: hash((key, m.name)))

    async def close(self):
        """Ends all processes and stand-ins."""
        self.is_ending = True
        for task in self.tasks:
            task.cancel()
        for machine in self.fronts + self.sides:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        for server in self.servers.values():
            server.stop()
        for client in self.clients:
            client.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)
        self.record.close()


class _ServerFlow:
    """A flow that a server holds."""

    def __init__(self, client_first, initial):
        self.client_first, self.initial = client_first, initial
        self.next_seq = initial + 1
        self.expected = client_first + 1
        self.is_open = False
        self.client_closed = False
        self.server_closed = False
        self.unacked = []
        self.last_data = None


class Server:
    """A server on a side machine.

    Attributes:
      name: Its id, which a restart may keep.
      takings: Sent and arrival time of each opening packet that it took, by the
        incarnation's start time.
    """

    def __init__(self, fleet, machine):
        self.fleet, self.machine = fleet, machine
        self.name = ''
        self.is_alive = False
        self.is_confirmed = False
        self.state = 'ready'
        self.flows = {}
        self.incarnation = 0
        self.started_ms = self.cold_from_ms = 0.0
        self.born = 0
        self.warmup_s = 0.0
        self.slots = 2
        self.work_s = 0.02
        self.takings = []
        self.drain_confirmed_ms = None
        # Time from the confirmation that it is draining to each opening packet
        # that it took since.
        self.late_ms = []
        self._running = 0
        self._queue = collections.deque()
        self._transport = None
        self._tcp = None
        self._seq = 0

    async def start(self, is_cold, name=None):
        """Starts an incarnation.

        Args:
          is_cold: Whether it starts during traffic, and is cold.
          name: Its id; a new one by default.
        """
        self.incarnation += 1
        self.name = name or f'i-{self.machine.name}-{self.incarnation}'
        self.is_alive, self.is_confirmed = True, False
        self.state, self.flows, self._seq = 'ready', {}, 0
        self._running = 0
        self._queue.clear()
        self.takings, self.late_ms = [], []
        self.drain_confirmed_ms = None
        self.started_ms = self.cold_from_ms = now_ms()
        self.born = int(time.time() * 1_000) + self.machine.clock_error_ms
        self.warmup_s = self.fleet.warmup_s if is_cold else 0.0
        loop = asyncio.get_running_loop()
        address = (self.machine.host, self.fleet.ports.app)
        incarnation = self.incarnation

        class Protocol(asyncio.DatagramProtocol):

            def datagram_received(_, data, addr):  # pylint: disable=E0213
                if self.incarnation == incarnation and self.is_alive:
                    self._on_packet(data)

        self._transport, _ = await loop.create_datagram_endpoint(
            Protocol, local_addr=address)
        self._tcp = await asyncio.start_server(self._on_health, *address)
        self.fleet.record.write('server started',
                                machine=self.machine.name,
                                id=self.name,
                                born=self.born,
                                warmup_s=self.warmup_s)
        self.fleet.spawn(self._heartbeats(incarnation))

    async def drain(self, serve_s):
        """Leaves as planned: says so, serves on, says farewell and exits.

        Args:
          serve_s: Time for which it serves after the confirmation.
        """
        self.state = 'draining'
        await self.heartbeat()
        start_ms = now_ms()
        while self.drain_confirmed_ms is None and now_ms() - start_ms < 5_000:
            await asyncio.sleep(0.05)
        await asyncio.sleep(serve_s)
        try:
            await http_call((self.machine.host, self.fleet.ports.control),
                            'POST', f'/figdrum/Instances.Leave/{self.name}',
                            json.dumps({
                                'born': self.born
                            }).encode())
        except (OSError, asyncio.TimeoutError):
            pass
        self.stop()

    def stop(self):
        """Ends at once, as in a crash or a loss of power."""
        if self.is_alive:
            self.is_alive = False
            self._transport.abort()
            self._tcp.close()
            self.fleet.record.write('server ended',
                                    machine=self.machine.name,
                                    id=self.name)

    def holds(self, flow, server_first):
        """Returns whether it holds a client's flow that was accepted so."""
        return self.is_alive and any(
            src == flow and known.initial == server_first
            for (src, _), known in self.flows.items())

    @property
    def is_cold(self):
        """Whether it is still cold."""
        return now_ms() - self.cold_from_ms < self.warmup_s * 1_000

    def turn_cold(self):
        """Becomes cold again, as a server of a zone that is out may."""
        self.cold_from_ms = now_ms()
        self.warmup_s = self.fleet.warmup_s
        self.takings = []
        self.fleet.record.write('turned cold', id=self.name)

    async def _on_health(self, reader, writer):
        try:
            await _read_request(reader)
            _respond(writer, 200 if self.state == 'ready' else 503, b'',
                     [('X-Instance-Id', self.name)])
            await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _heartbeats(self, incarnation):
        while self.incarnation == incarnation and self.is_alive:
            self.fleet.spawn(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_MS / 1_000)

    async def heartbeat(self):
        """Sends one check-in."""
        self._seq += 1
        seq, incarnation, state = self._seq, self.incarnation, self.state
        left_ms = max(0, self.cold_from_ms + self.warmup_s * 1_000 - now_ms())
        body = {
            'service': self.machine.service,
            'address': f'{self.machine.host}:{self.fleet.ports.app}',
            'zone': self.machine.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmupLeftMs': int(left_ms),
            'seq': seq,
            'born': self.born
        }
        path = f'/figdrum/Instances.Heartbeat/{self.name}'
        try:
            status, _, _ = await http_call(
                (self.machine.host, self.fleet.ports.control), 'POST', path,
                json.dumps(body).encode())
        except (OSError, asyncio.TimeoutError) as exc:
            status = type(exc).__name__
        self.fleet.record.write('check-in',
                                machine=self.machine.name,
                                id=self.name,
                                seq=seq,
                                state=state,
                                warmup_left_ms=int(left_ms),
                                answer=status)
        if status == 200 and incarnation == self.incarnation:
            self.is_confirmed = True
            if state == 'draining' and self.drain_confirmed_ms is None:
                self.drain_confirmed_ms = now_ms()

    def _send(self, raw):
        if self.is_alive:
            self._transport.sendto(
                raw, (self.machine.host, self.fleet.ports.outbound))

    def _bounce(self, raw):
        self._send(bytes((raw[0] | BOUNCED, 0)) + raw[2:])

    def _on_packet(self, raw):
        packet = decode(raw)
        if packet.flags & SYN:
            self._on_opening(packet)
            return
        flow = self.flows.get((packet.src, packet.dst))
        if flow is None or not 0 <= (packet.ack - flow.initial -
                                     1) % (1 << 32) < 1 << 24:
            self._bounce(raw)
            return
        flow.is_open = True
        if packet.flags & RST:
            del self.flows[packet.src, packet.dst]
            return
        if packet.data and packet.seq == flow.expected:
            flow.expected += len(packet.data)
            flow.last_data = packet.seq
            self._queue.append((packet, flow, self.incarnation))
            self._run_next()
        elif packet.data and packet.seq == flow.last_data:
            for answer in flow.unacked:
                self._send(answer)
        if packet.flags & FIN:
            flow.client_closed = True
            self._send(
                encode(FIN | ACK, packet.dst, packet.src, flow.next_seq,
                       packet.seq + 1))

    def _on_opening(self, packet):
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if flow is None or flow.client_first != packet.seq:
            sent_ms = self.fleet.sent_ms(packet.src)
            if self.is_cold:
                self.takings.append((sent_ms, now_ms()))
            if self.drain_confirmed_ms is not None:
                self.late_ms.append(now_ms() - self.drain_confirmed_ms)
            self.fleet.record.write('opening taken',
                                    server=self.name,
                                    client=packet.src[1],
                                    copies=packet.ack,
                                    cold=self.is_cold,
                                    transit_ms=f'{now_ms() - sent_ms:.1f}')
            flow = self.flows[key] = _ServerFlow(packet.seq,
                                                 random.getrandbits(31))
        self._send(
            encode(SYN | ACK, packet.dst, packet.src, flow.initial,
                   packet.seq + 1))

    def _run_next(self):
        while self._queue and self._running < self.slots:
            packet, flow, incarnation = self._queue.popleft()
            self._running += 1
            request = packet.data.decode().split('X-Attempt-Id: ')[1].split(
                '\r\n')[0]
            self.fleet.record.write('run', server=self.name, request=request)
            asyncio.get_running_loop().call_later(
                self.work_s * (2 if self.is_cold else 1), self._finish, packet,
                flow, incarnation, request)

    def _finish(self, packet, flow, incarnation, request):
        if incarnation != self.incarnation or not self.is_alive:
            return
        self._running -= 1
        data = (f'HTTP/1.1 200 OK\r\nX-Response-Signature: s-{request}\r\n'
                f'X-Instance-Id: {self.name}\r\nContent-Length: 2\r\n\r\nok'
               ).encode()
        raw = encode(ACK, packet.dst, packet.src, flow.next_seq, flow.expected,
                     data)
        flow.next_seq += len(data)
        flow.unacked = [raw]
        self._send(raw)
        if self.state == 'draining' and not flow.server_closed:
            flow.server_closed = True
            self._send(
                encode(FIN | ACK, packet.dst, packet.src, flow.next_seq,
                       flow.expected))
        self._run_next()

    def most_in_one_second(self):
        """Returns the most opening packets sent and taken within a second."""
        best, when = 0, 0.0
        for start_ms, _ in self.takings:
            count = sum(start_ms <= sent_ms and taken_ms <= start_ms + 1_000
                        for sent_ms, taken_ms in self.takings)
            if count > best:
                best, when = count, start_ms - self.cold_from_ms
        return best, when


class ShortFlows:
    """Clients that open a flow for each request.

    Attributes:
      outcomes: Number of flows by outcome.
    """

    def __init__(self, fleet, zone, host, service):
        self.fleet, self.zone, self.host = fleet, zone, host
        self.address = fleet.services[service]
        self._port = 20_000
        self._flows = {}
        self._transport = None
        self.outcomes = collections.Counter()
        # Start and outcome of each request.
        self.requests = []
        fleet.clients.append(self)

    async def start(self):
        """Binds the address of the clients."""
        client = self

        class Protocol(asyncio.DatagramProtocol):

            def datagram_received(_, data, addr):  # pylint: disable=E0213
                client._on_packet(decode(data))

        self._transport, _ = await asyncio.get_running_loop(
        ).create_datagram_endpoint(Protocol,
                                   local_addr=(self.host,
                                               self.fleet.ports.packets))

    def close(self):
        """Closes the socket."""
        if self._transport is not None:
            self._transport.abort()

    async def run(self, per_s, seconds):
        """Opens flows at an even rate."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for number in range(int(per_s * seconds)):
            delay = start + number / per_s - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self.fleet.spawn(self._request())

    async def _request(self):
        self._port += 1
        port = self._port
        first = random.getrandbits(31)
        started_ms = now_ms()
        flow = {
            'started_ms': started_ms,
            'first': first,
            'accepted': asyncio.Event(),
            'answered': asyncio.Event(),
            'reset': False,
            'server': None
        }
        self._flows[port] = flow
        for number, wait_s in enumerate(
            (SYN_COPIES_S[0], SYN_COPIES_S[1] - SYN_COPIES_S[0],
             OPEN_TIMEOUT_S - SYN_COPIES_S[1])):
            self.fleet.note_sent((self.host, port))
            self._send(port, SYN, first, number)
            if await self._wait(flow['accepted'], wait_s):
                break
        if flow['reset'] or flow['server'] is None:
            self._end(port, 'reset' if flow['reset'] else 'not opened')
            return
        ack = flow['server'] + 1
        request = f'{self.host}-{port}'
        data = (f'GET /x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: {request}'
                f'\r\n\r\n').encode()
        self.fleet.record.write('request', id=request)
        wait_s = 0.2
        for _ in range(5):
            self._send(port, ACK, first + 1, ack, data)
            if await self._wait(flow['answered'], wait_s):
                break
            wait_s = min(2 * wait_s, 1.6)
        if flow['answered'].is_set():
            self._send(port, FIN | ACK, first + 1 + len(data),
                       ack + flow.get('length', 0))
            self._end(port, 'answered')
        else:
            self._end(port, 'no answer')

    async def _wait(self, event, seconds):
        try:
            await asyncio.wait_for(event.wait(), seconds)
            return True
        except asyncio.TimeoutError:
            return False

    def _end(self, port, outcome):
        self.outcomes[outcome] += 1
        self.requests.append((self._flows[port]['started_ms'], outcome))
        self.fleet.record.write('outcome', client=port, outcome=outcome)

    def _send(self, port, flags, seq, ack, data=b''):
        machine = self.fleet.route(self.zone, port)
        self._transport.sendto(
            encode(flags, (self.host, port), self.address, seq, ack, data),
            (machine.host, self.fleet.ports.packets))

    def _on_packet(self, packet):
        flow = self._flows.get(packet.dst[1])
        if flow is None:
            return
        if packet.flags & RST:
            if flow['server'] is None:
                flow['reset'] = True
                flow['accepted'].set()
            return
        if packet.flags & SYN:
            if flow['server'] is None:
                flow['server'] = packet.seq
                flow['accepted'].set()
            return
        if packet.data and not flow['answered'].is_set():
            flow['length'] = len(packet.data)
            flow['answered'].set()


class LongFlow:
    """A client that keeps a flow open and sends one request after the other.

    Attributes:
      outcomes: Number of requests and flows by outcome.
      on_reset: Called with the client's end of an open flow and the server's
        first number when a reset comes that no server has sent.
    """

    def __init__(self,
                 fleet,
                 zone,
                 host,
                 service,
                 pause_s=0.2,
                 first_port=40_000):
        self.fleet, self.zone, self.host = fleet, zone, host
        self.address = fleet.services[service]
        self.pause_s = pause_s
        self.port = first_port
        self.outcomes = collections.Counter()
        self.on_reset = lambda flow, server_first: None
        self.is_stopped = False
        self._server_first = None
        self._first = self._seq = self._ack = 0
        self._event = asyncio.Event()
        self._answer = b''
        self._is_reset = False
        self._is_closed = False
        self._count = 0
        self._transport = None
        fleet.clients.append(self)

    async def start(self):
        """Binds the client's address and starts."""
        client = self

        class Protocol(asyncio.DatagramProtocol):

            def datagram_received(_, data, addr):  # pylint: disable=E0213
                client._on_packet(decode(data))

        self._transport, _ = await asyncio.get_running_loop(
        ).create_datagram_endpoint(Protocol,
                                   local_addr=(self.host,
                                               self.fleet.ports.packets))
        self.fleet.spawn(self._run())

    def close(self):
        """Closes the socket."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def flow(self):
        """Address of the client's end of its flow."""
        return self.host, self.port

    async def _run(self):
        while not self.is_stopped:
            if self._server_first is None and not await self._open():
                await asyncio.sleep(0.05)
                continue
            await self._request()
            await asyncio.sleep(self.pause_s)
            if self._is_closed:
                self._server_first = None

    async def _open(self):
        self.port += 1
        self._first = random.getrandbits(31)
        self._is_reset = self._is_closed = False
        self._event.clear()
        for number, wait_s in enumerate(
            (SYN_COPIES_S[0], SYN_COPIES_S[1] - SYN_COPIES_S[0],
             OPEN_TIMEOUT_S - SYN_COPIES_S[1])):
            self.fleet.note_sent(self.flow)
            self._send(SYN, self._first, number)
            if await self._wait(wait_s):
                break
        if self._server_first is None:
            self.outcomes['refused' if self._is_reset else 'not opened'] += 1
            return False
        self._seq, self._ack = self._first + 1, self._server_first + 1
        self._send(ACK, self._seq, self._ack)
        self.outcomes['opened'] += 1
        return True

    async def _request(self):
        self._count += 1
        request = f'{self.host}-{self._count}'
        data = (f'GET /x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: {request}'
                f'\r\n\r\n').encode()
        self.fleet.record.write('request', id=request, port=self.port)
        self._event.clear()
        self._answer = b''
        wait_s = 0.2
        end_ms = now_ms() + 5_000
        while now_ms() < end_ms:
            self._send(ACK, self._seq, self._ack, data)
            if await self._wait(wait_s):
                break
            wait_s = min(2 * wait_s, 1.6)
        if self._answer:
            self._seq += len(data)
            self._ack += len(self._answer)
            self._send(ACK, self._seq, self._ack)
            outcome = 'answered'
            if f's-{request}'.encode() not in self._answer:
                outcome = 'foreign answer'
        else:
            outcome = 'cut' if self._is_reset else 'no answer'
            self._server_first = None
        self.outcomes[outcome] += 1
        self.fleet.record.write('outcome', id=request, outcome=outcome)

    async def _wait(self, seconds):
        try:
            await asyncio.wait_for(self._event.wait(), seconds)
            return True
        except asyncio.TimeoutError:
            return False

    def _send(self, flags, seq, ack, data=b''):
        machine = self.fleet.route(self.zone, self.flow)
        self._transport.sendto(
            encode(flags, self.flow, self.address, seq, ack, data),
            (machine.host, self.fleet.ports.packets))

    def _on_packet(self, packet):
        if packet.dst != self.flow:
            return
        if packet.flags & RST:
            is_near = (self._server_first is not None and
                       (packet.seq - self._ack + 76_800) % (1 << 32) <= 153_600)
            if self._server_first is not None and not is_near:
                return
            self.fleet.record.write('reset',
                                    port=self.port,
                                    host=self.host,
                                    by_server=packet.sum == SUM,
                                    open=self._server_first is not None)
            if self._server_first is not None and packet.sum != SUM:
                self.on_reset(self.flow, self._server_first)
            self._is_reset = True
            self._event.set()
        elif packet.flags & SYN:
            if self._server_first is None and packet.ack == self._first + 1:
                self._server_first = packet.seq
                self._event.set()
        elif packet.data and packet.seq == self._ack % (1 << 32):
            self._answer = packet.data
            self._event.set()
        elif packet.flags & FIN and self._server_first is not None:
            self._send(FIN | ACK, self._seq, packet.seq + 1)
            self._is_closed = True


def run_case(case):
    """Runs a case and exits with its result.

    Args:
      case: Coroutine function; gets whether to cause the disruption, and
        returns whether the rule held.
    """

    async def main():
        # The processes are ended also if the case is.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM,
            asyncio.current_task().cancel)
        return await asyncio.wait_for(
            case(os.environ.get('TROUBLE', '1') != '0'), 110)

    try:
        held = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as exc:  # pylint: disable=broad-except
        print(f'the case could not run: {exc!r}', file=sys.stderr)
        sys.exit(2)
    print('the rule held' if held else 'the rule was broken')
    sys.exit(0 if held else 1)
