"""Measures how memory, CPU time and message sizes grow with the state.

Explanation
===========

Run it with `python -m bench.slopes`. Each quantity is measured at four sizes or
more; the slope is the least-squares line through them, and `fit` is the largest
deviation of a point from it, as a share of the largest value. Memory is what
tracemalloc counts, so neither the interpreter nor the allocator's unused parts
are in it; the resident memory of an idle process is in `bench.memory`. CPU time
is the minimum of several runs, because other load on the machine only adds to
it.

The calls to the platform are those of `GossipController` in virtual time.

References
==========

docs/design.md, section 2 (target size), section 4 (state).
"""

import collections.abc
import functools
import gc
import subprocess
import sys
import time
import tracemalloc
import typing

from bench import change_in_force
from bench import measure
from figdrum.core import ids
from figdrum.core import states
from figdrum.idempotency import claim_registry
from figdrum.idempotency import result_table
from figdrum.membership import leases
from figdrum.membership import service_list
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.messages import datagram
from figdrum.ownership import flow_table
from figdrum.ownership import records
from figdrum.sync import gossip
from figdrum.sync import replica as replica_lib
from figdrum.sync.tests import simulation

IP_UDP_BYTES = 28
SEED = 1
SIZES = (500, 1_000, 2_000, 4_000)
RESIDENT_SIZES = (0, 500, 1_000, 2_000)
_REPEAT_COUNT = 5
_BODY = b'x' * 64

Fill = collections.abc.Callable[[int], typing.Any]


class Point(typing.NamedTuple):
    """One measurement."""
    size: int
    value: float


class Slope(typing.NamedTuple):
    """A least-squares line through measurements.

    Attributes:
      quantity: The measured quantity and the unit of its size.
      unit: Unit of the values.
      sizes: Sizes that were measured.
      values: Values at these sizes.
      per_one: Growth of the value for each unit of size.
      at_zero: Value of the line at size 0.
      fit: Largest deviation from the line as a share of the largest value.
    """
    quantity: str
    unit: str
    sizes: str
    values: str
    per_one: float
    at_zero: float
    fit: float


def slope(quantity: str, unit: str, points: list[Point]) -> Slope:
    """Returns the least-squares line through `points`.

    Examples
    ========

    >>> line = slope('member', 'B', [Point(1, 12.0), Point(2, 22.0)])
    >>> line.per_one, line.at_zero, line.fit
    (10.0, 2.0, 0.0)
    """
    n = len(points)
    mean_x = sum(p.size for p in points) / n
    mean_y = sum(p.value for p in points) / n
    per_one = (sum(
        (p.size - mean_x) * (p.value - mean_y) for p in points) / sum(
            (p.size - mean_x)**2 for p in points))
    at_zero = mean_y - per_one * mean_x
    largest_deviation = max(
        abs(p.value - at_zero - per_one * p.size) for p in points)
    return Slope(quantity, unit, '/'.join(str(p.size) for p in points),
                 '/'.join(f'{p.value:.0f}' for p in points), per_one, at_zero,
                 largest_deviation / max(abs(p.value) for p in points))


