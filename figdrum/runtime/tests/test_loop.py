"""Timers, signals and datagrams of the event loop."""

import os
import signal
import socket
import subprocess
import sys
import time

from figdrum.core import clock
from figdrum.runtime import loop as loop_module
from figdrum.runtime import udp

DEADLINE_MS = 20_000


def test_timers_run_in_order_and_can_be_cancelled():
    loop = loop_module.Loop(clock.SystemClock())
    received = []
    loop.call_later(10, lambda: received.append('second'))
    loop.call_later(1, lambda: received.append('first'))
    loop.call_later(5, lambda: received.append('never')).cancel()
    loop.call_later(20, loop.stop)
    loop.run()
    assert received == ['first', 'second']


def test_signal_is_handled_by_the_loop():
    loop = loop_module.Loop(clock.SystemClock())
    before = signal.getsignal(signal.SIGUSR1)
    try:
        loop.on_signal(signal.SIGUSR1, loop.stop)
        loop.call_later(1, lambda: os.kill(os.getpid(), signal.SIGUSR1))
        deadline = loop.call_later(DEADLINE_MS, lambda: os._exit(1))
        loop.run()
        deadline.cancel()
    finally:
        signal.signal(signal.SIGUSR1, before)


def test_datagrams_arrive_with_the_sender_address():
    loop = loop_module.Loop(clock.SystemClock())
    received = []

    def take(data, address):
        received.append((data, address))
        loop.stop()

    receiver = udp.UdpSocket(loop, ('127.0.0.1', 0), take)
    sender = udp.UdpSocket(loop, ('127.0.0.1', 0), take)
    sender.send(b'hello', receiver.address)
    loop.call_later(DEADLINE_MS, loop.stop)
    loop.run()
    assert received == [(b'hello', sender.address)]
    receiver.close()
    sender.close()


def test_connected_socket_reports_that_nothing_listens():
    loop = loop_module.Loop(clock.SystemClock())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused:
        unused.bind(('127.0.0.1', 0))
        address = unused.getsockname()
    refused = []

    def note():
        refused.append(True)
        loop.stop()

    port = udp.ConnectedUdpSocket(loop, '127.0.0.1', address, note)
    port.send(b'hello')
    loop.call_later(DEADLINE_MS, loop.stop)
    loop.run()
    assert refused


_SIGNAL_PROGRAM = """
import signal
from figdrum.core import clock
from figdrum.runtime import loop as loop_module
loop = loop_module.Loop(clock.SystemClock())
loop.on_signal(signal.SIGTERM, loop.stop)
loop.call_later(0, lambda: print('started', flush=True))
loop.run()
"""


def test_repeated_signals_do_not_change_the_exit_status():
    """At exit, the interpreter restores the default signal handlers.

    A signal that arrives after that would end the process by the signal.
    """
    with subprocess.Popen([sys.executable, '-c', _SIGNAL_PROGRAM],
                          stdout=subprocess.PIPE) as started:
        assert started.stdout.readline()
        while started.poll() is None:
            started.terminate()
            time.sleep(0.0003)
    assert started.returncode == 0
