"""Parses a caller's request from a CoAP message.

Explanation
===========

Path and query are forwarded to the target unchanged, except for the query
parameters `key` and `deadline_ms`, which are for the agent. A message that is
invalid or needs an unsupported feature raises `BadRequest` with the CoAP code
of the response.

Examples
========

>>> message = aiocoap.Message(code=aiocoap.POST, uri_path=('visits', 'a/b'),
...                           uri_query=('key=k1', 'x=1 2', 'deadline_ms=900'))
>>> parse_request(message)._replace(raw=b'')
Request(method='POST', path='/visits/a%2Fb?x=1%202', body=b'', key='k1', \
deadline_ms=900, observe=None, block=None, etag=None, raw=b'')

References
==========

RFC 7252, sections 5.4.1, 5.10 and 6.5.
"""

import typing
import urllib.parse

import aiocoap
from aiocoap import error
from aiocoap import numbers
from aiocoap import optiontypes

from figdrum.core import ids
from figdrum.core import limits

# A later response could reach a caller that has reused the message id.
MAX_DEADLINE_MS = 120_000
MAX_KEY_LENGTH = 128
OBSERVE_REGISTER = 0
OBSERVE_CANCEL = 1
_METHODS = {
    aiocoap.GET: 'GET',
    aiocoap.POST: 'POST',
    aiocoap.PUT: 'PUT',
    aiocoap.DELETE: 'DELETE',
}
_OPTION = numbers.OptionNumber
_KNOWN_CRITICAL = frozenset({
    _OPTION.URI_HOST, _OPTION.URI_PORT, _OPTION.URI_PATH, _OPTION.URI_QUERY,
    _OPTION.ACCEPT, _OPTION.BLOCK2
})
# Characters that RFC 3986 allows unescaped in a path segment and a query.
_SEGMENT_SAFE = "-._~!$&'()*+,;=:@"
_QUERY_SAFE = "-._~!$'()*+,;=:@/?"


class BadRequest(Exception):
    """A request that is answered with an error code.

    Attributes:
      code: CoAP response code.
      reason: Diagnostic payload of the response.
    """

    def __init__(self, code: int, reason: str):
        super().__init__(reason)
        self.code = code
        self.reason = reason


class Block(typing.NamedTuple):
    """Value of the Block2 option of a request; a block has 16 << `exponent`
    bytes."""
    number: int
    exponent: int


class Request(typing.NamedTuple):
    """A caller's request.

    Attributes:
      method: HTTP method.
      path: Path with query for the target.
      body: Request body.
      key: Idempotency key, or the empty string.
      deadline_ms: Time left for the response.
      observe: Value of the Observe option, or None.
      block: Requested block, or None.
      etag: ETag of the requested version of the response, or None.
      raw: The message as received, kept to hand over an observation.
    """
    method: str
    path: str
    body: bytes
    key: ids.IdempotencyKey
    deadline_ms: int
    observe: int | None
    block: Block | None
    etag: bytes | None
    raw: bytes


def decode(data: bytes) -> aiocoap.Message | None:
    """Returns the CoAP message in `data`, or None if it is malformed."""
    try:
        return aiocoap.Message.decode(data)
    except (error.Error, ValueError, KeyError, IndexError):
        return None


def parse_request(
        message: aiocoap.Message,
        raw: bytes = b'',
        default_deadline_ms: int = limits.DEFAULT_DEADLINE_MS) -> Request:
    """Returns the request in `message`.

    Args:
      message: The message.
      raw: Its bytes.
      default_deadline_ms: Deadline of a request without the parameter
        `deadline_ms`.

    Raises:
      BadRequest: if the message is invalid or needs an unsupported feature.
    """
    method = _METHODS.get(message.code)
    if method is None:
        raise BadRequest(aiocoap.METHOD_NOT_ALLOWED, 'method')
    _check_options(message)
    key, deadline_ms, query = _parse_query(message.opt.uri_query,
                                           default_deadline_ms)
    path = _build_path(message.opt.uri_path)
    return Request(method, f'{path}?{query}' if query else path,
                   bytes(message.payload), key, deadline_ms,
                   message.opt.observe, _parse_block(message), message.opt.etag,
                   raw)


def _check_options(message: aiocoap.Message) -> None:
    for option in message.opt.option_list():
        number = option.number
        if number in (_OPTION.PROXY_URI, _OPTION.PROXY_SCHEME):
            raise BadRequest(aiocoap.PROXYING_NOT_SUPPORTED, 'proxy')
        if number.is_critical() and number not in _KNOWN_CRITICAL:
            raise BadRequest(aiocoap.BAD_OPTION, f'option {int(number)}')
        if isinstance(option, optiontypes.StringOption):
            _check_text(option.value)


def _check_text(text: str) -> None:
    if any(ord(char) < 32 or ord(char) == 127 for char in text):
        raise BadRequest(aiocoap.BAD_REQUEST, 'control character')


def _build_path(segments: tuple[str, ...]) -> str:
    if any(segment in ('.', '..') for segment in segments):
        raise BadRequest(aiocoap.BAD_REQUEST, 'path segment')
    return '/' + '/'.join(
        urllib.parse.quote(segment, safe=_SEGMENT_SAFE) for segment in segments)


def _parse_query(parameters: tuple[str, ...],
                 deadline_ms: int) -> tuple[ids.IdempotencyKey, int, str]:
    key, forwarded = '', []
    for parameter in parameters:
        name, _, value = parameter.partition('=')
        if name == 'key':
            key = value
        elif name == 'deadline_ms':
            deadline_ms = _parse_deadline(value)
        else:
            forwarded.append(urllib.parse.quote(parameter, safe=_QUERY_SAFE))
    if len(key) > MAX_KEY_LENGTH or not key.isascii():
        raise BadRequest(aiocoap.BAD_REQUEST, 'key')
    return ids.IdempotencyKey(key), deadline_ms, '&'.join(forwarded)


def _parse_deadline(value: str) -> int:
    if not value.isascii() or not value.isdigit() or len(value) > 9:
        raise BadRequest(aiocoap.BAD_REQUEST, 'deadline_ms')
    return min(int(value), MAX_DEADLINE_MS)


def _parse_block(message: aiocoap.Message) -> Block | None:
    value = message.opt.block2
    if value is None:
        return None
    if value.size_exponent > 6:
        raise BadRequest(aiocoap.BAD_REQUEST, 'block size')
    return Block(value.block_number, value.size_exponent)
