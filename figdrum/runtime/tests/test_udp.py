"""Errors that the kernel reports on UDP sockets."""

import errno
import socket

import pytest

from figdrum.core import clock
from figdrum.runtime import loop as loop_module
from figdrum.runtime import udp

HOST = '127.0.0.1'


class _FailingSocket:
    """A socket whose reads fail as the kernel reports an ICMP error."""

    def __init__(self, *errors: int):
        self._errors = list(errors)

    def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
        """Raises the next error; there is never a datagram."""
        del size
        raise OSError(self._errors.pop(0) if self._errors else errno.EAGAIN, '')

    def recv(self, size: int) -> bytes:
        """Raises the next error; there is never a datagram."""
        self.recvfrom(size)
        return b''


@pytest.fixture(name='loop')
def _loop() -> loop_module.Loop:
    return loop_module.Loop(clock.SystemClock())


# An error of an earlier datagram must not end the process.
@pytest.mark.parametrize('number', (errno.EHOSTUNREACH, errno.ENETUNREACH))
def test_socket_survives_an_error_of_an_earlier_datagram(
        loop, number, monkeypatch):
    sock = udp.UdpSocket(loop, (HOST, 0), lambda *_: None)
    monkeypatch.setattr(sock, '_sock', _FailingSocket(number))
    sock._read()  # pylint: disable=protected-access
    assert sock.failed_read_count == 1


# Only a refused datagram shows that no process has a socket at the address.
@pytest.mark.parametrize('number, is_refused', ((errno.EHOSTUNREACH, False),
                                                (errno.ECONNREFUSED, True)))
def test_only_a_refused_datagram_counts_as_refused(loop, number, is_refused,
                                                   monkeypatch):
    refused = []
    sock = udp.ConnectedUdpSocket(loop, HOST, (HOST, 9),
                                  lambda: refused.append(True))
    monkeypatch.setattr(sock, '_sock', _FailingSocket(number))
    sock._read()  # pylint: disable=protected-access
    assert bool(refused) == is_refused


def test_datagram_to_a_port_without_a_socket_is_refused(loop):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((HOST, 0))
        address = probe.getsockname()
    refused = []

    def on_refused() -> None:
        refused.append(True)
        loop.stop()

    sock = udp.ConnectedUdpSocket(loop, HOST, address, on_refused)
    sock.send(b'x')
    loop.call_later(10_000, loop.stop)
    loop.run()
    assert refused
