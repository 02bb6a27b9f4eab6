"""Compares a balancer's throughput on loopback with a plain UDP forwarder.

Explanation
===========

Run it with `python -m bench.speed [SECONDS]`. Three paths are measured in
the same run, each through processes of `bench.speed_child`:

* `one way`: this process sends callers' packets and receives them behind the
  balancer. The floor, which it is compared with, is a twisted process that
  forwards datagrams unchanged.
* `reply`: this process sends agents' replies and receives them at the fabric's
  port, against the same floor.
* `round trip`: caller, balancer, agent with a target that answers immediately,
  and back. The floor is an echo server.

Throughput is measured with `WINDOW_PACKETS` packets in flight. The CPU time is
that of the processes, so other load on the machine affects it less than the
throughput. Latency is measured at `PACED_RATE_PER_S` packets a second; the
added latency is the difference from the floor. Packets that do not arrive
within 0.5 s count as lost.

References
==========

HdrHistogram: https://hdrhistogram.org
"""

import collections.abc
import contextlib
import json
import os
import socket
import subprocess
import sys
import time
import typing

import aiocoap
from hdrh import histogram

from bench import measure
from bench import speed_child
from figdrum.balancer import proxy_header
from figdrum.core import ids
from figdrum.messages import codec
from figdrum.messages import datagram

SEED = 1
DEFAULT_DURATION_S = 1.5
FLOW_COUNT = 200
WINDOW_PACKETS = 32
PACED_RATE_PER_S = 500
PONG_INTERVAL_PACKETS = 64
RECEIVE_TIMEOUT_S = 0.5
_MAX_US = 1_000_000
_READ_BYTES = 65_536
_BUFFER_BYTES = 4 << 20
_PONG = codec.encode(datagram.Pong(1, speed_child.AGENT_NAME))
_CALLER = '192.0.2.1'


class Way(typing.NamedTuple):
    """A path of packets: sockets, processes and a source of datagrams.

    Attributes:
      name: Name in the table.
      destination: Address to which packets are sent.
      sender: Socket that sends packets.
      receiver: Socket at which packets arrive.
      pids: Processes whose CPU time counts.
      make_datagram: Returns the datagram with a given number.
      pong_address: Address to which the receiver sends pongs, as an agent
        does, so that the balancer does not suspect it; or None.
    """
    name: str
    destination: ids.Address
    sender: socket.socket
    receiver: socket.socket
    pids: tuple[int, ...]
    make_datagram: collections.abc.Callable[[int], bytes]
    pong_address: ids.Address | None = None


class Row(typing.NamedTuple):
    """Results of one way.

    Attributes:
      way: The way.
      per_s: Packets a second through it.
      cpu_us: CPU time of the processes on it for a packet, in us.
      p50_us: Median latency.
      p99_us: 99th percentile of the latency.
      lost: Packets that did not arrive.
      of_floor: Packets a second as a share of the floor's.
      added_p50_us: Median above the floor's.
      added_p99_us: 99th percentile above the floor's.
    """
    way: str
    per_s: float
    cpu_us: float
    p50_us: int
    p99_us: int
    lost: int
    of_floor: float = 1.0
    added_p50_us: int = 0
    added_p99_us: int = 0


class ChildProcesses(contextlib.AbstractContextManager):
    """Starts processes of `bench.speed_child`; ends them on exit."""

    def __init__(self):
        self._running: list[subprocess.Popen] = []

    def start(self, role: str, argument: str = '-') -> tuple[int, dict]:
        """Starts a process; returns its id and its ports."""
        child = subprocess.Popen(  # pylint: disable=consider-using-with
            [sys.executable, '-m', 'bench.speed_child', role, argument],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True)
        self._running.append(child)
        return child.pid, json.loads(child.stdout.readline())

    def __exit__(self, *exc):
        for child in self._running:
            child.stdin.close()
        for child in self._running:
            child.wait(30)
            child.stdout.close()


def udp_socket() -> socket.socket:
    """Returns a bound loopback socket with large buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((speed_child.HOST, 0))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    sock.settimeout(RECEIVE_TIMEOUT_S)
    return sock


def cpu_s(pids: tuple[int, ...]) -> float:
    """Returns the CPU time that these processes have used."""
    ticks = 0
    for pid in pids:
        with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
            fields = stat.read().rpartition(')')[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def request(number: int) -> bytes:
    """Returns a caller's GET with the PROXY header, on one of the flows."""
    coap = aiocoap.Message(code=aiocoap.GET,
                           _mtype=aiocoap.CON,
                           _mid=number // FLOW_COUNT & 0xffff,
                           _token=b'%04x' % (number & 0xffff),
                           uri_path=('visits',)).encode()
    return proxy_header.pack((_CALLER, 10_000 + number % FLOW_COUNT),
                             speed_child.SERVICE_ADDRESS, coap)


def reply(number: int) -> bytes:
    """Returns an agent's reply."""
    flow = ids.FlowKey(_CALLER, 10_000 + number % FLOW_COUNT,
                       *speed_child.SERVICE_ADDRESS)
    return codec.encode(datagram.Reply(flow, b'x' * 24))


