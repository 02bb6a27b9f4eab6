"""Agents, balancers, callers and a platform in one virtual time.

Explanation
===========

The agents and routers are the product's own; sockets, clocks, targets and the
platform are small fakes. A fault is a switch of `World`: a paused agent runs no
timers until it wakes, a cut pair of addresses exchanges nothing, and each
balancer sees lists and contracts as late as its `lag_ms` says.
"""

import collections.abc
import random
import typing

import aiocoap
from twisted.internet import defer
from twisted.internet import task

from figdrum.agent import core
from figdrum.agent import environment
from figdrum.balancer import reactor_timers
from figdrum.contracts import change
from figdrum.contracts import contract
from figdrum.contracts import state
from figdrum.core import clock as clock_lib
from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import ports
from figdrum.membership import service_list
from figdrum.messages import codec
from figdrum.messages import datagram
from figdrum.object_api import memory_store
from figdrum.routing import router as router_lib
from figdrum.routing import serving
from figdrum.settings import schema
from figdrum.sync import freshness
from figdrum.telemetry import metrics
from figdrum.telemetry import trace as trace_lib
from standins import warmth

SERVICE = 'fieldbook'
CUSTOMER = 'al-sahil'
SERVICE_ADDRESS = ('10.9.0.1', 5683)
OTHER_SERVICE = 'reportdesk'
OTHER_ADDRESS = ('10.9.0.2', 5683)
BALANCERS = (('10.0.0.1', 7000), ('10.0.0.2', 7000))
TICK_MS = 100
STEP_MS = 10
# Datagrams that wait in the socket of a paused process.
SOCKET_QUEUE = 200


class VirtualClock(clock_lib.Clock):
    """Time of a `task.Clock`."""

    def __init__(self, source: task.Clock):
        self._source = source

    def now_ms(self):
        return round(self._source.seconds() * 1000)

    wall_ms = now_ms


class FakeTarget(ports.Target):
    """Answers after a delay; records what ran and what was cut."""

    def __init__(self,
                 timers: ports.Timers,
                 now_ms: collections.abc.Callable[[], int] = lambda: 0):
        self._timers = timers
        self._now_ms = now_ms
        self.runs: list[ports.TargetRequest] = []
        self.started_ms: list[int] = []
        self.warmth = warmth.Warmth()
        self.answer = lambda req: self.body
        self.delay = lambda req: self.delay_ms
        self.body = b'1'
        self.delay_ms = 5
        self.fails = 0
        self.did_not_run = False
        self.gone = False
        self.health = b'{"state": "ready"}'
        self._told = self.health

    def call(self, req):
        if self.gone:
            return defer.succeed(ports.TargetAnswer(0, b'', True))
        if req.path in ('/health', '/load'):
            if self.health != self._told:
                # From here on the agent knows that the target is cold again.
                self._told = self.health
                if b'cold' in self.health:
                    self.warmth.cool()
            return defer.succeed(ports.TargetAnswer(200, self.health))
        if self.did_not_run:
            return defer.succeed(ports.TargetAnswer(503, b'', True))
        self.runs.append(req)
        self.started_ms.append(self._now_ms())
        self.warmth.on_start(self._now_ms())
        if self.fails:
            self.fails -= 1
            return defer.fail(errors.TargetError('call', 'fake', 'cut'))
        done = defer.Deferred()

        def end():
            self.warmth.on_completion()
            done.callback(ports.TargetAnswer(200, self.answer(req)))

        self._timers.call_later(self.delay(req), end)
        return done


class _Port(ports.PeerPort):
    """The frame port of one agent."""

    def __init__(self, world: 'World', address: ids.Address):
        self._world = world
        self._address = address

    def send(self, address, datagram):  # pylint: disable=redefined-outer-name
        self._world.carry(self._address, address, datagram)


class _Call:
    """A call of one agent's timers."""

    def __init__(self, fn):
        self.fn = fn

    def cancel(self) -> None:
        """Makes the call do nothing."""
        self.fn = lambda: None


class _AgentTimers(ports.Timers):
    """Timers that stand still while their agent does and end with it."""

    def __init__(self, world: 'World', name: str):
        self._world = world
        self._name = name
        self._held: list[_Call] = []
        self.ended = False

    def call_later(self, delay_ms, fn):
        call = _Call(fn)
        self._world.timers.call_later(delay_ms, lambda: self._due(call))
        return call

    def wake(self) -> None:
        """Makes the calls that fell due during a pause."""
        held, self._held = self._held, []
        for call in held:
            call.fn()

    def _due(self, call: _Call) -> None:
        if self.ended:
            return
        if self._name in self._world.paused:
            self._held.append(call)
        else:
            call.fn()


