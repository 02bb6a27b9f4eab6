"""Tests of the program with a simulated platform."""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys

import pytest

import figdrum
from figdrum.cli import remedies
from standins import process

ROOT = pathlib.Path(figdrum.__file__).parent.parent
DEADLINE_S = 120
BALANCER = '''[process]
name = lb-1
zone = muscat-a
region = om-north
log_format = json
[balancer]
packet_host = 127.0.0.1
packet_port = 0
frame_port = 0
control_port = {port}
fabric = 127.0.0.1:9
linger_ms = 100
[platform]
url = http://{platform}
'''


@pytest.fixture(name='platform')
def fixture_platform():
    """Address of a running platform server."""
    started = process.Process.start_standin('platform_server')
    yield started.address('http')
    started.stop()


def run(*argv: str) -> subprocess.CompletedProcess:
    """Runs a command until it exits."""
    return subprocess.run([sys.executable, '-m', 'figdrum', *argv],
                          cwd=ROOT,
                          capture_output=True,
                          text=True,
                          timeout=DEADLINE_S,
                          check=False)


def test_change_is_approved_on_a_real_platform(platform, tmp_path):
    """Guards against commands that work only with an in-memory store."""
    config = tmp_path / 'op.ini'
    config.write_text(f'[platform]\nurl = http://{platform}\n', 'utf-8')
    sample = str(ROOT / 'samples' / 'al-sahil' / 'contract-fitters.json')

    def run_as(who, *argv):
        done = run(*argv, '-c', str(config), '--operator', who)
        assert done.returncode == 0, done.stderr
        return done.stdout

    first = run_as('salma', 'contract', 'propose', sample).split('\n')[0]
    refused = run('contract', 'approve', first, '-c', str(config), '--operator',
                  'salma')
    assert refused.returncode == remedies.ExitCode.REFUSED
    assert 'change 1 ' in run_as('khalid', 'contract', 'approve', first)
    assert 'change 1, 1 in force' in run_as('khalid', 'status')


def test_balancer_runs_is_asked_and_stops(platform, tmp_path):
    """Guards against a balancer process that changes its process id, loses
    its exit code, or does not reply to `status`."""
    config = tmp_path / 'lb.ini'
    config.write_text(BALANCER.format(port=0, platform=platform), 'utf-8')
    with subprocess.Popen(
        [sys.executable, '-m', 'figdrum', 'balancer', '-c',
         str(config)],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True) as balancer:
        first = json.loads(balancer.stderr.readline())
        assert (first['process'], first['part']) == ('lb-1', 'balancer')
        control = re.search(r'control (\S+:\d+)', first['message'])[1]
        done = run('status', '--node', control)
        os.kill(balancer.pid, signal.SIGTERM)
        assert balancer.wait(DEADLINE_S) == 0
        balancer.stderr.read()
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith('balancer  lb-1  muscat-a  change 0')


def test_balancer_with_a_port_in_use_is_refused(platform, tmp_path):
    """Guards against a startup error that ends with exit code 0."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
        config = tmp_path / 'lb.ini'
        config.write_text(BALANCER.format(port=port, platform=platform),
                          'utf-8')
        done = run('balancer', '-c', str(config))
    assert done.returncode == remedies.ExitCode.FAULT
    assert 'FD300' in done.stderr and 'control_port' in done.stderr
