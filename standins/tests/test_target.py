"""Tests of the target stand-in as a process."""

import socket
import time

import pytest

from standins import http_call
from standins import ledger
from standins import process
from standins import report

_OWN = {'X-Service': 'fieldbook', 'X-Customer': 'c'}
_DEADLINE_S = 20


@pytest.fixture(name='target')
def fixture_target():
    """Runs a target and yields its address; it must exit 0."""
    started = process.Process.start_standin('target', '--name', 't1',
                                            '--service', 'fieldbook',
                                            '--cold-rate', '1000',
                                            '--full-rate', '2000',
                                            '--connections', '3')
    yield started.address('http')
    assert started.stop() == 0


def _connect(target):
    host, port = target.split(':')
    return socket.create_connection((host, int(port)), _DEADLINE_S)


def _get(path, **headers):
    lines = [f'GET {path} HTTP/1.1', 'Host: t', 'X-Service: fieldbook']
    lines += [f'{k.replace("_", "-")}: {v}' for k, v in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def _outcomes(target):
    return [(e['path'], e['outcome']) for e in http_call.get(target, '/ledger')]


def test_other_services_are_refused(target):
    """Guards against a misrouted request that is not recorded (P2)."""
    for headers in ({}, {'X-Service': 'booking'}):
        assert http_call.status(target, '/x?n=1', headers=headers) == 421
    assert _outcomes(target) == [('/x?n=1', 'misrouted')] * 2


def test_ledger_names_key_and_customer(target):
    """Guards against a run that cannot be traced to its request."""
    headers = {**_OWN, 'Idempotency-Key': 'k1', 'X-Deadline-Ms': '9000'}
    assert http_call.status(target, '/records?n=1', 'POST', b'x',
                            headers) == 200
    entry, = map(ledger.LedgerEntry.from_json, http_call.get(target, '/ledger'))
    assert entry[:6] == ('t1', 'k1', 'fieldbook', 'c', 'POST', '/records?n=1')
    assert entry.outcome is ledger.Outcome.DONE
    assert entry.end_ms >= entry.start_ms > 0


def test_report_has_the_wanted_size(target):
    """Guards against a body that the caller cannot check."""
    with _connect(target) as conn:
        conn.sendall(_get('/report/7?size=20000', Connection='close'))
        data = b''.join(iter(lambda: conn.recv(65536), b''))
    assert data.partition(b'\r\n\r\n')[2] == report.body('7', 20_000)


def test_refusals_say_that_nothing_ran(target):
    """Guards against did-not-run for a request in the ledger (P6)."""
    http_call.send(target, '/control', {'shedding': 1.0})
    with _connect(target) as conn:
        conn.sendall(_get('/x', Connection='close'))
        data = b''.join(iter(lambda: conn.recv(65536), b''))
    assert data.startswith(b'HTTP/1.1 503')
    assert b'X-Did-Not-Run: 1' in data
    assert not _outcomes(target)


def test_closed_connection_aborts_the_run(target):
    """Guards against a run that continues after its caller disconnected."""
    http_call.send(target, '/control', {'work_ms': 60_000})
    with _connect(target) as conn:
        conn.sendall(_get('/long'))
        while _outcomes(target) != [('/long', 'running')]:
            pass
    while _outcomes(target) != [('/long', 'cut')]:
        pass
    assert http_call.status(target,
                            '/late',
                            headers={
                                **_OWN, 'X-Deadline-Ms': '20'
                            }) == 504


def test_health_and_load_can_be_false_and_outdated(target):
    """Guards against endpoints that ignore the settings for false reports."""
    assert http_call.get(target, '/health')['state'] == 'cold'
    settings = {'health': 'ready', 'load': 0.9, 'draining': True}
    http_call.send(target, '/control', settings)
    assert http_call.get(target, '/health')['state'] == 'ready'
    assert http_call.get(target, '/load')['utilisation'] == 0.9
    http_call.send(target, '/control', {'health': '', 'health_lag_ms': 50_000})
    assert http_call.get(target, '/health')['state'] == 'cold'
    http_call.send(target, '/control', {'health_lag_ms': 0})
    assert http_call.get(target, '/health')['state'] == 'draining'


def test_connections_are_limited(target):
    """Guards against a target that takes any number of connections."""
    held = [_connect(target) for _ in range(3)]
    for conn in held:
        conn.sendall(_get('/health'))
        assert conn.recv(64).startswith(b'HTTP/1.1 200')
    with _connect(target) as conn:
        try:
            conn.sendall(_get('/health'))
            assert conn.recv(64) == b''
        except ConnectionError:
            pass  # The kernel may report the close as a reset.
    for conn in held:
        conn.close()
    while True:
        try:
            http_call.get(target, '/health')
            break
        except OSError:
            pass  # The target has not seen the closes yet.


def test_termination_finishes_running_requests():
    """Guards against a planned stop that aborts a request in progress (P9)."""
    started = process.Process.start_standin('target', '--name', 't1',
                                            '--service', 'fieldbook',
                                            '--work-ms', '300')
    target = started.address('http')
    with _connect(target) as conn:
        conn.sendall(_get('/x'))
        while not _outcomes(target):
            pass
        started.terminate()
        assert conn.recv(64).startswith(b'HTTP/1.1 200')
    assert started.stop() == 0


def test_repeated_termination_exits_with_zero():
    """Guards against exit status -15 from a second SIGTERM during the exit."""
    started = process.Process.start_standin('target', '--name', 't1',
                                            '--service', 'fieldbook')
    while started.is_running():
        started.terminate()
        time.sleep(0.0003)
    assert started.stop() == 0
