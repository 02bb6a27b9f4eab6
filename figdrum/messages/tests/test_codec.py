"""Tests of the message codec with valid and invalid input."""

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from figdrum.core import errors
from figdrum.core import ids
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.messages import datagram

FLOW = ids.FlowKey('127.0.0.2', 4000, '127.0.1.1', 5683)
PACKET = datagram.Packet(3, 4, 'al-sahil', 'fieldbook', FLOW, True,
                         ('127.0.0.1', 7000), b'\x40\x01', ('a',), ('b',))
SAMPLES = [
    PACKET,
    datagram.Refused('did-not-run', 'a', 2, PACKET),
    datagram.Handover('a', FLOW, 'al-sahil', ('127.0.0.1', 7000), (b'x', b'y'),
                      9),
    control.Delta(1, 2, (control.Entry('lists/a', '{}', 1, 2),), 40),
]


@pytest.mark.parametrize('message', SAMPLES)
def test_round_trip(message):
    """Guards against a field that changes type on the wire."""
    assert codec.decode(codec.encode(message)) == message


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_raise_only_typed_errors(data):
    """Guards against a datagram that crashes the process."""
    try:
        codec.decode(data)
    except (errors.MessageError, errors.VersionError):
        pass


@hypothesis.given(
    strategies.integers(-1, 30),
    strategies.lists(strategies.recursive(
        strategies.none() | strategies.booleans() |
        strategies.integers(-2**63, 2**63) | strategies.text(max_size=4) |
        strategies.binary(max_size=4),
        lambda inner: strategies.lists(inner, max_size=5),
        max_leaves=8),
                     max_size=15))
def test_random_fields_raise_only_typed_errors(code, fields):
    """Guards against a valid array with invalid fields that crashes the
    process."""
    data = msgpack.packb([codec.FORMAT_VERSION, code] + fields)
    try:
        codec.decode(data)
    except (errors.MessageError, errors.VersionError):
        pass


@pytest.mark.parametrize('version', [0, 2, 'x', None])
def test_other_version_is_refused(version):
    """Guards against decoding a message of another format version."""
    with pytest.raises(errors.VersionError):
        codec.decode(msgpack.packb([version, 2, 1]))


def test_truncated_message_is_refused():
    """Guards against a truncated datagram that decodes as a shorter message."""
    data = codec.encode(PACKET)
    for size in range(len(data)):
        with pytest.raises((errors.MessageError, errors.VersionError)):
            codec.decode(data[:size])
