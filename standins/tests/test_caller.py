"""Test of a fleet of callers as a process, through fabric and target."""

import json

from standins import http_call
from standins import ledger
from standins import process
from standins import request_record


def _target(name):
    # High rates and a long queue, because the relay does not limit its calls.
    return process.Process.start_standin('target', '--name', f'{name}-1',
                                         '--service', name, '--cold-rate',
                                         '9000', '--full-rate', '9000',
                                         '--queue', '9000')


def test_fleet_is_answered_through_a_bad_network(tmp_path):
    """Guards against callers that lose, mix up or repeat requests when the
    network loses, repeats and reorders packets."""
    targets = {name: _target(name) for name in ('fieldbook', 'booking')}
    fabric = process.Process.start_standin('fabric', '--service', '127.9.0.1:0',
                                           '--service', '127.9.0.2:0', '--loss',
                                           '0.01', '--repeat', '0.05',
                                           '--reorder', '0.05', '--jitter-ms',
                                           '5')
    services = [f'{host}:{port}' for host, port in fabric.announced['services']]
    routes = []
    for (name, target), service in zip(targets.items(), services):
        routes += ['--route', f'{service}={name}@{target.address("http")}']
    relay = process.Process.start_standin('tests.relay', '--fabric',
                                          fabric.address('reply'), *routes)
    http_call.send(fabric.address('control'), '/control',
                   {'balancers': [relay.address('packet')]})
    out = tmp_path / 'records.json'
    caller = process.Process.start_standin(
        'caller', '--service', f'fieldbook={services[0]}', '--service',
        f'booking={services[1]}', '--flows', '16', '--requests', '160',
        '--duration-ms', '1000', '--ramp-ms', '200', '--ack-timeout-ms', '300',
        '--repeat-share', '0', '--report-bytes', '3000', '--out', str(out))
    assert caller.wait(120) == 0
    entries = [
        ledger.LedgerEntry.from_json(row)
        for target in targets.values()
        for row in http_call.get(target.address('http'), '/ledger')
    ]
    for running in (caller, relay, fabric, *targets.values()):
        assert running.stop() == 0
    found = json.loads(out.read_text(encoding='utf-8'))
    endings = {record['ending'] for record in found['records']}
    assert endings == {request_record.Ending.ANSWERED.value}
    assert len(found['records']) == 160
    assert len(found['feeds']) == 4
    assert not found['strays']
    assert not ledger.keys_started_twice(entries)