class _Seen(typing.NamedTuple):
    """What a balancer knows."""
    at_ms: int
    lists: dict[str, service_list.ServiceList]
    contracts: state.ContractState


class _Behind(serving.Freshness):
    """The rule that a balancer stops when it knows that it is behind."""

    can_serve = True

    def __init__(self):
        self.watch = freshness.MissingChangeTracker()

    def is_behind(self, now_ms):
        return self.watch.is_behind(now_ms)


class Balancer:
    """A balancer's router, with lists and contracts that may be late.

    Attributes:
        lag_ms: Age of what it knows.
        dropped: Reasons of the packets that it dropped.
        sent: (time, agent's name) of the packets that it forwarded.
    """

    def __init__(self, world: 'World', address: ids.Address, zone: str,
                 trace: trace_lib.Trace):
        self._world = world
        self.address = address
        self.lag_ms = 0
        self.dropped: list = []
        self.sent: list[tuple[int, str]] = []
        self._fresh = _Behind()
        self._gate = serving.ServingGate(self._fresh)
        self._pings = 0
        self._coming: list[_Seen] = []
        self._seen = world.seen()
        self.router = trace.build('router', router_lib.Router, zone, address,
                                  self._gate)

    def on_tick(self) -> None:
        """Learns what is old enough and pings silent agents."""
        now_ms = self._world.clock.now_ms()
        self._coming.append(self._world.seen())
        while self._coming and self._coming[0].at_ms <= now_ms - self.lag_ms:
            self._seen = self._coming.pop(0)
        self._fresh.watch.on_applied(self._seen.contracts.change)
        for agent in self.router.due_pings(now_ms):
            self._pings += 1
            self._world.carry(self.address, agent,
                              codec.encode(datagram.Ping(self._pings)))

    def send(self, flow: ids.FlowKey, data: bytes) -> None:
        """Routes a caller's datagram."""
        now_ms = self._world.clock.now_ms()
        action = self.router.route(now_ms, flow.src, flow.dst, data,
                                   self._seen.contracts, self._list)
        if isinstance(action, router_lib.Dropped):
            self.dropped.append(action.reason)
            return
        self.sent.append((now_ms, action.member.name))
        self._world.carry(self.address, action.member.address,
                          codec.encode(action.packet))

    def on_message(self, source: ids.Address, message: codec.Message) -> None:
        """Takes an agent's datagram."""
        now_ms = self._world.clock.now_ms()
        self.router.on_heard(now_ms, source)
        if isinstance(message, datagram.Stale):
            self._fresh.watch.on_change_reported(now_ms, message.change,
                                                 self._seen.contracts.change)

    def _list(self, service: str) -> service_list.ServiceList:
        return self._seen.lists.get(service,
                                    service_list.ServiceList.empty(service))


class Network(typing.NamedTuple):
    """Shares of datagrams that are lost, late, or come again later."""
    loss: float = 0.0
    late: float = 0.0
    repeated: float = 0.0
    latest_ms: int = 2000


