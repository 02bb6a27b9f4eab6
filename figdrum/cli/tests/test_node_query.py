"""Tests of queries to a running balancer."""

import socket
import subprocess
import sys
import threading

import msgpack
import pytest

import figdrum
from figdrum.cli import remedies
from figdrum.messages import codec
from figdrum.messages import control

DEADLINE_S = 120
DIGEST = control.Digest('b1', 'muscat-a', '127.0.0.1', 7003, 90, 1500, False, 7)


def serve(reply: bytes) -> tuple[str, list, threading.Thread]:
    """Accepts one connection and replies with `reply`.

    Returns:
      The address, a list that receives the messages, and the server thread.
    """
    listener = socket.create_server(('127.0.0.1', 0))
    listener.settimeout(DEADLINE_S)
    received: list = []

    def run():
        with listener, listener.accept()[0] as conn:
            conn.settimeout(DEADLINE_S)
            unpacker = msgpack.Unpacker(use_list=False)
            while not received:
                unpacker.feed(conn.recv(4_096))
                received.extend(codec.from_object(obj) for obj in unpacker)
            conn.sendall(reply)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return f'127.0.0.1:{listener.getsockname()[1]}', received, thread


def run_status(address: str) -> subprocess.CompletedProcess:
    """Runs `figdrum status --node`."""
    return subprocess.run(
        [sys.executable, '-m', 'figdrum', 'status', '--node', address],
        cwd=figdrum.__path__[0] + '/..',
        capture_output=True,
        text=True,
        timeout=DEADLINE_S,
        check=False)


def test_a_balancer_is_asked_without_the_platform():
    """Guards against a query that fails while the platform is down."""
    address, received, thread = serve(codec.encode(DIGEST))
    done = run_status(address)
    thread.join(DEADLINE_S)
    assert done.returncode == 0, done.stderr
    assert done.stdout == ('balancer  b1  muscat-a  change 7  revision 90  '
                           'confirmed 1.5 s ago  platform down\n')
    assert isinstance(received[0], control.Pull)


@pytest.mark.parametrize('reply,code', [(b'', 'FD500'), (b'\xc1', 'FD101')])
def test_bad_answer_is_an_error_with_a_code(reply, code):
    """Guards against a traceback or a hang when the reply is damaged."""
    address, _, thread = serve(reply)
    done = run_status(address)
    thread.join(DEADLINE_S)
    assert done.returncode == remedies.ExitCode.FAULT
    assert code in done.stderr and 'Traceback' not in done.stderr


def test_no_balancer_is_an_error_with_a_code():
    """Guards against a traceback when the balancer is down."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
    done = run_status(address)
    assert done.returncode == remedies.ExitCode.FAULT
    assert 'FD500' in done.stderr