def memory_bytes(fill: Fill, size: int) -> float:
    """Returns the bytes that the result of `fill(size)` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = fill(size)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used


def cpu_us(work: Fill, size: int) -> float:
    """Returns the minimum CPU time of `work(size)` over a few runs, in us."""
    least = float('inf')
    for _ in range(_REPEAT_COUNT):
        began = time.process_time()
        work(size)
        least = min(least, time.process_time() - began)
    return least * 1e6


def _host(number: int) -> str:
    return f'10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}'


def members(service: str, count: int) -> service_list.ServiceList:
    """Returns a list with `count` members."""
    found = tuple(
        service_list.Member(f'{service}-{i:04}', (
            _host(i), 7000), f'region-zone-{i % 8}', i +
                            1, states.MemberState.ACTIVE) for i in range(count))
    return service_list.ServiceList(service, count, found)


def list_entry(number: int, count: int, revision: int) -> control.Entry:
    """Returns the entry of service `number` with `count` members."""
    service = f'service-{number:05}'
    return control.Entry(replica_lib.LISTS_PREFIX + service,
                         members(service, count).to_json(), count, revision)


def contract_entry(n: int) -> control.Entry:
    """Returns the entry of change `n`, which sets a contract."""
    return control.Entry(f'changes/{n:010}',
                         change_in_force.contract_change(n).to_json(), 1, n)


def _replica(entries: collections.abc.Iterable[control.Entry]):
    replica = replica_lib.Replica()
    for entry in entries:
        # Encoded and decoded, as from the network, so that no object is shared
        # with the sender.
        delta = codec.decode(
            codec.encode(
                control.Delta(entry.revision - 1, entry.revision, (entry,), 0)))
        replica.apply(delta)
    return replica


def replica_of_lists(count: int, size: int = 5):
    """Returns a replica with `count` lists of `size` members."""
    return _replica(list_entry(i, size, i + 1) for i in range(count))


def replica_of_members(count: int):
    """Returns a replica with 10 lists that have `count` members in all."""
    return replica_of_lists(10, count // 10)


def replica_of_contracts(count: int):
    """Returns a replica after `count` changes of as many contracts."""
    return _replica(contract_entry(i + 1) for i in range(count))


def flow(number: int) -> ids.FlowKey:
    """Returns a new flow key, as one that is decoded from the network."""
    return ids.FlowKey(_host(number), 1024 + number % 60_000, '10.9.0.1', 5683)


def _table(count: int, record: records.Record) -> flow_table.FlowTable:
    table = flow_table.FlowTable(count)
    for i in range(count):
        copy = type(record)(*record) if record else record
        table.put(i, flow(i), copy, ids.CustomerId(f'customer-{i % 10}'))
    return table


def flows_held(count: int):
    """Returns a table of `count` held flows."""
    return _table(count, records.Hold())


def pointers(count: int):
    """Returns a table of `count` pointers."""
    return _table(count, records.Pointer('service-00001-0001', 7))


def fences(count: int):
    """Returns a table of `count` refusal fences."""
    table = flow_table.FlowTable(count)
    for i in range(count):
        table.put_refusal(
            i, flow(i), b'%d' % i,
            records.RefusalRecord(states.Refusal.DID_NOT_RUN, ('a-1',)))
    return table


def _claim(number: int) -> datagram.Claim:
    return datagram.Claim(number, f'customer-{number % 10}',
                          f'key-{number:032}', 'service-00001-0001', 7, 9)


def claims(count: int):
    """Returns a registry of `count` claims."""
    registry = claim_registry.ClaimRegistry('service-00001-0002')
    for i in range(count):
        registry.on_claim(0, codec.decode(codec.encode(_claim(i))), 9,
                          claim_registry.RecordCompleteness.MATURE)
    return registry


def results(count: int):
    """Returns a table of `count` answers of 64 bytes."""
    table = result_table.ResultTable()
    for i in range(count):
        table.begin(0, f'customer-{i % 10}', f'key-{i:032}')
        table.finish(0, f'customer-{i % 10}', f'key-{i:032}', 69,
                     bytes(bytearray(_BODY)))
    return table


def heartbeats(count: int) -> None:
    """Decodes and processes `count` heartbeats of a list of 5 members."""
    table = leases.LeaseTable('service-00001-0000')
    table.on_list(0, members('service-00001', 5), ids.Incarnation(1))
    data = codec.encode(datagram.Heartbeat('service-00001-0001', 2, 5))
    for i in range(count):
        table.on_heartbeat(i, codec.decode(data))


@functools.cache
def _synchronized_nodes() -> tuple[simulation.Node, simulation.Node]:
    """Returns two nodes whose replicas are synchronized."""
    sim = change_in_force.TrafficSimulation(SEED)
    sim.start(8, 8)
    sim.time.run_until(3_000)
    one, other, *_ = sim.nodes.values()
    return one, other


def digests(count: int) -> None:
    """Decodes and processes `count` digests of a synchronized peer."""
    one, other = _synchronized_nodes()
    data = codec.encode(
        control.Digest(other.balancer.name, other.balancer.zone,
                       *other.balancer.address, one.replica.revision, 5, True,
                       0))
    for _ in range(count):
        one.gossip.on_digest(3_000, codec.decode(data))


def delta_entries(count: int) -> None:
    """Decodes and applies `count` entries of lists of 5 members."""
    replica_of_lists(count)


def calls_per_zone(zones: int) -> float:
    """Returns the calls a second to the platform with `zones` of 10 nodes."""
    sim = change_in_force.TrafficSimulation(SEED)
    sim.start(10 * zones, zones)
    sim.time.run_until(8_000)
    return sim.traffic(20_000).calls


class _Quantity(typing.NamedTuple):
    """A quantity: its name, its unit, how to measure it, and the sizes."""
    name: str
    unit: str
    meter: collections.abc.Callable[[Fill, int], float]
    fill: Fill
    sizes: tuple[int, ...] = SIZES


QUANTITIES = (
    _Quantity('list of 5 members in a replica', 'B', memory_bytes,
              replica_of_lists, (100, 200, 400, 800)),
    _Quantity('member in a replica', 'B', memory_bytes, replica_of_members,
              (500, 1_000, 2_000, 4_000)),
    _Quantity('contract with 2 grants in a replica', 'B', memory_bytes,
              replica_of_contracts, (400, 600, 800, 1_000)),
    _Quantity('flow record', 'B', memory_bytes, flows_held),
    _Quantity('pointer', 'B', memory_bytes, pointers),
    _Quantity('fence', 'B', memory_bytes, fences),
    _Quantity('claim', 'B', memory_bytes, claims),
    _Quantity('result of 64 B', 'B', memory_bytes, results),
    _Quantity('heartbeat taken', 'us CPU', cpu_us, heartbeats,
              (4_000, 8_000, 16_000, 32_000)),
    _Quantity('digest taken', 'us CPU', cpu_us, digests,
              (4_000, 8_000, 16_000, 32_000)),
    _Quantity('delta entry of 5 members applied', 'us CPU', cpu_us,
              delta_entries, (100, 200, 400, 800)),
    _Quantity('claim judged', 'us CPU', cpu_us, claims),
    _Quantity('zone: platform calls a second', 'calls/s',
              lambda fill, size: fill(size), calls_per_zone, (1, 2, 4, 8)),
)


def message_sizes() -> dict[str, int]:
    """Returns the sizes of messages between nodes, in bytes with headers."""
    delta = control.Delta(1, 2, (list_entry(1, 5, 2),), 0)
    change = control.Delta(1, 2, (contract_entry(2),), 0)
    digest = control.Digest('balancer-0001', 'region-zone-1', '10.0.0.1', 7400,
                            1_000_000, 1_500, True, 100_000)
    packet = datagram.Packet(100_000, 50, 'customer-1', 'service-00001',
                             flow(1), True, ('10.0.0.1', 7300), _BODY)
    tcp = {
        'digest': digest,
        'pull': control.Pull(1_000_000),
        'delta of a change': change,
        'delta of a list of 5': delta,
    }
    udp = {
        'heartbeat': datagram.Heartbeat('service-00001-0001', 5, 50),
        'claim': _claim(1),
        'packet of 64 B payload': packet,
        'reply of 64 B payload': datagram.Reply(flow(1), _BODY),
    }
    sizes = {
        n: len(codec.encode(m)) + gossip.TCP_HEADER_BYTES
        for n, m in tcp.items()
    }
    return sizes | {
        n: len(codec.encode(m)) + IP_UDP_BYTES for n, m in udp.items()
    }


# Prints VmRSS and VmHWM in kB with the modules of a balancer and a replica.
_RSS_SCRIPT = '''
import sys
import figdrum.balancer.process
from bench import slopes
kept = slopes.full_replica(int(sys.argv[1]))
with open('/proc/self/status', encoding='ascii') as status:
    rows = dict(row.split(':') for row in status)
print(rows['VmRSS'].split()[0], rows['VmHWM'].split()[0])
'''


def full_replica(lists: int) -> replica_lib.Replica:
    """Returns a replica with `lists` lists of 5 members and half as many
    contracts with two addresses each."""
    entries = [contract_entry(i + 1) for i in range(lists // 2)]
    first = len(entries) + 1
    return _replica(entries +
                    [list_entry(i, 5, first + i) for i in range(lists)])


def resident_kb(lists: int) -> tuple[int, int]:
    """Returns the resident memory, and its peak, of a process with the modules
    of a balancer, this bench and `full_replica(lists)`, in kB."""
    done = subprocess.run([sys.executable, '-c', _RSS_SCRIPT,
                           str(lists)],
                          capture_output=True,
                          check=True,
                          text=True)
    now, peak = done.stdout.split()
    return int(now), int(peak)


class Slopes(measure.Measure):
    """Measures the slopes of `QUANTITIES` and the sizes of messages."""
    name = 'slopes'

    def __init__(self, size_divisor: int = 1):
        """Divides all sizes by `size_divisor`, which makes tests fast."""
        self._size_divisor = size_divisor

    def run(self, seed):
        rows = []
        for one in QUANTITIES:
            sizes = [
                max(i + 1, n // self._size_divisor)
                for i, n in enumerate(one.sizes)
            ]
            rows.append(
                slope(one.name, one.unit,
                      [Point(n, one.meter(one.fill, n)) for n in sizes]))
        notes = tuple(f'{name}: {size} B with headers'
                      for name, size in message_sizes().items())
        for lists in RESIDENT_SIZES:
            now, peak = resident_kb(lists // self._size_divisor)
            notes += (f'balancer with {lists // self._size_divisor} lists: '
                      f'{now} kB resident, peak {peak} kB',)
        return measure.Table(self.name,
                             self.command,
                             seed,
                             tuple(rows),
                             notes=notes)


MEASURE = Slopes


def main() -> None:
    """Prints the table."""
    print(Slopes().run(SEED).to_text())


if __name__ == '__main__':
    main()
