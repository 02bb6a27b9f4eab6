"""Simulation of agents, balancers, callers and a platform in virtual time.

Explanation
===========

The agents and routers are the code of figdrum; sockets, clocks, targets and the
platform are fakes. Tests inject faults through attributes of `World`: a paused
agent runs no timers until it resumes, a blocked pair of addresses exchanges no
datagrams, and each balancer sees lists and contracts with a delay of `lag_ms`.
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
# Capacity of the socket buffer of a paused process.
SOCKET_QUEUE_DATAGRAMS = 200


class VirtualClock(clock_lib.Clock):
    """Clock that reads the virtual time of a `task.Clock`."""

    def __init__(self, source: task.Clock):
        self._source = source

    def now_ms(self):
        return round(self._source.seconds() * 1000)

    wall_ms = now_ms


class FakeTarget(ports.Target):
    """Target that answers after a delay and records the requests it ran."""

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
        self.remaining_failures = 0
        self.did_not_run = False
        self.is_unreachable = False
        self.health = b'{"state": "ready"}'
        self._reported_health = self.health

    def call(self, req):
        if self.is_unreachable:
            return defer.succeed(ports.TargetAnswer(0, b'', True))
        if req.path in ('/health', '/load'):
            if self.health != self._reported_health:
                # The target turns cold only now, when the agent learns of it.
                self._reported_health = self.health
                if b'cold' in self.health:
                    self.warmth.reset()
            return defer.succeed(ports.TargetAnswer(200, self.health))
        if self.did_not_run:
            return defer.succeed(ports.TargetAnswer(503, b'', True))
        self.runs.append(req)
        self.started_ms.append(self._now_ms())
        self.warmth.on_start(self._now_ms())
        if self.remaining_failures:
            self.remaining_failures -= 1
            return defer.fail(errors.TargetError('call', 'fake', 'cut'))
        done = defer.Deferred()

        def finish():
            self.warmth.on_completion()
            done.callback(ports.TargetAnswer(200, self.answer(req)))

        self._timers.call_later(self.delay(req), finish)
        return done


class _SimulatedPort(ports.PeerPort):
    """Frame port of one agent that sends into the simulated network."""

    def __init__(self, world: 'World', address: ids.Address):
        self._world = world
        self._address = address

    def send(self, address, datagram):  # pylint: disable=redefined-outer-name
        self._world.carry(self._address, address, datagram)


class _TimerCall:
    """Cancellable call of an agent's timer."""

    def __init__(self, fn):
        self.fn = fn

    def cancel(self) -> None:
        """Replaces the call by one that does nothing."""
        self.fn = lambda: None


class _AgentTimers(ports.Timers):
    """Timers of one agent, deferred while it is paused.

    Attributes:
      ended: True once the agent is killed; no call runs afterwards.
    """

    def __init__(self, world: 'World', name: str):
        self._world = world
        self._name = name
        self._deferred: list[_TimerCall] = []
        self.ended = False

    def call_later(self, delay_ms, fn):
        call = _TimerCall(fn)
        self._world.timers.call_later(delay_ms, lambda: self._on_due(call))
        return call

    def resume(self) -> None:
        """Runs the calls that fell due during a pause."""
        deferred, self._deferred = self._deferred, []
        for call in deferred:
            call.fn()

    def _on_due(self, call: _TimerCall) -> None:
        if self.ended:
            return
        if self._name in self._world.paused:
            self._deferred.append(call)
        else:
            call.fn()


class _Snapshot(typing.NamedTuple):
    """Lists and contracts at one time, as a balancer knows them."""
    at_ms: int
    lists: dict[str, service_list.ServiceList]
    contracts: state.ContractState


class _ChangeFreshness(serving.Freshness):
    """Reports a balancer as behind while it misses a known change."""

    can_serve = True

    def __init__(self):
        self.tracker = freshness.MissingChangeTracker()

    def is_behind(self, now_ms):
        return self.tracker.is_behind(now_ms)


