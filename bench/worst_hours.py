"""Measures the control path in the hours that load it most.

Explanation
===========

Run it with `python -m bench.worst_hours [LISTS ...]`. 96 nodes in 8 zones run
in virtual time, as in `bench.change_in_force`. The service lists, of about
800 bytes as with 5 members, are the size that grows, because a node's bucket
carries them at 5 KB/s:

* `zone back`: all nodes of a zone start at once with empty replicas, and each
  list is written once, 400 a second.
* `regions apart`: three zones reach neither the others nor the platform for
  3 min with a change each minute and a list written each second.
* `platform down`: the platform fails and 30 nodes are replaced at once.

A contract change is approved 1 s after a zone is back, and at the joining of
the regions 3 changes wait; `change_ms` is the time until the last node has
them all. `caught_up_ms` is the time until the last node has every list, and
`serving_ms` the time until the last fresh node serves. -1 is more than 600 s.

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
    """Figures of one hour.

    Attributes:
      hour: The hour.
      lists: Service lists.
      change_ms: Time until all changes are in force on all serving nodes.
      serving_ms: Time until all fresh nodes serve.
      caught_up_ms: Time until all nodes have all lists.
      most_sent: Bytes a second of the node that sends most until then.
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
    """Waits until all nodes have change `newest` and all lists."""
    start_ms = sim.time.now_ms()
    found: dict[str, int] = {}
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
    while len(found) < len(conditions):
        passed_ms = sim.time.now_ms() - start_ms
        if passed_ms > TIMEOUT_MS:
            break
        for name, holds in conditions.items():
            if name not in found and holds():
                found[name] = passed_ms
        sim.time.run_until(sim.time.now_ms() + _STEP_MS)
    seconds = (sim.time.now_ms() - start_ms) / clock.MS_PER_S
    return Row(hour, lists,
               *(found.get(name, NOT_REACHED) for name in conditions),
               max(sim.sent.values()) / seconds)


def run_zone_restart(lists: int, nodes: int, seed: int) -> Row:
    """Starts a zone's nodes at once while all lists change."""
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
    """Cuts three zones off and joins them after minutes."""
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


def _set_partitioned(sim: Sim, apart: bool) -> None:
    sim.partitioned_zones = _PARTITIONED_ZONES if apart else frozenset()
    for node in sim.nodes.values():
        node.link.is_disconnected = apart and node.balancer.zone in _PARTITIONED_ZONES


def run_platform_outage(lists: int, nodes: int, seed: int) -> Row:
    """Replaces nodes while the platform is down."""
    sim = _start(lists, nodes, seed)
    sim.store.down = True
    replaced: list[simulation.Node] = sim.rng.sample(
        list(sim.nodes.values()), min(MAX_REPLACED_NODES, nodes // 3))
    for node in replaced:
        sim.start_node(node.balancer)
    return _measure_recovery(sim, 'platform down', lists, 1)


class WorstHours(measure.Measure):
    """The three hours at several numbers of lists."""
    name = 'worst_hours'

    def __init__(self,
                 lists: tuple[int, ...] = LIST_COUNTS,
                 nodes: int = NODES):
        self._lists = lists
        self._nodes = nodes

    def run(self, seed):
        hours = [(run_zone_restart, n) for n in self._lists]
        # The cut takes 3 min of virtual time whatever the number of lists.
        hours.append((run_partition, self._lists[-1]))
        hours += [(run_platform_outage, n) for n in self._lists]
        rows = tuple(hour(n, self._nodes, seed) for hour, n in hours)
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
