"""Tests of metrics."""

import socket

from figdrum.telemetry import metrics


def test_statsd_datagrams_have_the_published_form():
    """Guards against datagrams that a statsd server does not accept."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(30)
        client = metrics.StatsdMetrics(server.getsockname(), 'figdrum')
        client.incr('agent.refused', 2)
        client.gauge('agent.flows', 7)
        client.timing('platform.call', 1.5)
        found = [server.recv(512) for _ in range(3)]
        client.close()
    assert found == [
        b'figdrum.agent.refused:2|c', b'figdrum.agent.flows:7|g',
        b'figdrum.platform.call:1.500000|ms'
    ]


def test_absent_or_unreachable_server_does_not_raise():
    """Guards against exceptions when the statsd server is down."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        address = server.getsockname()
    down = metrics.StatsdMetrics(address, 'figdrum')
    # The kernel refuses to send to a broadcast address without SO_BROADCAST.
    unreachable = metrics.StatsdMetrics(('255.255.255.255', 8125), 'figdrum')
    for _ in range(100):
        down.incr('x')
        unreachable.incr('x')
    assert unreachable.dropped == 100
    down.close()
    unreachable.close()


def test_memory_metrics_keep_sums_and_extremes():
    """Guards against timings of which only the last one is kept."""
    memory = metrics.MemoryMetrics()
    memory.timing('call', 3.0)
    memory.timing('call', 1.0)
    memory.gauge('flows', 4)
    assert memory.timings['call'] == (2, 4.0, 3.0)
    assert memory.gauges == {'flows': 4}