def throughput(way: Way, duration_s: float,
               first_number: int) -> tuple[float, float, int]:
    """Returns packets a second, CPU time for each in us, and lost packets."""
    packets = [
        way.make_datagram(first_number + i)
        for i in range(int(duration_s * 60_000))
    ]
    sent = received = lost = 0
    cpu_before, began = cpu_s(way.pids), time.perf_counter()
    end = began + duration_s
    while sent < len(packets) and time.perf_counter() < end:
        while sent - received - lost < WINDOW_PACKETS and sent < len(packets):
            way.sender.sendto(packets[sent], way.destination)
            sent += 1
        try:
            way.receiver.recv(_READ_BYTES)
            received += 1
            _send_pong_if_due(way, received)
        except TimeoutError:
            lost = sent - received
    elapsed = time.perf_counter() - began
    used = cpu_s(way.pids) - cpu_before
    _discard_remaining(way)
    return received / elapsed, used / max(1, received) * 1e6, lost


def latency(way: Way, duration_s: float,
            first_number: int) -> histogram.HdrHistogram:
    """Returns the latency of packets sent one at a time, in us."""
    hist = histogram.HdrHistogram(1, _MAX_US, 3)
    start = time.perf_counter()
    for i in range(int(duration_s * PACED_RATE_PER_S)):
        packet = way.make_datagram(first_number + i)
        pause = start + i / PACED_RATE_PER_S - time.perf_counter()
        if pause > 0:
            time.sleep(pause)
        began = time.perf_counter()
        way.sender.sendto(packet, way.destination)
        try:
            way.receiver.recv(_READ_BYTES)
            _send_pong_if_due(way, i)
            hist.record_value(int((time.perf_counter() - began) * 1e6))
        except TimeoutError:
            hist.record_value(_MAX_US)
    return hist


def _send_pong_if_due(way: Way, received: int) -> None:
    if way.pong_address is not None and received % PONG_INTERVAL_PACKETS == 0:
        way.receiver.sendto(_PONG, way.pong_address)


def _discard_remaining(way: Way) -> None:
    """Receives and discards packets that are still in flight."""
    with contextlib.suppress(TimeoutError):
        while True:
            way.receiver.recv(_READ_BYTES)


def run_way(way: Way, duration_s: float) -> Row:
    """Measures one way, after a warm-up that starts every flow."""
    throughput(way, duration_s / 4, 0)
    first_number = 1_000_000
    per_s, used, lost = throughput(way, duration_s, first_number)
    hist = latency(way, duration_s / 2, 2 * first_number)
    return Row(way.name, per_s, used, hist.get_value_at_percentile(50),
               hist.get_value_at_percentile(99), lost)


def compare_to_floor(floor: Row, row: Row) -> Row:
    """Returns `row` with the fields that compare it with `floor`."""
    return row._replace(of_floor=row.per_s / floor.per_s,
                        added_p50_us=row.p50_us - floor.p50_us,
                        added_p99_us=row.p99_us - floor.p99_us)


def one_way(children: ChildProcesses, duration_s: float) -> list[Row]:
    """Measures the forwarder, the balancer and its reply path."""
    with udp_socket() as out, udp_socket() as back:
        port = back.getsockname()[1]
        floor_pid, floor = children.start('forwarder',
                                          f'{speed_child.HOST}:{port}')
        pid, found = children.start(
            'balancer', json.dumps({
                'fabric': port,
                'agents': [port] * 3
            }))
        host = speed_child.HOST
        low = run_way(
            Way('one way, floor', (host, floor['port']), out, back,
                (floor_pid,), request), duration_s)
        frames = (host, found['frames'])
        ways = (Way('one way, balancer', (host, found['port']), out, back,
                    (pid,), request, frames),
                Way('reply, balancer', frames, out, back, (pid,), reply))
        return [low] + [
            compare_to_floor(low, run_way(way, duration_s)) for way in ways
        ]


def round_trip(children: ChildProcesses, duration_s: float) -> list[Row]:
    """Measures an echo server, then a balancer with an agent."""
    host = speed_child.HOST
    with udp_socket() as own:
        echo_pid, echo = children.start('echo')
        agent_pid, agent = children.start('agent')
        pid, found = children.start(
            'balancer',
            json.dumps({
                'fabric': own.getsockname()[1],
                'agents': [agent['port']]
            }))
        floor = run_way(
            Way('round trip, floor', (host, echo['port']), own, own,
                (echo_pid,), request), duration_s)
        row = run_way(
            Way('round trip, balancer + agent', (host, found['port']), own, own,
                (pid, agent_pid), request), duration_s)
        return [floor, compare_to_floor(floor, row)]


class Speed(measure.Measure):
    """Measures the three ways and their floors."""
    name = 'speed'

    def __init__(self, duration_s: float = DEFAULT_DURATION_S):
        """Measures each way for about `duration_s`."""
        self._duration_s = duration_s

    def run(self, seed):
        with ChildProcesses() as children:
            rows = one_way(children, self._duration_s)
        with ChildProcesses() as children:
            rows += round_trip(children, self._duration_s)
        return measure.Table(
            self.name,
            self.command,
            seed,
            tuple(rows),
            notes=(f'{FLOW_COUNT} flows, window {WINDOW_PACKETS}, '
                   f'latency at {PACED_RATE_PER_S}/s',))


MEASURE = Speed


def main() -> None:
    """Prints the table."""
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_DURATION_S
    print(Speed(duration_s).run(SEED).to_text())


if __name__ == '__main__':
    main()
