"""Measures the CPU time per packet as lists and flow tables grow.

Explanation
===========

Run it with `python -m bench.costs`. `python -m bench.costs profile` prints a
profile of a balancer that forwards packets, and `python -m bench.costs packet`
measures only a balancer's packet and reply. No sockets are used:

* `packet`: a datagram of the fabric through `FabricPort`, `Router` and the
  codec to the agent's datagram, as in a balancer;
* `reply`: an agent's datagram through the codec to the fabric's datagram;
* `new flow` and `held flow`: `Owner.on_packet` for the first and for a later
  packet of a flow, without the expiry that runs on each 100 ms tick.

Each figure is the minimum of several runs.

References
==========

docs/design.md, sections 5.2 and 5.3.
"""

import collections.abc
import cProfile
import pstats
import sys
import time
import typing

import aiocoap

from bench import measure
from bench import slopes
from figdrum.balancer import counters
from figdrum.balancer import fabric_port
from figdrum.balancer import frame_port
from figdrum.balancer import packet_path
from figdrum.balancer import proxy_header
from figdrum.contracts import change
from figdrum.contracts import contract
from figdrum.core import ids
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.messages import datagram
from figdrum.ownership import admission_check
from figdrum.ownership import owner
from figdrum.routing import router
from figdrum.routing import serving
from figdrum.sync import replica as replica_lib

SEED = 1
SERVICE_COUNTS = (10, 100, 500, 2_000)
BACK_END_COUNTS = (3, 10, 20, 40)
HELD_FLOW_COUNTS = (100, 1_000, 5_000, 20_000)
PACKET_COUNT = 3_000
_REPEATS = 3
_DEFAULT_BACK_ENDS = 5
_PROFILED_PACKETS = 50_000
_PORT = 5683


class Row(typing.NamedTuple):
    """One measured cost.

    Attributes:
      cost: What was measured.
      services: Number of services in the replica.
      back_ends: Number of back ends of each service.
      held: Number of flows in the agent's table before the measurement.
      us: CPU time in us.
    """
    cost: str
    services: int
    back_ends: int
    held: int
    us: float


class _AlwaysFresh(serving.Freshness):
    """Freshness of a balancer that may always serve."""
    can_serve = True

    def is_behind(self, now_ms):
        return False


class _RecordingTransport:
    """A transport that passes each datagram written to a callback."""

    def __init__(self, on_sent=lambda data: None):
        self._on_sent = on_sent

    def write(self, data, address):
        """Passes `data` to the callback."""
        del address
        self._on_sent(data)


def _address(service: int) -> ids.Address:
    return (f'10.9.{service // 250}.{service % 250 + 1}', _PORT)


def _replica(services: int, back_ends: int) -> replica_lib.Replica:
    grants = tuple(
        contract.Grant('customer-1', f'service-{i:05}', _address(i))
        for i in range(services))
    body = change.ContractSet(
        contract.Contract('customer-1', grants, ('192.0.2.0/24',),
                          contract.Limits(10**6, 10**6, 10**6), 1))
    contract_change = change.Change(1, 'change-of-p', 'p', 'ana', 'bo', 1, 0, 1,
                                    body)
    entries = [control.Entry(change.key(1), contract_change.to_json(), 1, 1)]
    entries += [slopes.list_entry(i, back_ends, i + 2) for i in range(services)]
    replica = replica_lib.Replica()
    replica.apply(control.Delta(0, services + 1, tuple(entries), 0))
    return replica


def make_packet_receiver(
    services: int,
    back_ends: int,
    on_sent: collections.abc.Callable[[bytes], None] = lambda data: None
) -> collections.abc.Callable[[bytes], None]:
    """Returns a function that receives a datagram of the fabric."""
    counts = counters.Counters()
    frames = frame_port.FramePort(lambda *_: None, counts.incr)
    frames.transport = _RecordingTransport(on_sent)
    data = _replica(services, back_ends)
    path = packet_path.PacketPath(
        router.Router(ids.ZoneName('region-zone-1'), ('127.0.0.1', 7300),
                      serving.ServingGate(_AlwaysFresh())), data, None, frames,
        lambda *_: None, counts)
    fabric = fabric_port.FabricPort(('127.0.0.1', 1),
                                    lambda *packet: path.on_packet(1, *packet),
                                    counts.incr)
    return lambda received: fabric.datagramReceived(received, ('127.0.0.1', 1))


def reply_us(count: int) -> float:
    """Returns the CPU time that a balancer takes for a reply, in us."""
    counts = counters.Counters()
    fabric = fabric_port.FabricPort(('127.0.0.1', 1), lambda *_: None,
                                    counts.incr)
    fabric.transport = _RecordingTransport()
    path = packet_path.PacketPath(
        router.Router(ids.ZoneName('region-zone-1'), ('127.0.0.1', 7300),
                      serving.ServingGate(_AlwaysFresh())),
        _replica(1, _DEFAULT_BACK_ENDS), fabric, None, lambda *_: None, counts)
    frames = frame_port.FramePort(
        lambda agent, message: path.on_message(1, agent, message), counts.incr)
    datagrams = [
        codec.encode(datagram.Reply(slopes.flow(i), b'x' * 24))
        for i in range(count)
    ]

    def work():
        for data in datagrams:
            frames.datagramReceived(data, ('10.0.0.1', 7000))

    return min(_time_per_item_us(count, work) for _ in range(_REPEATS))