class Balancer:
    """A balancer's router, with lists and contracts that may be outdated.

    Attributes:
        lag_ms: Delay with which it receives lists and contracts.
        dropped: Reasons for which it dropped packets.
        sent: (time, agent's name) of the packets that it forwarded.
    """

    def __init__(self, world: 'World', address: ids.Address, zone: str,
                 trace: trace_lib.Trace):
        self._world = world
        self.address = address
        self.lag_ms = 0
        self.dropped: list = []
        self.sent: list[tuple[int, str]] = []
        self._fresh = _ChangeFreshness()
        self._gate = serving.ServingGate(self._fresh)
        self._pings = 0
        self._delayed: list[_Snapshot] = []
        self._current = world.snapshot()
        self.router = trace.build('router', router_lib.Router, zone, address,
                                  self._gate)

    def on_tick(self) -> None:
        """Applies the updates that are due and pings silent agents."""
        now_ms = self._world.clock.now_ms()
        self._delayed.append(self._world.snapshot())
        while self._delayed and self._delayed[0].at_ms <= now_ms - self.lag_ms:
            self._current = self._delayed.pop(0)
        self._fresh.tracker.on_applied(self._current.contracts.change)
        for agent in self.router.due_pings(now_ms):
            self._pings += 1
            self._world.carry(self.address, agent,
                              codec.encode(datagram.Ping(self._pings)))

    def send(self, flow: ids.FlowKey, data: bytes) -> None:
        """Routes a caller's datagram."""
        now_ms = self._world.clock.now_ms()
        action = self.router.route(now_ms, flow.src, flow.dst, data,
                                   self._current.contracts, self._list)
        if isinstance(action, router_lib.Dropped):
            self.dropped.append(action.reason)
            return
        self.sent.append((now_ms, action.member.name))
        self._world.carry(self.address, action.member.address,
                          codec.encode(action.packet))

    def on_message(self, source: ids.Address, message: codec.Message) -> None:
        """Receives a message from an agent."""
        now_ms = self._world.clock.now_ms()
        self.router.on_heard(now_ms, source)
        if isinstance(message, datagram.Stale):
            self._fresh.tracker.on_change_reported(
                now_ms, message.change, self._current.contracts.change)

    def _list(self, service: str) -> service_list.ServiceList:
        return self._current.lists.get(service,
                                       service_list.ServiceList.empty(service))


class Network(typing.NamedTuple):
    """Probabilities that a datagram is lost, delayed or duplicated.

    Attributes:
      loss: Probability of a loss.
      late: Probability of a delay.
      repeated: Probability of a second, delayed copy.
      max_delay_ms: Upper bound of these delays.
    """
    loss: float = 0.0
    late: float = 0.0
    repeated: float = 0.0
    max_delay_ms: int = 2000


