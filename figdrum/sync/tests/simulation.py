"""Simulates balancers, their streams and a platform in virtual time."""

import heapq
import itertools
import random

from figdrum.contracts import change as change_lib
from figdrum.core import clock as clock_lib
from figdrum.core import errors
from figdrum.core import ports
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.object_api import loader
from figdrum.object_api import memory_store
from figdrum.sync import actions as actions_lib
from figdrum.sync import gossip
from figdrum.sync import registry as registry_lib
from figdrum.sync import replica as replica_lib

TICK_MS = 100


class _Timer:
    """A scheduled call."""

    def __init__(self, fn):
        self.fn = fn

    def cancel(self) -> None:
        """Cancels the call."""
        self.fn = lambda: None


class VirtualTime(ports.Timers, clock_lib.ManualClock):
    """A clock with timers that only `run_until` advances."""

    def __init__(self):
        super().__init__()
        self._heap = []
        self._order = itertools.count()

    def call_later(self, delay_ms, fn):
        timer = _Timer(fn)
        due = self.now_ms() + int(delay_ms)
        heapq.heappush(self._heap, (due, next(self._order), timer))
        return timer

    def run_until(self, until_ms: int) -> None:
        """Advances the clock to `until_ms` and runs the calls due by then."""
        while self._heap and self._heap[0][0] <= until_ms:
            due, _, timer = heapq.heappop(self._heap)
            self.advance(due - self.now_ms())
            timer.fn()
        self.advance(until_ms - self.now_ms())


class Node:
    """The control path of a balancer process, without packet forwarding."""

    def __init__(self, sim: 'Simulation', balancer: registry_lib.Balancer,
                 seeds):
        self.sim = sim
        self.balancer = balancer
        self.link = memory_store.DisconnectableStore(sim.store)
        self.replica = replica_lib.Replica()
        now_ms = sim.time.now_ms()
        self.gossip = gossip.GossipController(
            gossip.GossipConfig(balancer.name, balancer.zone, balancer.address,
                                seeds), self.replica,
            random.Random(sim.rng.random()), now_ms)
        self.alive = True
        self.sent: list[tuple[int, int]] = []
        self.last_seen = (0, 0)
        sim.time.call_later(sim.rng.randrange(TICK_MS), self._tick)

    def execute(self, actions, reply_to=None) -> None:
        """Executes `actions`; replies go to node `reply_to`."""
        for action in actions:
            if isinstance(action, actions_lib.Send):
                self._send(self.sim.nodes.get(action.address), action.message)
            elif isinstance(action, actions_lib.Reply):
                self._send(reply_to, action.message)
            elif isinstance(action, actions_lib.Load):
                self._read(loader.load(self.link, action.prefixes))
            elif isinstance(action, actions_lib.Watch):
                self._read(
                    loader.watch(self.link, action.since_revision,
                                 action.timeout_ms))
        self._check_not_decreasing()

    def _tick(self) -> None:
        if self.alive:
            self.execute(self.gossip.on_tick(self.sim.time.now_ms()))
            self.sim.time.call_later(TICK_MS, self._tick)

    def _send(self, peer: 'Node | None', message: control.Message) -> None:
        data = codec.encode(message)
        self.sent.append((self.sim.time.now_ms(), len(data)))
        if peer is not None:
            self.sim.deliver(self, peer, data)

    def receive(self, sender: 'Node', data: bytes) -> None:
        """Decodes and handles a message from `sender`."""
        if not self.alive:
            return
        now_ms = self.sim.time.now_ms()
        message = codec.decode(data)
        handler = {
            control.Digest: self.gossip.on_digest,
            control.Delta: self.gossip.on_delta,
            control.Pull: self.gossip.on_pull,
        }[type(message)]
        self.execute(handler(now_ms, message), sender)

    def _read(self, deferred) -> None:
        requested_ms = self.sim.time.now_ms()

        def on_failure(failure):
            failure.trap(errors.StoreError)

        def on_read(delta):
            if self.alive:
                self.execute(
                    self.gossip.on_store_result(
                        self.sim.time.now_ms(),
                        actions_lib.StoreResult(requested_ms, delta)))

        deferred.addErrback(on_failure).addCallback(on_read)

    def _check_not_decreasing(self) -> None:
        last_seen = (self.replica.revision, self.replica.contracts.change)
        assert last_seen[0] >= self.last_seen[0] and last_seen[
            1] >= self.last_seen[1]
        self.last_seen = last_seen


class Simulation:
    """A simulated network of nodes in several zones, and the platform.

    Attributes:
      loss: Fraction of messages that are lost.
      repeat: Fraction of messages that are delivered twice.
      max_delay_ms: Maximum delay of a message.
      partitioned_zones: Zones that are partitioned from all other zones.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.time = VirtualTime()
        self.store = memory_store.MemoryStore(self.time)
        self.nodes: dict[tuple, Node] = {}
        self.loss = 0.0
        self.repeat = 0.0
        self.max_delay_ms = 4
        self.partitioned_zones: frozenset[str] = frozenset()

    def start(self, count: int, zones: int) -> None:
        """Registers and starts `count` nodes."""
        balancers = [
            registry_lib.Balancer(f'lb-{i}', f'zone-{i % zones}',
                                  (f'10.0.{i // 250}.{i % 250}', 7400))
            for i in range(count)
        ]
        for zone in sorted({b.zone for b in balancers}):
            members = tuple(b for b in balancers if b.zone == zone)
            self.store.put(registry_lib.key(zone),
                           registry_lib.Registry(zone, 0, members).to_json(), 0)
        for balancer in balancers:
            self.start_node(balancer)

    def start_node(self, balancer: registry_lib.Balancer) -> Node:
        """Starts a node and stops an earlier one at the same address."""
        earlier = self.nodes.get(balancer.address)
        if earlier is not None:
            earlier.alive = False
        seeds = tuple(self.nodes)[:3]
        node = self.nodes[balancer.address] = Node(self, balancer, seeds)
        return node

    def append(self, n: int) -> None:
        """Appends change `n`, which takes a zone out or in."""
        kind = change_lib.ZoneOut if n % 2 else change_lib.ZoneIn
        change = change_lib.Change(n, f'id-{n}', f'p-{n}', 'ana', 'bo', n,
                                   max(0, n - 1), n, kind('z'))
        written = self.store.put(change_lib.key(n), change.to_json(), 0)
        assert not isinstance(written.result, Exception)

    def write_list(self, service: str, size: int) -> None:
        """Writes the next version of a list of `size` bytes."""
        key = replica_lib.LISTS_PREFIX + service
        held = self.store.get(key).result
        value = '{"members": []}' + ' ' * size
        self.store.put(key, value, held.version if held else 0)

    def deliver(self, sender: Node, peer: Node, data: bytes) -> None:
        """Delivers a message with delay, loss and duplication."""
        is_partitioned = (sender.balancer.zone in self.partitioned_zones) != (
            peer.balancer.zone in self.partitioned_zones)
        if is_partitioned or self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.repeat else 1):
            self.time.call_later(
                self.rng.randint(1, self.max_delay_ms),
                lambda: self.nodes[peer.balancer.address].receive(sender, data))

    def changes(self) -> set[int]:
        """Returns the set of last applied change numbers over all nodes."""
        return {n.replica.contracts.change for n in self.nodes.values()}

    def revisions(self) -> set[int]:
        """Returns the set of revisions over all nodes."""
        return {n.replica.revision for n in self.nodes.values()}
