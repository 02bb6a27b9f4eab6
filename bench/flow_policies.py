"""Policies for flows, compared in virtual time.

Explanation
===========

The real balancers and agents run under the load patterns of the users' sites,
without a network: callers keep flows open, retransmit, and open a new flow
after a reset. A policy says among how many candidates a new flow's target is
chosen, and how many agents are asked first for the owner of an open flow.

A request is in time if it is answered within `DEADLINE_MS`. Stray packets
reached a target that did not hold their flow.

References
==========

docs/platform.md, sections on placement and on the search.
"""

import contextlib
import functools
import itertools
import typing

from bench import measure
from figdrum.core import ids
from figdrum.flows import owner_search
from figdrum.flows import placement
from figdrum.flows.tests import packets
from figdrum.flows.tests import simulation as world_lib

ZONES = 'abc'
TARGETS = 9
CALLERS = 180

# Each caller asks so often, in ms; with it, targets are 30 % busy.
PERIOD_MS = 1_000
WORK_MS = 15

# Latency target of the sites' strictest route, in ms.
DEADLINE_MS = 1_000

# Retransmissions of the users' clients, in ms.
COPY_MS = (200, 600)
RETRANSMIT_MS = 200

# Requests on one flow, after which a caller opens the next one.
REQUESTS_PER_FLOW = 30

EVENT_MS = 6_000
END_MS = 12_000

# Time in ms that a process needs to start on the sites' machines.
START_MS = 340


class Policy(typing.NamedTuple):
    """A way to place and find flows.

    Attributes:
      name: Name in the table.
      candidates: Targets among which the least loaded gets a new flow.
      first_asked: Agents that are asked first for the owner of a flow.
    """
    name: str
    candidates: int
    first_asked: int


POLICIES = (
    Policy('hash', 1, owner_search.INITIAL_QUERY_COUNT),
    Policy('figdrum', placement.CANDIDATE_COUNT,
           owner_search.INITIAL_QUERY_COUNT),
    Policy('ask all', placement.CANDIDATE_COUNT, TARGETS),
    Policy('least loaded', TARGETS, owner_search.INITIAL_QUERY_COUNT),
)


class Row(typing.NamedTuple):
    """What a policy did under a pattern.

    Attributes:
      pattern: The load pattern.
      policy: The policy.
      in_time: Share of the requests that were answered in time.
      busiest: Requests at the busiest target over the mean.
      strays: Packets at targets that did not hold their flow.
      resets: Resets that callers got.
      control_kb: Bytes between balancers and agents, in kB.
    """
    pattern: str
    policy: str
    in_time: float
    busiest: float
    strays: int
    resets: int
    control_kb: float


class Caller:
    """Keeps a flow open and sends a request at a time on it."""

    def __init__(self, world: world_lib.Simulation, front: ids.Address,
                 numbers: typing.Iterator[int]):
        self.world = world
        self.front = front
        self.asked = 0
        self.in_time = 0
        self.resets = 0
        self._numbers = numbers
        self._key = b''
        self._ack = 0
        self._seq = 1
        self._asked_ms = 0
        self._pending = 0
        self._open()

    def _open(self) -> None:
        self._key = packets.flow_key(next(self._numbers))
        self._ack = 0
        self._seq = 1
        key = self._key
        self.world.listeners[key] = functools.partial(self._on_packet, key)
        for copies, delay_ms in enumerate((0, *COPY_MS)):
            self.world.after(delay_ms,
                             functools.partial(self._send_opening, key, copies))
        self.world.after(2 * COPY_MS[-1], functools.partial(self._renew, key))

    def _renew(self, key: bytes) -> None:
        """Gives a flow up that was not accepted."""
        if key == self._key and not self._ack:
            self._open()

    def _send_opening(self, key: bytes, copies: int) -> None:
        if key == self._key and not self._ack:
            self.world.send(self.front,
                            packets.build(packets.OPENING, key, 0, copies))

    def ask(self) -> None:
        """Begins the next request."""
        self.asked += 1
        self._pending = self.asked
        self._asked_ms = self.world.now_ms
        if self.asked % REQUESTS_PER_FLOW == 0:
            self._open()
        elif self._ack:
            self._send_request(self._key, self._pending, RETRANSMIT_MS)

    def _send_request(self, key: bytes, number: int, delay_ms: int) -> None:
        if key == self._key and number == self._pending:
            self.world.send(self.front,
                            packets.build(0, key, self._seq, self._ack, 50))
            self.world.after(
                delay_ms,
                functools.partial(self._send_request, key, number,
                                  2 * delay_ms))

    def _on_packet(self, key: bytes, raw: bytes) -> None:
        if key != self._key:
            return
        segment = self.world.format.parse_client(raw)
        if segment.is_reset:
            self.resets += 1
            self._open()
        elif segment.is_accepting and not self._ack:
            self._ack = segment.seq + 1
            self.world.send(self.front, packets.build(0, key, 1, self._ack))
            if self._pending:
                self._send_request(key, self._pending, RETRANSMIT_MS)
        elif segment.length and segment.ack == self._seq:
            self._seq += 50
            took_ms = self.world.now_ms - self._asked_ms
            self.in_time += bool(self._pending) and took_ms <= DEADLINE_MS
            self._pending = 0


