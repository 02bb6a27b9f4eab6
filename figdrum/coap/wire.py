"""Encodes the messages that the CoAP server sends.

Examples
========

>>> aiocoap.Message.decode(encode_empty(aiocoap.ACK, 7)).mid
7

References
==========

RFC 7252, section 3; RFC 7641, section 2; RFC 7959, section 2.
"""

import aiocoap
from aiocoap import optiontypes

from figdrum.coap import blocks


def encode_empty(mtype: aiocoap.Type, mid: int) -> bytes:
    """Returns an empty message: an acknowledgement or a reset."""
    return aiocoap.Message(code=aiocoap.EMPTY,
                           _mtype=mtype,
                           _mid=mid,
                           _token=b'').encode()


def encode_response(mtype: aiocoap.Type, mid: int, token: bytes,
                    stored: blocks.StoredResponse,
                    block_payload: blocks.BlockPayload,
                    observe: int | None) -> bytes:
    """Returns a message with a response or one block of it.

    Args:
      mtype: Message type.
      mid: Message id.
      token: Token of the request.
      stored: The whole response.
      block_payload: Part of its payload to send.
      observe: Value of the Observe option, or None to omit it.
    """
    message = aiocoap.Message(code=aiocoap.Code(stored.response.code),
                              _mtype=mtype,
                              _mid=mid,
                              _token=token,
                              payload=block_payload.payload)
    if block_payload.block is not None:
        message.opt.block2 = optiontypes.BlockOption.BlockwiseTuple(
            block_payload.block.number, block_payload.more,
            block_payload.block.exponent)
        message.opt.etag = stored.etag
    if observe is not None:
        message.opt.observe = observe
    if stored.response.max_age_s is not None:
        message.opt.max_age = stored.response.max_age_s
    return message.encode()