# One class holds all processes and all fault settings.
class World:  # pylint: disable=too-many-instance-attributes
    """Simulated processes of a test and the faults of their network.

    Attributes:
        paused: Names of the paused agents.
        queues_while_paused: Whether datagrams for a paused agent are queued;
          otherwise they are lost.
        blocked_pairs: Pairs of addresses that exchange no datagrams.
        network: Probabilities of faults of datagrams.
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
        self.queues_while_paused = False
        self.blocked_pairs: set[frozenset[ids.Address]] = set()
        self.network = Network()
        self.balancers: dict[ids.Address, Balancer] = {}
        self._timers: dict[str, _AgentTimers] = {}
        self._waiting: dict[str, list[tuple[ids.Address, bytes]]] = {}
        self._lists: dict[str, service_list.ServiceList] = {}
        self.dead_balancers: set[ids.Address] = set()
        self.replies: list[tuple[ids.Address, ids.FlowKey,
                                 aiocoap.Message]] = []
        self.other_messages: list = []
        self.skipped: tuple[str, ...] = ()
        self._addresses: dict[ids.Address, str] = {}
        self._options = options
        self.set_contract()

    def set_contract(self, limits=(1000, 1000, 100), rank=1, **zones) -> None:
        """Applies a contract or, with `out` or `back`, a change of a zone."""
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
        """Starts an agent; it replaces a killed one of the same name."""
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
        env = environment.Environment(self.clock, timers,
                                      _SimulatedPort(self, address),
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
        """Returns the frame address of a running agent."""
        return next(a for a, known in self._addresses.items() if known == name)

    def assign_address(self, name: str, address: ids.Address) -> None:
        """Gives an agent the address of an ended one in addition to its own."""
        self._addresses[address] = name

    def start(self, *names: str) -> None:
        """Starts agents and waits until they are in the list."""
        for name in names:
            self.add(name)
            self.run(TICK_MS)
        self.run(1500)

    def lists(self) -> dict[str, service_list.ServiceList]:
        """Returns the lists by service as last read from the platform."""
        for name in (SERVICE, OTHER_SERVICE):
            self.members(name)
        return dict(self._lists)

    def members(self, service: str = SERVICE) -> service_list.ServiceList:
        """Returns the list of a service as last read from the platform."""
        self.db.get(f'lists/{service}').addCallbacks(
            lambda item: self._update_list(service, item), lambda failure: None)
        return self._lists.get(service, service_list.ServiceList.empty(service))

    def _update_list(self, service: str, item: typing.Any) -> None:
        known = self._lists.get(service)
        if item and (known is None or item.version > known.version):
            self._lists[service] = service_list.ServiceList.from_json(
                service, item.version, item.value)

    def snapshot(self) -> _Snapshot:
        """Returns the lists and contracts that a balancer without lag knows."""
        return _Snapshot(self.clock.now_ms(), self.lists(), self.contracts)

    def run(self, duration_ms: int) -> None:
        """Advances the virtual time; agents and balancers tick each 100 ms."""
        for _ in range(0, duration_ms, STEP_MS):
            self.source.advance(STEP_MS / 1000)
            self._resume_agents()
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

    def _resume_agents(self) -> None:
        """Runs the deferred calls and queued datagrams of resumed agents."""
        for name in self.agents.keys() - self.paused:
            self._timers[name].resume()
            for source, data in self._waiting.pop(name, ()):
                self.agents[name].on_datagram(source, data)

    def carry(self, source: ids.Address, address: ids.Address,
              data: bytes) -> None:
        """Sends a datagram through the network with its faults."""
        if frozenset((source, address)) in self.blocked_pairs:
            return
        net = self.network
        if self.rng.random() < net.loss:
            return
        delays_ms = [1]
        if self.rng.random() < net.late:
            delays_ms = [self.rng.randrange(1, net.max_delay_ms)]
        if self.rng.random() < net.repeated:
            delays_ms.append(self.rng.randrange(1, net.max_delay_ms))
        for delay_ms in delays_ms:
            self.timers.call_later(
                delay_ms, lambda: self._on_arrival(source, address, data))

    def packet(self, flow: ids.FlowKey, data: bytes, **fields):
        """Returns the packet that forwards a caller's datagram to an agent."""
        members = self.members()
        message = aiocoap.Message.decode(data)
        return datagram.Packet(self.contracts.change, members.version, CUSTOMER,
                               SERVICE, flow, message.code.is_request(),
                               fields.pop('balancer', BALANCERS[0]), data, (),
                               self.skipped)._replace(**fields)

    def call(self, flow: ids.FlowKey, data: bytes, **fields) -> None:
        """Delivers a caller's datagram to the first member not skipped."""
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
        """Returns the requests that ran at any target."""
        return [run for target in self.targets.values() for run in target.runs]

    def _on_arrival(self, source: ids.Address, address: ids.Address,
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
                self.other_messages.append(message)
            return
        self._deliver(address, source, data)

    def _deliver(self, address: ids.Address, source: ids.Address,
                 data: bytes) -> None:
        name = self._addresses.get(address)
        if name not in self.agents:
            return
        if name not in self.paused:
            self.agents[name].on_datagram(source, data)
        elif self.queues_while_paused:
            waiting = self._waiting.setdefault(name, [])
            if len(waiting) < SOCKET_QUEUE_DATAGRAMS:
                waiting.append((source, data))


def flow_of(number: int, address: ids.Address = SERVICE_ADDRESS) -> ids.FlowKey:
    """Returns a caller's flow."""
    return ids.FlowKey('192.0.2.1', 10_000 + number, *address)


def coap(code=aiocoap.GET, mid=1, mtype=aiocoap.CON, **options) -> bytes:
    """Returns the bytes of a caller's CoAP message."""
    token = options.pop('token', b't')
    return aiocoap.Message(code=code,
                           _mtype=mtype,
                           _mid=mid,
                           _token=token,
                           **options).encode()
