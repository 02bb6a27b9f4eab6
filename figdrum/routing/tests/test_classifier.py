"""Tests of the CoAP classifier."""

import hypothesis
from hypothesis import strategies
import pytest

from figdrum.core import errors
from figdrum.routing import classifier


@hypothesis.given(strategies.binary(max_size=40))
def test_random_bytes_raise_only_message_errors(payload):
    """Guards against a caller's datagram that crashes the balancer."""
    try:
        classifier.CoapClassifier().can_start_flow(payload)
    except errors.MessageError:
        pass


@pytest.mark.parametrize('payload', [
    b'', b'\x40', b'\x40\x01\x00', b'\x00\x01\x00\x01', b'\x80\x01\x00\x01',
    b'\xc0\x01\x00\x01'
])
def test_other_protocols_are_refused(payload):
    """Guards against datagrams of another protocol that start flows."""
    with pytest.raises(errors.MessageError):
        classifier.CoapClassifier().can_start_flow(payload)


@pytest.mark.parametrize('code, expected', [(0x00, False), (0x01, True),
                                            (0x1f, True), (0x20, False),
                                            (0x45, False), (0xa0, False)])
def test_only_requests_can_start_flows(code, expected):
    """Guards against a flow started by a late acknowledgement or response."""
    payload = bytes((0x40, code, 0, 1))
    assert classifier.CoapClassifier().can_start_flow(payload) is expected
