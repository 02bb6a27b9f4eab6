"""Tests of the fabric stand-in as a process, and of its faults."""

import random
import socket

import pytest

from figdrum.balancer import proxy_header
from standins import http_call
from standins import packet_faults
from standins import process

_DEADLINE_S = 20


def _socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(('127.0.0.1', 0))
    sock.settimeout(_DEADLINE_S)
    return sock


def _name(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f'{host}:{port}'


@pytest.fixture(name='ends')
def fixture_ends():
    """Yields a caller's and two balancers' sockets."""
    socks = [_socket() for _ in range(3)]
    yield socks
    for sock in socks:
        sock.close()


@pytest.fixture(name='fabric')
def fixture_fabric(ends):
    """Runs a fabric in front of the two balancers; it must exit 0."""
    flags = []
    for sock in ends[1:]:
        flags += ['--balancer', _name(sock)]
    started = process.Process.start_standin('fabric', '--service',
                                            '127.9.0.1:0', '--service',
                                            '127.9.0.2:0', *flags)
    yield started
    assert started.stop() == 0


def _use_only(fabric, sock, **faults):
    http_call.send(fabric.address('control'), '/control', {
        'balancers': [_name(sock)],
        'faults': faults
    })


def test_requests_and_replies_carry_addresses(ends, fabric):
    """Guards against a reply from another service's address."""
    caller, balancer, _ = ends
    _use_only(fabric, balancer)
    for service in fabric.announced['services']:
        caller.sendto(b'ask', tuple(service))
        datagram, _ = balancer.recvfrom(2048)
        found = proxy_header.unpack(datagram)
        assert found == (caller.getsockname(), tuple(service), b'ask')
        balancer.sendto(proxy_header.pack(found.dst, found.src, b'answer'),
                        tuple(fabric.announced['reply']))
        assert caller.recvfrom(2048) == (b'answer', tuple(service))


def test_any_balancer_gets_a_packet(ends, fabric):
    """Guards against packets that all go to the same balancer."""
    caller, *balancers = ends
    for _ in range(64):
        caller.sendto(b'x', tuple(fabric.announced['services'][0]))
    for balancer in balancers:
        assert balancer.recvfrom(2048)


def test_invalid_datagram_on_the_reply_port_is_dropped(ends, fabric):
    """Guards against an invalid datagram that stops the fabric."""
    caller, balancer, _ = ends
    _use_only(fabric, balancer)
    reply = tuple(fabric.announced['reply'])
    service = tuple(fabric.announced['services'][0])
    balancer.sendto(b'noise', reply)
    balancer.sendto(proxy_header.pack(('10.0.0.1', 1), ('10.0.0.2', 2), b''),
                    reply)
    balancer.sendto(proxy_header.pack(service, caller.getsockname(), b'ok'),
                    reply)
    assert caller.recvfrom(2048)[0] == b'ok'
    counts = http_call.get(fabric.address('control'), '/control/counts')
    assert counts['bad_replies'] == 2


def test_faults_change_while_it_runs(ends, fabric):
    """Guards against faults that only command-line options can set."""
    caller, balancer, _ = ends
    service = tuple(fabric.announced['services'][0])
    _use_only(fabric, balancer, loss=1.0)
    caller.sendto(b'lost', service)
    control = fabric.address('control')
    while not http_call.get(control, '/control/counts').get('lost'):
        pass
    _use_only(fabric, balancer, loss=0.0, repeat=1.0, delay_ms=1.0)
    caller.sendto(b'twice', service)
    payloads = [
        proxy_header.unpack(balancer.recvfrom(2048)[0]).payload
        for _ in range(2)
    ]
    assert payloads == [b'twice', b'twice']
    assert http_call.status(control, '/control', 'POST',
                            b'{"faults": {"los": 1}}') == 400


def test_faults_are_seeded():
    """Guards against a run that its seed does not reproduce."""
    faults = packet_faults.PacketFaults(0.3, 0.3, 0.3, 1.0, 5.0)
    plans = [[faults.copy_delays_ms(rng)
              for _ in range(200)]
             for rng in (random.Random(7), random.Random(7))]
    assert plans[0] == plans[1]
    assert {len(delays_ms) for delays_ms in plans[0]} == {0, 1, 2}
    assert any(
        d > faults.reorder_ms for delays_ms in plans[0] for d in delays_ms)
