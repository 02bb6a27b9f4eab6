"""Tests of the PROXY protocol header."""

import hypothesis
from hypothesis import strategies
import pytest

from figdrum.balancer import proxy_header
from figdrum.core import errors

_PORT = strategies.integers(0, 65535)
_HOST = strategies.ip_addresses(v=4).map(str)
_ADDRESS = strategies.tuples(_HOST, _PORT)


@hypothesis.given(_ADDRESS, _ADDRESS, strategies.binary(max_size=64))
def test_round_trip(src, dst, payload):
    """Guards against addresses swapped or payload bytes lost in the header."""
    datagram = proxy_header.pack(src, dst, payload)
    assert proxy_header.unpack(datagram) == (src, dst, payload)


@hypothesis.given(strategies.binary(max_size=64), strategies.integers(0, 40))
def test_bad_input_raises_message_errors_only(noise, cut):
    """Guards against an invalid datagram that stops the balancer."""
    whole = proxy_header.pack(('10.0.0.1', 1), ('10.0.0.2', 2), b'x')
    for data in (noise, whole[:cut] + noise):
        try:
            proxy_header.unpack(data)
        except (errors.MessageError, errors.VersionError):
            pass


@pytest.mark.parametrize('at, value', [(12, 0x20), (13, 0x11), (13, 0x22)])
def test_other_kinds_are_refused(at, value):
    """Guards against a TCP, IPv6 or LOCAL header read as UDP over IPv4."""
    data = bytearray(proxy_header.pack(('10.0.0.1', 1), ('10.0.0.2', 2),
                                       b'abc'))
    data[at] = value
    with pytest.raises(errors.MessageError):
        proxy_header.unpack(bytes(data))


def test_other_version_is_named():
    """Guards against a version 1 header reported as an invalid one."""
    data = bytearray(proxy_header.pack(('10.0.0.1', 1), ('10.0.0.2', 2), b''))
    data[12] = 0x11
    with pytest.raises(errors.VersionError):
        proxy_header.unpack(bytes(data))


def test_extensions_are_skipped():
    """Guards against extension bytes delivered as part of the payload."""
    data = bytearray(proxy_header.pack(('10.0.0.1', 1), ('10.0.0.2', 2), b''))
    data[15] += 3
    assert proxy_header.unpack(bytes(data) + b'tlvrest').payload == b'rest'


def test_bad_address_is_a_message_error():
    """Guards against an untyped error for a host name as address."""
    with pytest.raises(errors.MessageError):
        proxy_header.pack(('localhost', 1), ('10.0.0.2', 2), b'')