def packets(services: int, count: int) -> list[bytes]:
    """Returns `count` datagrams of the fabric to these services."""
    coap = aiocoap.Message(code=aiocoap.GET,
                           _mtype=aiocoap.CON,
                           _mid=1,
                           _token=b't',
                           uri_path=('visits',)).encode()
    return [
        proxy_header.pack(('192.0.2.1', 1024 + i), _address(i % services), coap)
        for i in range(count)
    ]


def _time_per_item_us(count: int,
                      work: collections.abc.Callable[[], None]) -> float:
    began = time.process_time()
    work()
    return (time.process_time() - began) / count * 1e6


def packet_us(services: int, back_ends: int, count: int) -> float:
    """Returns the CPU time that a balancer takes for a packet, in us."""
    receive = make_packet_receiver(services, back_ends)
    datagrams = packets(services, count)

    def work():
        for data in datagrams:
            receive(data)

    work()
    return min(_time_per_item_us(count, work) for _ in range(_REPEATS))


def _packet(number: int, members: int) -> datagram.Packet:
    return datagram.Packet(1, members, 'customer-1', 'service-00001',
                           slopes.flow(number), True, ('127.0.0.1', 7300),
                           b'%08d' % number)


def flow_us(back_ends: int, held: int, count: int) -> tuple[float, float]:
    """Returns the CPU time of a new flow and of a held flow's packet, in us.

    The agent is the first member of a list that has `back_ends` members, and
    the packets are those that its balancers would send to it.
    """
    new_us, held_us = [], []
    for _ in range(_REPEATS):
        agent, own_packets = _agent(back_ends, held + count)
        for packet in own_packets[:held]:
            agent.on_packet(0, packet, admission_check.AdmitAll())
        fresh = own_packets[held:]

        def work(agent=agent, fresh=fresh):
            for packet in fresh:
                agent.on_packet(0, packet, admission_check.AdmitAll())

        new_us.append(_time_per_item_us(count, work))
        if len(agent.held()) != held + count:
            raise RuntimeError(f'{len(agent.held())} flows held, '
                               f'not {held + count}')
        held_us.append(_time_per_item_us(count, work))
    return min(new_us), min(held_us)


def _agent(back_ends: int,
           flows: int) -> tuple[owner.Owner, list[datagram.Packet]]:
    """Returns an agent and packets of flows for which it ranks first."""
    members = slopes.members('service-00001', back_ends)
    name = members.members[0].name
    agent = owner.Owner(name, members.service, members.members[0].zone,
                        flows + 1)
    agent.join(0, ids.Incarnation(1))
    first = members._replace(members=members.members[:1], version=1)
    agent.on_list(0, first, frozenset())
    agent.on_list(0, members, frozenset())
    own_packets: list[datagram.Packet] = []
    number = 0
    while len(own_packets) < flows:
        packet = _packet(number, members.version)
        if members.order(packet.flow.to_bytes())[0].name == name:
            own_packets.append(packet)
        number += 1
    return agent, own_packets


class Costs(measure.Measure):
    """Measures the CPU time per packet of balancers and agents."""
    name = 'costs'

    def __init__(self,
                 services: tuple[int, ...] = SERVICE_COUNTS,
                 back_ends: tuple[int, ...] = BACK_END_COUNTS,
                 held: tuple[int, ...] = HELD_FLOW_COUNTS,
                 count: int = PACKET_COUNT):
        """Measures `count` packets at each of these sizes."""
        self._services = services
        self._back_ends = back_ends
        self._held = held
        self._count = count

    def run(self, seed):
        few = self._back_ends[0]
        rows = [
            Row('packet', n, _DEFAULT_BACK_ENDS, 0,
                packet_us(n, _DEFAULT_BACK_ENDS, self._count))
            for n in self._services
        ]
        rows += [
            Row('packet', 10, n, 0, packet_us(10, n, self._count))
            for n in self._back_ends
        ]
        rows.append(
            Row('reply', 1, _DEFAULT_BACK_ENDS, 0, reply_us(self._count)))
        sizes = [(n, self._held[0]) for n in self._back_ends]
        sizes += [(few, n) for n in self._held[1:]]
        for back_ends, held in sizes:
            new_us, held_us = flow_us(back_ends, held, self._count // 5)
            rows.append(Row('new flow', 1, back_ends, held, new_us))
            rows.append(Row('held flow', 1, back_ends, held, held_us))
        return measure.Table(self.name, self.command, seed, tuple(rows))


MEASURE = Costs


def profile(services: int = 100, back_ends: int = _DEFAULT_BACK_ENDS) -> None:
    """Prints a CPU profile of a balancer that forwards packets."""
    receive = make_packet_receiver(services, back_ends)
    datagrams = packets(services, _PROFILED_PACKETS)
    profiler = cProfile.Profile()
    profiler.enable()
    for data in datagrams:
        receive(data)
    profiler.disable()
    pstats.Stats(profiler).sort_stats('tottime').print_stats(18)


def main() -> None:
    """Prints the table or the profile."""
    if sys.argv[1:] == ['profile']:
        profile()
    elif sys.argv[1:] == ['packet']:
        print(f'packet {min(packet_us(100, 5, 500) for _ in range(40)):.1f} us'
              f', reply {min(reply_us(500) for _ in range(40)):.1f} us')
    else:
        print(Costs().run(SEED).to_text())


if __name__ == '__main__':
    main()