class Scene:
    """A site under load.

    Attributes:
      world: Its processes.
      fronts: Addresses of its balancers.
      callers: Its callers.
    """

    def __init__(self, seed: int):
        self.world = world_lib.Simulation(seed)
        self.world.configure(1, {1: [('one', 1.0)]})
        for number in range(TARGETS):
            self.world.add_target(f'target-{number}',
                                  zone=ZONES[number % len(ZONES)],
                                  work_ms=WORK_MS)
        self.fronts = [
            self.world.add_balancer(f'front-{zone}', zone) for zone in ZONES
        ]
        self.world.run(2_000)
        numbers = itertools.count(1)
        self.callers = [
            Caller(self.world, self.fronts[n % len(ZONES)], numbers)
            for n in range(CALLERS)
        ]
        for caller in self.callers:
            self._ask(caller, self.world.rng.randint(0, PERIOD_MS))

    def _ask(self, caller: Caller, delay_ms: int) -> None:

        def ask() -> None:
            caller.ask()
            self._ask(caller, PERIOD_MS)

        self.world.after(delay_ms, ask)

    def kill_all(self) -> None:
        """Kills all balancers and agents; targets live on."""
        controllers = [*self.fronts, *self.world.targets]
        self.world.silent.update(controllers)
        fronts = dict(self.world.balancers)
        self.world.balancers.clear()

        def restart() -> None:
            self.world.silent.clear()
            for address in self.world.targets:
                self.world.restart_agent(address)
            for address in fronts:
                self.world.add_balancer(address[0], address[0][-1])

        self.world.after(START_MS, restart)

    def rehash(self) -> None:
        """The network sends each caller's packets to another balancer."""
        for caller in self.callers:
            index = self.fronts.index(caller.front)
            caller.front = self.fronts[(index + 1) % len(self.fronts)]

    def crash_zone(self) -> None:
        """The targets of a zone start again, without flows."""
        for address, target in self.world.targets.items():
            if target.zone == ZONES[0]:
                target.restart()
                self.world.send_heartbeat(address)

    def burst(self) -> None:
        """All callers ask four times as often for a second."""
        for caller in self.callers:
            for delay_ms in range(PERIOD_MS // 4, PERIOD_MS, PERIOD_MS // 4):
                self.world.after(delay_ms, caller.ask)


PATTERNS: dict[str, typing.Callable[[Scene], None]] = {
    'long flows': lambda scene: None,
    'burst': Scene.burst,
    'kill all': Scene.kill_all,
    'rehash': Scene.rehash,
    'targets of a zone restart': Scene.crash_zone,
}


@contextlib.contextmanager
def _in_force(policy: Policy) -> typing.Iterator[None]:
    before = placement.CANDIDATE_COUNT, owner_search.INITIAL_QUERY_COUNT
    placement.CANDIDATE_COUNT = policy.candidates
    owner_search.INITIAL_QUERY_COUNT = policy.first_asked
    try:
        yield
    finally:
        placement.CANDIDATE_COUNT, owner_search.INITIAL_QUERY_COUNT = before


def play(pattern: str, policy: Policy, seed: int) -> Row:
    """Runs a pattern under a policy."""
    with _in_force(policy):
        scene = Scene(seed)
        world = scene.world
        world.run(EVENT_MS)
        PATTERNS[pattern](scene)
        world.run(END_MS - EVENT_MS)
    served = [target.served for target in world.targets.values()]
    asked = sum(caller.asked for caller in scene.callers)
    in_time = sum(caller.in_time for caller in scene.callers)
    return Row(pattern, policy.name, in_time / asked,
               max(served) * len(served) / sum(served),
               sum(sum(t.strays.values()) for t in world.targets.values()),
               sum(caller.resets for caller in scene.callers),
               world.sent_bytes / 1_000)


class FlowPolicies(measure.Measure):
    """Runs all patterns under all policies."""
    name = 'flow_policies'

    def run(self, seed: int) -> measure.Table:
        rows = tuple(
            play(pattern, policy, seed)
            for pattern in PATTERNS
            for policy in POLICIES)
        return measure.Table(self.name, self.command, seed, rows)


MEASURE = FlowPolicies