# One class holds the processes and the switches of all faults.
class World:  # pylint: disable=too-many-instance-attributes
    """All processes of a test.

    Attributes:
        paused: Names of the agents that stand still.
        queueing: Whether datagrams wait for a paused agent or are lost.
        cuts: Pairs of addresses that exchange nothing.
        network: How datagrams fare.
    """

    def __init__(self, seed: int = 1, **options):
        self.source = task.Clock()
        self.clock = VirtualClock(self.source)
        self.timers = reactor_timers.ReactorTimers(self.source)
        self.rng = random.Random(seed)
        self.db = memory_store.MemoryStore(self.timers)
        self.contracts = state.ContractState.empty()
        self.agents: dict[str, core.AgentCore] = {}
        self.targets: dict[str, FakeTarget] = {}
        self.metrics = metrics.MemoryMetrics()
        self.paused: set[str] = set()
        self.queueing = False
        self.cuts: set[frozenset[ids.Address]] = set()
        self.network = Network()
        self.balancers: dict[ids.Address, Balancer] = {}
        self._timers: dict[str, _AgentTimers] = {}
        self._waiting: dict[str, list[tuple[ids.Address, bytes]]] = {}
        self._lists: dict[str, service_list.ServiceList] = {}
        self.dead_balancers: set[ids.Address] = set()
        self.replies: list[tuple[ids.Address, ids.FlowKey,
                                 aiocoap.Message]] = []
        self.others: list = []
        self.skipped: tuple[str, ...] = ()
        self._addresses: dict[ids.Address, str] = {}
        self._options = options
        self.set_contract()

    def set_contract(self, limits=(1000, 1000, 100), rank=1, **zones) -> None:
        """Puts a contract in force, or takes zones out or in."""
        grants = (contract.Grant(CUSTOMER, SERVICE, SERVICE_ADDRESS),
                  contract.Grant(CUSTOMER, OTHER_SERVICE, OTHER_ADDRESS))
        body = change.ContractSet(
            contract.Contract(CUSTOMER, grants, (), contract.Limits(*limits),
                              rank))
        if 'out' in zones:
            body = change.ZoneOut(zones['out'])
        if 'back' in zones:
            body = change.ZoneIn(zones['back'])
        self.contracts = state.preview(self.contracts, body)

    def add(
        self,
        name: str,
        zone: str = 'muscat-a',
        service: str = SERVICE,
        trace: trace_lib.Trace = trace_lib.NullTrace()
    ) -> core.AgentCore:
        """Starts an agent; one with the name of a dead one takes its place."""
        address = ('10.1.0.1', 7001 + len(self._addresses))
        options = {'cold_rate': 50, 'full_rate': 200} | self._options
        cfg = schema.Settings(
            process=schema.Process(name=name, zone=zone, region='om-north'),
            platform=schema.Platform(url='http://127.0.0.1:1'),
            agent=schema.Agent(service=service,
                               frame_host=address[0],
                               frame_port=address[1],
                               balancers=(BALANCERS[0],),
                               target=('127.0.0.1', 1),
                               **options))
        timers = self._timers[name] = _AgentTimers(self, name)
        self.targets[name] = FakeTarget(timers, self.clock.now_ms)
        self.targets[name].warmth = warmth.Warmth(options['cold_rate'],
                                                  options['full_rate'])
        env = environment.Environment(self.clock, timers, _Port(self, address),
                                      self.targets[name], self.db, self.metrics,
                                      self.rng)
        agent = core.AgentCore(cfg, address, env, lambda: None, trace)
        self.agents[name] = agent
        self._addresses[address] = name
        agent.start()
        return agent

    def kill(self, name: str) -> None:
        """Ends an agent and its target without notice."""
        self.agents.pop(name).stop()
        self._timers[name].ended = True
        self.paused.discard(name)
        self._waiting.pop(name, None)
        self._addresses = {
            address: None if known == name else known
            for address, known in self._addresses.items()
        }

    def add_balancer(
        self, zone: str,
        trace: trace_lib.Trace = trace_lib.NullTrace()) -> Balancer:
        """Starts a balancer."""
        address = ('10.0.1.1', 7001 + len(self.balancers))
        self.balancers[address] = Balancer(self, address, zone, trace)
        return self.balancers[address]

    def address_of(self, name: str) -> ids.Address:
        """Returns the frame address of an agent that runs."""
        return next(a for a, known in self._addresses.items() if known == name)

    def take_address(self, name: str, address: ids.Address) -> None:
        """Gives an agent the address of one that has ended, too."""
        self._addresses[address] = name

    def start(self, *names: str) -> None:
        """Starts agents and waits until they are in the list."""
        for name in names:
            self.add(name)
            self.run(TICK_MS)
        self.run(1500)

    def lists(self) -> dict[str, service_list.ServiceList]:
        """Returns the lists by service as the platform last showed them."""
        for name in (SERVICE, OTHER_SERVICE):
            self.members(name)
        return dict(self._lists)

    def members(self, service: str = SERVICE) -> service_list.ServiceList:
        """Returns a list as the platform last showed it."""
        self.db.get(f'lists/{service}').addCallbacks(
            lambda item: self._read(service, item), lambda failure: None)
        return self._lists.get(service, service_list.ServiceList.empty(service))

    def _read(self, service: str, item: typing.Any) -> None:
        known = self._lists.get(service)
        if item and (known is None or item.version > known.version):
            self._lists[service] = service_list.ServiceList.from_json(
                service, item.version, item.value)

    def seen(self) -> _Seen:
        """Returns what a balancer without a lag knows."""
        return _Seen(self.clock.now_ms(), self.lists(), self.contracts)

    def run(self, duration_ms: int) -> None:
        """Lets time pass."""
        for _ in range(0, duration_ms, STEP_MS):
            self.source.advance(STEP_MS / 1000)
            self._wake()
            if self.clock.now_ms() % TICK_MS:
                continue
            lists = self.lists()
            for name, agent in tuple(self.agents.items()):
                if name not in self.paused:
                    agent.on_replica(
                        lists.get(agent.agent_state.service,
                                  agent.agent_state.members), self.contracts)
                    agent.tick()
            for balancer in tuple(self.balancers.values()):
                balancer.on_tick()

    def _wake(self) -> None:
        """Runs what waited for agents that are not paused any more."""
        for name in self.agents.keys() - self.paused:
            self._timers[name].wake()
            for source, data in self._waiting.pop(name, ()):
                self.agents[name].on_datagram(source, data)

    def carry(self, source: ids.Address, address: ids.Address,
              data: bytes) -> None:
        """Carries a datagram between the processes."""
        if frozenset((source, address)) in self.cuts:
            return
        net = self.network
        if self.rng.random() < net.loss:
            return
        delays_ms = [1]
        if self.rng.random() < net.late:
            delays_ms = [self.rng.randrange(1, net.latest_ms)]
        if self.rng.random() < net.repeated:
            delays_ms.append(self.rng.randrange(1, net.latest_ms))
        for delay_ms in delays_ms:
            self.timers.call_later(delay_ms,
                                   lambda: self._arrive(source, address, data))

    def packet(self, flow: ids.FlowKey, data: bytes, **fields):
        """Returns the packet that a balancer makes of a caller's datagram."""
        members = self.members()
        message = aiocoap.Message.decode(data)
        return datagram.Packet(self.contracts.change, members.version, CUSTOMER,
                               SERVICE, flow, message.code.is_request(),
                               fields.pop('balancer', BALANCERS[0]), data, (),
                               self.skipped)._replace(**fields)

    def call(self, flow: ids.FlowKey, data: bytes, **fields) -> None:
        """Sends a caller's datagram by a balancer."""
        packet = self.packet(flow, data, **fields)
        order = self.members().order(flow.to_bytes(), self.contracts.zones_out)
        to = next(m for m in order if m.name not in self.skipped)
        self._deliver(to.address, packet.balancer, codec.encode(packet))

    def answers(self, flow: ids.FlowKey) -> list[aiocoap.Message]:
        """Returns the messages that reached a caller, in order."""
        return [message for _, to, message in self.replies if to == flow]

    def holder(self, flow: ids.FlowKey) -> list[str]:
        """Returns the agents that hold a flow."""
        return [
            name for name, agent in self.agents.items()
            if flow in dict(agent.flows.items())
        ]

    def runs(self) -> list[ports.TargetRequest]:
        """Returns what ran at all targets."""
        return [run for target in self.targets.values() for run in target.runs]

    def _arrive(self, source: ids.Address, address: ids.Address,
                data: bytes) -> None:
        if address in BALANCERS or address[0] == '10.0.1.1':
            if (address in self.dead_balancers or
                    address not in (*BALANCERS, *self.balancers)):
                return
            message = codec.decode(data)
            if address in self.balancers:
                self.balancers[address].on_message(source, message)
            if isinstance(message, datagram.Reply):
                self.replies.append((address, message.flow,
                                     aiocoap.Message.decode(message.payload)))
            else:
                self.others.append(message)
            return
        self._deliver(address, source, data)

    def _deliver(self, address: ids.Address, source: ids.Address,
                 data: bytes) -> None:
        name = self._addresses.get(address)
        if name not in self.agents:
            return
        if name not in self.paused:
            self.agents[name].on_datagram(source, data)
        elif self.queueing:
            waiting = self._waiting.setdefault(name, [])
            if len(waiting) < SOCKET_QUEUE:
                waiting.append((source, data))


def flow_of(number: int, address: ids.Address = SERVICE_ADDRESS) -> ids.FlowKey:
    """Returns a caller's flow."""
    return ids.FlowKey('192.0.2.1', 10_000 + number, *address)


def coap(code=aiocoap.GET, mid=1, mtype=aiocoap.CON, **options) -> bytes:
    """Returns a caller's datagram."""
    token = options.pop('token', b't')
    return aiocoap.Message(code=code,
                           _mtype=mtype,
                           _mid=mid,
                           _token=token,
                           **options).encode()
