"""Classifies callers' datagrams by whether they can start a flow.

Explanation
===========

A balancer depends on the callers' protocol only through a classifier. All
other parts of the balancer treat a caller's datagram as opaque bytes.

Examples
========

>>> get = b'\\x40\\x01\\x00\\x07'
>>> acknowledgement = b'\\x60\\x00\\x00\\x07'
>>> CoapClassifier().can_start_flow(get)
True
>>> CoapClassifier().can_start_flow(acknowledgement)
False

References
==========

RFC 7252, sections 3 (message format) and 12.1 (codes).
"""

import abc

from figdrum.core import errors

_COAP_HEADER_BYTES = 4
_COAP_VERSION = 1
_COAP_VERSION_SHIFT = 6
# Codes 0.01 to 0.31 are requests; 0.00 is the empty message.
_COAP_FIRST_REQUEST = 0x01
_COAP_LAST_REQUEST = 0x1f


class PacketClassifier(abc.ABC):
    """Decides whether a caller's datagram can start a flow."""

    @abc.abstractmethod
    def can_start_flow(self, payload: bytes) -> bool:
        """Returns True if the datagram can start a flow.

        Raises:
            errors.MessageError: if it is not a datagram of the callers'
                protocol.
        """


class CoapClassifier(PacketClassifier):
    """Checks the version and code of a CoAP header; only requests start flows.
    """

    def can_start_flow(self, payload: bytes) -> bool:
        if len(payload) < _COAP_HEADER_BYTES:
            raise errors.MessageError(
                'classify packet', 'caller',
                f'{len(payload)} bytes are less than a CoAP header')
        if payload[0] >> _COAP_VERSION_SHIFT != _COAP_VERSION:
            raise errors.MessageError(
                'classify packet', 'caller',
                f'unsupported CoAP version {payload[0] >> _COAP_VERSION_SHIFT}')
        return _COAP_FIRST_REQUEST <= payload[1] <= _COAP_LAST_REQUEST
