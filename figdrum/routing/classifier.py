"""Tells which datagrams may start a flow.

Explanation
===========

The balancer reads as little of the callers' protocol as it can. A classifier
is the only place that knows which protocol it is.

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
    """Reads the part of a datagram that routing needs."""

    @abc.abstractmethod
    def can_start_flow(self, payload: bytes) -> bool:
        """Returns True if the datagram may start a flow.

        Raises:
            errors.MessageError: if it is not of the callers' protocol.
        """


class CoapClassifier(PacketClassifier):
    """Reads CoAP's version and code; a request may start a flow."""

    def can_start_flow(self, payload: bytes) -> bool:
        if len(payload) < _COAP_HEADER_BYTES:
            raise errors.MessageError('classify packet', 'caller',
                                      f'{len(payload)} bytes are no message')
        if payload[0] >> _COAP_VERSION_SHIFT != _COAP_VERSION:
            raise errors.MessageError(
                'classify packet', 'caller',
                f'CoAP version {payload[0] >> _COAP_VERSION_SHIFT}')
        return _COAP_FIRST_REQUEST <= payload[1] <= _COAP_LAST_REQUEST
