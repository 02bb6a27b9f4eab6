"""Maps HTTP statuses and refusals to CoAP responses.

Examples
========

>>> [code_from_http_status(*pair)
...  for pair in (('GET', 200), ('POST', 200), ('GET', 418))]
[69, 68, 128]
>>> refusal(states.Refusal.DID_NOT_RUN, 2)
Response(code=163, payload=b'did-not-run', max_age_s=2)

References
==========

RFC 7252, section 5.9; RFC 8075, section 7.
"""

import typing

import aiocoap

from figdrum.core import states

DEFAULT_RETRY_S = 1
_STATUSES = {
    201: aiocoap.CREATED,
    400: aiocoap.BAD_REQUEST,
    401: aiocoap.UNAUTHORIZED,
    403: aiocoap.FORBIDDEN,
    404: aiocoap.NOT_FOUND,
    405: aiocoap.METHOD_NOT_ALLOWED,
    406: aiocoap.NOT_ACCEPTABLE,
    409: aiocoap.CONFLICT,
    412: aiocoap.PRECONDITION_FAILED,
    413: aiocoap.REQUEST_ENTITY_TOO_LARGE,
    415: aiocoap.UNSUPPORTED_CONTENT_FORMAT,
    422: aiocoap.UNPROCESSABLE_ENTITY,
    429: aiocoap.TOO_MANY_REQUESTS,
    501: aiocoap.NOT_IMPLEMENTED,
    502: aiocoap.BAD_GATEWAY,
    503: aiocoap.SERVICE_UNAVAILABLE,
    504: aiocoap.GATEWAY_TIMEOUT,
}
_SUCCESS = {
    'GET': aiocoap.CONTENT,
    'POST': aiocoap.CHANGED,
    'PUT': aiocoap.CHANGED,
    'DELETE': aiocoap.DELETED,
}


class Response(typing.NamedTuple):
    """A CoAP response before it is split into blocks.

    Attributes:
      code: CoAP response code as a number.
      payload: Whole body.
      max_age_s: Value of the Max-Age option in seconds, or None to omit it.
    """
    code: int
    payload: bytes = b''
    max_age_s: int | None = None

    @property
    def is_success(self) -> bool:
        """True for a response code of class 2 (success)."""
        return 64 <= self.code < 96


def code_from_http_status(method: str, status: int) -> int:
    """Returns the CoAP code for an HTTP status."""
    code = _STATUSES.get(status)
    if code is None and 200 <= status < 300:
        code = _SUCCESS.get(method, aiocoap.CHANGED)
    if code is None and 400 <= status < 500:
        code = aiocoap.BAD_REQUEST
    if code is None:
        code = aiocoap.BAD_GATEWAY if status < 400 else (
            aiocoap.INTERNAL_SERVER_ERROR)
    return int(code)


def refusal(verdict: states.Refusal,
            retry_s: int = DEFAULT_RETRY_S) -> Response:
    """Returns the response that refuses a request.

    Args:
      verdict: Outcome of the request, sent as the payload.
      retry_s: Time after which the caller may retry, sent as Max-Age.
    """
    return Response(int(aiocoap.SERVICE_UNAVAILABLE), verdict.value.encode(),
                    retry_s)


def error(code: int, reason: str) -> Response:
    """Returns an error response with a diagnostic payload."""
    return Response(int(code), reason.encode())
