"""Builds and reads CoAP messages with aiocoap's codec.

Examples
========

>>> msg = read(empty(aiocoap.ACK, 7))
>>> msg.mid, msg.code.dotted
(7, '0.00')
>>> read(b'\\0') is None
True
"""

import aiocoap
from aiocoap import error

from standins import request_record


def read(datagram: bytes) -> aiocoap.Message | None:
    """Returns the message in `datagram`, or None when it is not valid."""
    try:
        return aiocoap.Message.decode(datagram)
    except (error.Error, ValueError, IndexError):
        return None


def empty(mtype: aiocoap.Type, mid: int) -> bytes:
    """Returns an empty acknowledgement or reset for message `mid`."""
    msg = aiocoap.Message(code=aiocoap.EMPTY)
    msg.mtype = mtype
    msg.mid = mid
    return msg.encode()


def request(call: request_record.Call, mid: int, token: bytes) -> \
        aiocoap.Message:
    """Returns the confirmable message that begins `call`."""
    is_post = call.kind is request_record.Kind.POST
    msg = aiocoap.Message(code=aiocoap.POST if is_post else aiocoap.GET)
    msg.mtype = aiocoap.CON
    msg.mid = mid
    msg.token = token
    msg.opt.uri_path = tuple(call.path.strip('/').split('/'))
    query = [f'n={call.nonce}']
    if call.key:
        query.append(f'key={call.key}')
    if call.deadline_ms:
        query.append(f'deadline_ms={call.deadline_ms}')
    if call.size:
        query.append(f'size={call.size}')
    msg.opt.uri_query = tuple(query)
    if is_post:
        msg.payload = call.nonce.encode()
    if call.kind is request_record.Kind.OBSERVE:
        msg.opt.observe = 0
    return msg
