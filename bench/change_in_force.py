"""Measures the time until a change is in force on every balancer.

Explanation
===========

Run it with `python -m bench.change_in_force [SEED [NODES ...]]`. Each
node runs the `GossipController` and `Replica` of figdrum in virtual time. Nodes
exchange encoded messages, each of which takes 1 to 4 ms. The time is measured
from the write of `changes/<n>`, which is the approval, until the last node has
applied it:

* `up`: the platform answers without delay;
* `slow`: each answer of the platform takes 500 ms;
* `down`: one reader reads the write, and then every call to the platform fails.

Traffic is counted as the token bucket counts it: the message and 52 bytes of
headers. Changes are 15 s apart here but 66 s apart at the target size, so the
traffic measured is higher than at the target size.

References
==========

docs/design.md, section 6.2; requirement P10 and the target size of section 2.
"""

import collections
import sys
import time
import typing

from bench import measure
from figdrum.contracts import change as change_lib
from figdrum.contracts import contract as contract_lib
from figdrum.core import clock
from figdrum.sync import gossip
from figdrum.sync.tests import simulation

SEED = 1
NODE_COUNTS = (3, 30, 100, 300, 910)
ZONES = 8
SLOW_ANSWER_MS = 500
LIMIT_MS = 7_000
LIMIT_BYTES_PER_S = 5_000
_SETTLE_MS = 8_000
_WINDOW_MS = 5_000
_STEP_MS = 20
_TIMEOUT_MS = 30_000


class Traffic(typing.NamedTuple):
    """Control traffic of the nodes over a window.

    Attributes:
      mean_sent: Mean bytes per second sent by a node.
      most_sent: Bytes per second sent by the node that sends most.
      most_received: Bytes per second received by the node that receives most.
      calls: Calls to the platform per second by all nodes.
    """
    mean_sent: float
    most_sent: float
    most_received: float
    calls: float


class Outcome(typing.NamedTuple):
    """Results for one number of nodes.

    Attributes:
      nodes: Number of nodes.
      up_ms: Time until a change is in force while the platform is up.
      slow_ms: The same with slow answers of the platform.
      down_ms: The same if the platform fails after one reader has read it.
      idle: Mean bytes per second sent by a node without changes.
      busy: The same in the window that starts with a change.
      most_sent: Bytes per second sent by the node that sends most in that
        window.
      most_received: Bytes per second received by the node that receives most.
      calls: Calls to the platform per second by all nodes.
      cpu_us: CPU time of a node in a second without changes, in us, including
        that of the simulation.
    """
    nodes: int
    up_ms: int
    slow_ms: int
    down_ms: int
    idle: float
    busy: float
    most_sent: float
    most_received: float
    calls: float
    cpu_us: float


class TrafficSimulation(simulation.Simulation):
    """A simulation that counts the bytes that each node sends and receives."""

    def __init__(self, seed: int):
        super().__init__(seed)
        self.sent: collections.Counter = collections.Counter()
        self.received: collections.Counter = collections.Counter()

    def deliver(self, sender, peer, data):
        size = len(data) + gossip.TCP_HEADER_BYTES
        self.sent[sender.balancer.name] += size
        self.received[peer.balancer.name] += size
        super().deliver(sender, peer, data)

    def traffic(self, duration_ms: int) -> Traffic:
        """Runs for `duration_ms` and returns the traffic of that time."""
        self.sent.clear()
        self.received.clear()
        calls = sum(self.store.calls.values())
        self.time.run_until(self.time.now_ms() + duration_ms)
        seconds = duration_ms / clock.MS_PER_S
        return Traffic(self.sent.total() / seconds / len(self.nodes),
                       max(self.sent.values(), default=0) / seconds,
                       max(self.received.values(), default=0) / seconds,
                       (sum(self.store.calls.values()) - calls) / seconds)


def contract_change(n: int) -> change_lib.Change:
    """Returns change `n`, which sets a contract with two service addresses."""
    customer = f'customer-{n}'
    grants = tuple(
        contract_lib.Grant(customer, f'service-{i}', (
            f'10.{i}.{n // 250}.{n % 250}', 5683)) for i in (1, 2))
    body = change_lib.ContractSet(
        contract_lib.Contract(customer, grants, ('192.0.2.0/24',),
                              contract_lib.Limits(2_000, 100, 40), 1))
    return change_lib.Change(n, f'change-of-p-{n}', f'p-{n}', 'ana', 'bo',
                             1_700_000_000_000, 0, n, body)


