"""Agents, a balancer, callers and a platform in one virtual time."""

import random

import aiocoap
from twisted.internet import defer
from twisted.internet import task

from figdrum.agent import core
from figdrum.agent import surroundings
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
from figdrum.platform import memory_store
from figdrum.settings import schema
from figdrum.telemetry import metrics

SERVICE = 'fieldbook'
CUSTOMER = 'al-sahil'
SERVICE_ADDRESS = ('10.9.0.1', 5683)
BALANCERS = (('10.0.0.1', 7000), ('10.0.0.2', 7000))
TICK_MS = 100


class VirtualClock(clock_lib.Clock):
    """Time of a `task.Clock`."""

    def __init__(self, source: task.Clock):
        self._source = source

    def now_ms(self):
        return round(self._source.seconds() * 1000)

    wall_ms = now_ms


class FakeTarget(ports.Target):
    """Answers after a delay; records what ran and what was cut."""

    def __init__(self, timers: ports.Timers):
        self._timers = timers
        self.runs: list[ports.TargetRequest] = []
        self.body = b'1'
        self.delay_ms = 5
        self.fails = 0
        self.did_not_run = False
        self.health = b'{"state": "ready"}'

    def call(self, req):
        if req.path in ('/health', '/load'):
            return defer.succeed(ports.TargetAnswer(200, self.health))
        if self.did_not_run:
            return defer.succeed(ports.TargetAnswer(503, b'', True))
        self.runs.append(req)
        if self.fails:
            self.fails -= 1
            return defer.fail(errors.TargetError('call', 'fake', 'cut'))
        done = defer.Deferred()
        self._timers.call_later(
            self.delay_ms,
            lambda: done.callback(ports.TargetAnswer(200, self.body)))
        return done


class _Port(ports.PeerPort):
    """The frame port of one agent."""

    def __init__(self, world: 'World', address: ids.Address):
        self._world = world
        self._address = address

    def send(self, address, datagram):  # pylint: disable=redefined-outer-name
        self._world.carry(self._address, address, datagram)


class World:
    """All processes of a test."""

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
        grant = contract.Grant(CUSTOMER, SERVICE, SERVICE_ADDRESS)
        body = change.ContractSet(
            contract.Contract(CUSTOMER, (grant,), (), contract.Limits(*limits),
                              rank))
        if 'out' in zones:
            body = change.ZoneOut(zones['out'])
        if 'back' in zones:
            body = change.ZoneIn(zones['back'])
        self.contracts = state.preview(self.contracts, body)

    def add(self, name: str, zone: str = 'muscat-a') -> core.AgentCore:
        """Starts an agent."""
        address = ('10.1.0.1', 7001 + len(self._addresses))
        options = {'cold_rate': 50, 'full_rate': 200} | self._options
        cfg = schema.Settings(
            process=schema.Process(name=name, zone=zone, region='om-north'),
            platform=schema.Platform(url='http://127.0.0.1:1'),
            agent=schema.Agent(service=SERVICE,
                               frame_host=address[0],
                               frame_port=address[1],
                               balancers=(BALANCERS[0],),
                               target=('127.0.0.1', 1),
                               **options))
        self.targets[name] = FakeTarget(self.timers)
        around = surroundings.Surroundings(self.clock, self.timers,
                                           _Port(self,
                                                 address), self.targets[name],
                                           self.db, self.metrics, self.rng)
        agent = core.AgentCore(cfg, address, around, lambda: None)
        self.agents[name] = agent
        self._addresses[address] = name
        agent.start()
        return agent

    def start(self, *names: str) -> None:
        """Starts agents and waits until they are in the list."""
        for name in names:
            self.add(name)
            self.run(TICK_MS)
        self.run(1500)

    def members(self) -> service_list.ServiceList:
        """Returns the list as the platform holds it."""
        found = []
        self.db.list('lists/').addCallback(lambda r: found.extend(r[0]))
        if not found:
            return service_list.ServiceList.empty(SERVICE)
        return service_list.ServiceList.from_json(SERVICE, found[0].version,
                                                  found[0].value)

    def run(self, duration_ms: int) -> None:
        """Lets time pass."""
        for _ in range(0, duration_ms, 10):
            self.source.advance(0.01)
            if self.clock.now_ms() % TICK_MS:
                continue
            members = self.members()
            for name, agent in tuple(self.agents.items()):
                if name not in self.paused:
                    agent.on_replica(members, self.contracts)
                    agent.tick()

    def carry(self, source: ids.Address, address: ids.Address,
              data: bytes) -> None:
        """Carries a datagram between the processes."""
        self.timers.call_later(1, lambda: self._arrive(source, address, data))

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
        if address in BALANCERS:
            if address in self.dead_balancers:
                return
            message = codec.decode(data)
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
        if name in self.agents and name not in self.paused:
            self.agents[name].on_datagram(source, data)


def flow_of(number: int) -> ids.FlowKey:
    """Returns a caller's flow."""
    return ids.FlowKey('192.0.2.1', 10_000 + number, *SERVICE_ADDRESS)


def coap(code=aiocoap.GET, mid=1, mtype=aiocoap.CON, **options) -> bytes:
    """Returns a caller's datagram."""
    token = options.pop('token', b't')
    return aiocoap.Message(code=code,
                           _mtype=mtype,
                           _mid=mid,
                           _token=token,
                           **options).encode()
