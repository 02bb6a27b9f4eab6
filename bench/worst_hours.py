"""Measures the control path in the recoveries that load it most.

Explanation
===========

Run it with `python -m bench.worst_hours [LISTS ...]`. 96 nodes in 8 zones run
in virtual time, as in `bench.change_in_force`. The number of
service lists varies, because the token bucket of a node limits their transfer
to 5 KB/s. A list has about 800 bytes, as one with 5 members:

* `zone back`: all nodes of a zone start at once with empty replicas, and each
  list is written once, at 400 lists per second.
* `regions apart`: three zones reach neither the others nor the platform for
  3 min, with a change every minute and a list written every second.
* `platform down`: the platform fails and 30 nodes are replaced at once.

A contract change is approved 1 s after the start of the zone; 3 changes are
pending when the regions are connected again. `change_ms` is the time until the
last node has all changes, `caught_up_ms` the time until the last node has every
list, and `serving_ms` the time until the last fresh node serves. -1 stands for
more than 600 s.

References
==========

docs/design.md, section 2 (failures) and section 6.2.
"""

import collections.abc
import sys
import typing

from bench import change_in_force
from bench import measure
from figdrum.core import clock
from figdrum.sync.tests import simulation

SEED = 1
NODES = 96
LIST_COUNTS = (25, 50, 100, 200)
MAX_REPLACED_NODES = 30
LIST_WRITES_PER_S = 400
PARTITION_MS = 180_000
TIMEOUT_MS = 600_000
NOT_REACHED = -1
_LIST_BYTES = 750
_STEP_MS = 100
_SETTLE_MS = 8_000
_PARTITIONED_ZONES = frozenset({'zone-0', 'zone-1', 'zone-2'})

Sim = change_in_force.TrafficSimulation


class Row(typing.NamedTuple):
    """Results of one scenario.

    Attributes:
      hour: Name of the scenario.
      lists: Number of service lists.
      change_ms: Time until all changes are in force on all serving nodes.
      serving_ms: Time until all fresh nodes serve.
      caught_up_ms: Time until all nodes have all lists.
      most_sent: Mean bytes per second until then of the node that sends most.
    """
    hour: str
    lists: int
    change_ms: int
    serving_ms: int
    caught_up_ms: int
    most_sent: float


def _start(lists: int, nodes: int, seed: int) -> Sim:
    sim = Sim(seed)
    for i in range(lists):
        sim.write_list(f'service-{i:05}', _LIST_BYTES)
    sim.start(nodes, change_in_force.ZONES)
    sim.time.run_until(_SETTLE_MS)
    change_in_force.write_change(sim, 1)
    sim.time.run_until(_SETTLE_MS + 5_000)
    sim.sent.clear()
    return sim


def _measure_recovery(sim: Sim, hour: str, lists: int, newest: int) -> Row:
    """Waits until all nodes have change `newest` and all lists, and serve."""
    start_ms = sim.time.now_ms()
    reached_ms: dict[str, int] = {}
    nodes = sim.nodes.values()
    conditions: dict[str, collections.abc.Callable[[], bool]] = {
        'change_ms':
            lambda: all(n.replica.contracts.change == newest or not n.gossip.
                        can_serve for n in nodes),
        'serving_ms':
            lambda: all(n.gossip.can_serve for n in nodes),
        'caught_up_ms':
            lambda: sim.revisions() == {sim.store.revision},
    }
    while len(reached_ms) < len(conditions):
        elapsed_ms = sim.time.now_ms() - start_ms
        if elapsed_ms > TIMEOUT_MS:
            break
        for name, holds in conditions.items():
            if name not in reached_ms and holds():
                reached_ms[name] = elapsed_ms
        sim.time.run_until(sim.time.now_ms() + _STEP_MS)
    seconds = (sim.time.now_ms() - start_ms) / clock.MS_PER_S
    return Row(hour, lists,
               *(reached_ms.get(name, NOT_REACHED) for name in conditions),
               max(sim.sent.values()) / seconds)


def run_zone_restart(lists: int, nodes: int, seed: int) -> Row:
    """Starts all nodes of a zone at once while every list is written."""
    sim = _start(lists, nodes, seed)
    for node in list(sim.nodes.values()):
        if node.balancer.zone == 'zone-0':
            sim.start_node(node.balancer)
    for i in range(lists):
        sim.time.call_later(
            i * clock.MS_PER_S // LIST_WRITES_PER_S,
            lambda name=f'service-{i:05}': sim.write_list(name, _LIST_BYTES))
    sim.time.call_later(1_000, lambda: change_in_force.write_change(sim, 2))
    sim.time.run_until(sim.time.now_ms() + 1_000)
    return _measure_recovery(sim, 'zone back', lists, 2)


def run_partition(lists: int, nodes: int, seed: int) -> Row:
    """Partitions three zones for `PARTITION_MS`, then connects them again."""
    sim = _start(lists, nodes, seed)
    _set_partitioned(sim, True)
    for second in range(PARTITION_MS // clock.MS_PER_S):
        sim.write_list(f'service-{second % lists:05}', _LIST_BYTES)
        if second % 60 == 0:
            change_in_force.write_change(sim, 2 + second // 60)
        sim.time.run_until(sim.time.now_ms() + clock.MS_PER_S)
    _set_partitioned(sim, False)
    sim.sent.clear()
    return _measure_recovery(sim, 'regions apart', lists,
                             1 + PARTITION_MS // 60_000)


def _set_partitioned(sim: Sim, is_partitioned: bool) -> None:
    sim.partitioned_zones = _PARTITIONED_ZONES if is_partitioned else frozenset(
    )
    for node in sim.nodes.values():
        node.link.is_disconnected = (is_partitioned and
                                     node.balancer.zone in _PARTITIONED_ZONES)


def run_platform_outage(lists: int, nodes: int, seed: int) -> Row:
    """Replaces up to `MAX_REPLACED_NODES` nodes while the platform is down."""
    sim = _start(lists, nodes, seed)
    sim.store.down = True
    replaced: list[simulation.Node] = sim.rng.sample(
        list(sim.nodes.values()), min(MAX_REPLACED_NODES, nodes // 3))
    for node in replaced:
        sim.start_node(node.balancer)
    return _measure_recovery(sim, 'platform down', lists, 1)


class WorstHours(measure.Measure):
    """Runs the three scenarios at several numbers of lists."""
    name = 'worst_hours'

    def __init__(self,
                 lists: tuple[int, ...] = LIST_COUNTS,
                 nodes: int = NODES):
        self._lists = lists
        self._nodes = nodes

    def run(self, seed):
        scenarios = [(run_zone_restart, n) for n in self._lists]
        # The partition takes 3 min of virtual time for any number of lists, so
        # it is run at one size only.
        scenarios.append((run_partition, self._lists[-1]))
        scenarios += [(run_platform_outage, n) for n in self._lists]
        rows = tuple(hour(n, self._nodes, seed) for hour, n in scenarios)
        slowest = max(
            r.change_ms if r.change_ms >= 0 else TIMEOUT_MS for r in rows)
        bound = measure.Bound(
            'a change is in force within 7000 ms in the worst hours', slowest
            <= change_in_force.LIMIT_MS, slowest)
        return measure.Table(self.name, self.command, seed, rows, (bound,))


MEASURE = WorstHours


def main() -> None:
    """Prints the table; arguments are the numbers of lists."""
    lists = tuple(int(arg) for arg in sys.argv[1:]) or LIST_COUNTS
    print(WorstHours(lists).run(SEED).to_text())


if __name__ == '__main__':
    main()
