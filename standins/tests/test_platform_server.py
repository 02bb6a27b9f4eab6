"""Tests of the platform stand-in as a process."""

import concurrent.futures

import pytest

from figdrum.object_api import store
from standins import call_meter
from standins import http_call
from standins import process


@pytest.fixture(name='platform')
def fixture_platform():
    """Runs a platform and yields its address; it must exit 0."""
    started = process.Process.start_standin('platform_server', '--writes-per-s',
                                            '40')
    yield started.address('http')
    assert started.stop() == 0


def _put(address, key, value, if_version):
    return http_call.send(address, f'/objects/{key}?if_version={if_version}',
                          {'value': value}, 'PUT')


def test_conditional_updates(platform):
    """Guards against two creators or two updaters that both succeed."""
    assert _put(platform, 'changes/1', 'a', 0)['version'] == 1
    assert _put(platform, 'changes/1', 'b', 1) == {
        'key': 'changes/1',
        'value': 'b',
        'version': 2,
        'revision': 2
    }
    for if_version in (0, 1, 3):
        code = http_call.status(platform,
                                f'/objects/changes/1?if_version={if_version}',
                                'PUT', b'{"value": "c"}')
        assert code == 409
    assert http_call.get(platform, '/objects/changes/1')['value'] == 'b'
    assert http_call.status(platform, '/objects/changes/2') == 404


def test_values_are_bounded(platform):
    """Guards against a value that the real platform would refuse."""
    largest = 'x' * store.MAX_VALUE_BYTES
    assert _put(platform, 'a', largest, 0)['version'] == 1
    body = ('{"value": "' + largest + 'x"}').encode()
    assert http_call.status(platform, '/objects/b?if_version=0', 'PUT',
                            body) == 413


def test_watch_wakes_and_times_out(platform):
    """Guards against a watch that misses a change or reports another key's."""
    with concurrent.futures.ThreadPoolExecutor() as pool:
        watch = pool.submit(http_call.get, platform,
                            '/watch?prefix=lists/&since=1&timeout_ms=9000')
        while http_call.get(platform, '/control/counts')['waiting'] == 0:
            pass
        _put(platform, 'lists/old', 'x', 0)
        _put(platform, 'other', 'x', 0)
        _put(platform, 'lists/new', 'x', 0)
        found = watch.result()
    assert [item['key'] for item in found['items']] == ['lists/new']
    assert found['revision'] == 3
    late = http_call.get(platform, '/watch?prefix=lists/&since=3&timeout_ms=1')
    assert late == {'items': [], 'revision': 3}


def test_dropped_answer_takes_effect(platform):
    """Guards against a lost answer that also loses the write."""
    http_call.send(platform, '/control', {'drop_answers': 1})
    with pytest.raises(OSError):
        _put(platform, 'k', 'v', 0)
    assert http_call.get(platform, '/objects/k')['value'] == 'v'
    assert _put(platform, 'k', 'w', 1)['version'] == 2


@pytest.mark.parametrize('down', ['close', 'error'])
def test_outage_changes_nothing(platform, down):
    """Guards against a write that takes effect while the platform is down."""
    http_call.send(platform, '/control', {'down': down})
    with pytest.raises(OSError):
        _put(platform, 'k', 'v', 0)
    http_call.send(platform, '/control', {'down': False})
    assert http_call.status(platform, '/objects/k') == 404


def test_one_client_is_cut_off(platform):
    """Guards against an injected disconnection that affects other clients."""
    http_call.send(platform, '/control', {'cut_clients': ['lb-1']})
    path = '/objects?prefix='
    assert http_call.status(platform, path, headers={'X-Client': 'lb-2'}) == 200
    with pytest.raises(OSError):
        http_call.status(platform, path, headers={'X-Client': 'lb-1'})
    counts = http_call.get(platform, '/control/counts')
    assert counts['clients']['lb-1']['read'] == 1


def test_rate_is_limited_and_counted():
    """Guards against calls above the platform's rate that go unnoticed."""
    started = process.Process.start_standin('platform_server', '--writes-per-s',
                                            '0')
    address = started.address('http')
    code = http_call.status(address, '/objects/k?if_version=0', 'PUT',
                            b'{"value": ""}')
    counts = http_call.get(address, '/control/counts')
    assert started.stop() == 0
    assert (code, counts['write'], counts['refused']) == (429, 1, 1)
    meter = call_meter.CallMeter()
    write = call_meter.CallKind.WRITE
    admitted = [meter.admit(now_ms, write) for now_ms in range(1000)]
    assert admitted.count(True) == call_meter.WRITES_PER_S
    assert meter.admit(1000, write)
    assert all(
        meter.admit(1000, kind)
        for kind in (call_meter.CallKind.READ, call_meter.CallKind.WATCH)
        for _ in range(call_meter.READS_PER_S // 2))
    assert not meter.admit(1000, call_meter.CallKind.WATCH)


def test_bad_input_is_refused(platform):
    """Guards against invalid input that stops the stand-in."""
    for body in (b'', b'[]', b'{"value": 1}', b'\xff'):
        assert http_call.status(platform, '/objects/k?if_version=0', 'PUT',
                                body) == 400
    assert http_call.status(platform, '/watch?since=x') == 400
    assert http_call.status(platform, '/control', 'POST',
                            b'{"down": "maybe"}') == 400