def write_change(sim: simulation.Simulation, n: int) -> None:
    """Writes change `n` to the store, which approves it."""
    sim.store.put(change_lib.key(n), contract_change(n).to_json(), 0)


def wait_until_in_force(sim: simulation.Simulation, n: int) -> int:
    """Waits until all nodes have applied change `n`; returns the time in ms."""
    start_ms = sim.time.now_ms()
    while sim.changes() != {n}:
        sim.time.run_until(sim.time.now_ms() + _STEP_MS)
        if sim.time.now_ms() - start_ms > _TIMEOUT_MS:
            break
    return sim.time.now_ms() - start_ms


def _fail_after_one_read(sim: simulation.Simulation, n: int) -> None:
    """Lets one reader read change `n` and then fails the platform."""
    reader = next(
        node for node in sim.nodes.values() if node.gossip.is_reader())
    for node in sim.nodes.values():
        node.link.is_disconnected = node is not reader
    sim.store.delay_ms = 0
    write_change(sim, n)
    reader.link.is_disconnected = True
    sim.store.down = True


def measure_nodes(nodes: int, seed: int) -> Outcome:
    """Returns the results for this number of nodes."""
    sim = TrafficSimulation(seed)
    sim.start(nodes, min(ZONES, nodes))
    sim.time.run_until(_SETTLE_MS)
    began = time.process_time()
    idle = sim.traffic(_WINDOW_MS)
    cpu_us = (time.process_time() - began) * 1e6 / nodes / (_WINDOW_MS /
                                                            clock.MS_PER_S)
    write_change(sim, 1)
    up_ms = wait_until_in_force(sim, 1)
    sim.time.run_until(sim.time.now_ms() + 1_000)
    write_change(sim, 2)
    busy = sim.traffic(_WINDOW_MS)
    sim.store.delay_ms = SLOW_ANSWER_MS
    sim.time.run_until(sim.time.now_ms() + 3_000)
    write_change(sim, 3)
    slow_ms = wait_until_in_force(sim, 3)
    sim.time.run_until(sim.time.now_ms() + 3_000)
    _fail_after_one_read(sim, 4)
    return Outcome(nodes, up_ms, slow_ms, wait_until_in_force(sim, 4),
                   idle.mean_sent, busy.mean_sent, busy.most_sent,
                   busy.most_received, busy.calls, cpu_us)


class ChangeInForce(measure.Measure):
    """Measures propagation time and control traffic by number of nodes."""
    name = 'change_in_force'

    def __init__(self, sizes: tuple[int, ...] = NODE_COUNTS):
        self._sizes = sizes

    def run(self, seed):
        rows = tuple(measure_nodes(nodes, seed) for nodes in self._sizes)
        slowest = max(max(r.up_ms, r.slow_ms, r.down_ms) for r in rows)
        most = max(max(r.most_sent, r.most_received) for r in rows)
        bounds = (
            measure.Bound(
                f'a change is in force within {LIMIT_MS} ms (target size)',
                slowest <= LIMIT_MS, slowest),
            measure.Bound(
                f'a node sends and receives {LIMIT_BYTES_PER_S} B/s of control '
                'at most (target size)', most <= LIMIT_BYTES_PER_S, most))
        series = tuple(
            measure.Series(label, tuple(
                r.nodes
                for r in rows), tuple(getattr(r, f'{label}_ms')
                                      for r in rows))
            for label in ('up', 'slow', 'down'))
        return measure.Table(
            self.name, self.command, seed, rows, bounds,
            measure.Plot('Time until a change is in force', 'nodes', 'ms',
                         series))


MEASURE = ChangeInForce


def main() -> None:
    """Prints the table; arguments are the seed and the numbers of nodes."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    sizes = tuple(int(arg) for arg in sys.argv[2:]) or NODE_COUNTS
    print(ChangeInForce(sizes).run(seed).to_text())


if __name__ == '__main__':
    main()
