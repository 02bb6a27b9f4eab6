"""Tests of a balancer process with sockets and signals."""

import re
import signal
import socket
import subprocess
import sys
import threading

import pytest

DEADLINE_S = 60

# Nothing listens on port 1, so the balancer runs without the platform.
_SETTINGS = """
[process]
name = lb-1
zone = muscat-a
region = om-north
[platform]
url = http://127.0.0.1:1
[balancer]
packet_host = 127.0.0.1
packet_port = 0
frame_port = 0
control_port = 0
fabric = 127.0.0.1:9
linger_ms = 200
"""


class _Balancer:
    """A balancer process, killed after the deadline."""

    def __init__(self, path):
        path.write_text(_SETTINGS, encoding='utf-8')
        self._process = subprocess.Popen(  # pylint: disable=consider-using-with
            [
                sys.executable, '-m', 'figdrum.cli.serve', 'balancer',
                str(path), ''
            ],
            stderr=subprocess.PIPE,
            text=True)
        self._watchdog = threading.Timer(DEADLINE_S, self._process.kill)
        self._watchdog.start()
        self.log = ''

    def wait_for(self, text):
        """Reads the log up to a line with `text` and returns that line."""
        for line in self._process.stderr:
            self.log += line
            if text in line:
                return line
        raise AssertionError(f'no line with {text!r} in:\n{self.log}')

    def stop(self, number):
        """Sends a signal and returns the exit code."""
        self._process.send_signal(number)
        self.log += self._process.stderr.read()
        code = self._process.wait()
        self._watchdog.cancel()
        self._process.stderr.close()
        return code


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_survives_bad_input_and_exits_0(tmp_path, number):
    """Guards against received bytes that end the process, and against a planned
    stop that looks like a crash."""
    balancer = _Balancer(tmp_path / 'lb.ini')
    line = balancer.wait_for('listening')
    packets, frames, control = (
        (host, int(port))
        for host, port in re.findall(r'(127\.0\.0\.1):(\d+)', line))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for address in (packets, frames):
            for data in (b'', b'\xff' * 60_000, b'\r\n\r\n\0\r\nQUIT\n'):
                sock.sendto(data, address)
    with socket.create_connection(control, DEADLINE_S) as sock:
        sock.sendall(b'\xc1' * 100)
        try:
            assert not sock.recv(1)
        except ConnectionResetError:
            pass
    assert balancer.stop(number) == 0
    assert 'stopped' in balancer.log
    assert 'Traceback' not in balancer.log
