"""Checks that an answer belongs to its request and is complete."""

import json
import typing
import urllib.parse

import aiocoap

from figdrum.core import states
from standins import report
from standins import request_record

_DEFAULT_MAX_AGE_S = 60


def record_answer(record: request_record.RequestRecord, code: aiocoap.Code,
                  payload: bytes, max_age_s: int | None) -> None:
    """Sets the outcome of an answer in `record`.

    A refusal without Max-Age gets the CoAP default of 60 s.
    """
    record.code = code.dotted
    if code.is_successful():
        _check_content(record, payload)
        return
    record.refusal = _refusal(payload)
    if record.refusal is not None:
        record.ending = request_record.Ending.REFUSED
        record.retry_after_s = (_DEFAULT_MAX_AGE_S
                                if max_age_s is None else max_age_s)
    else:
        record.ending = request_record.Ending.LOST
        record.detail = f'{code.dotted} {payload[:80]!r}'


def _refusal(payload: bytes) -> states.Refusal | None:
    try:
        return states.Refusal(payload.decode())
    except ValueError:
        return None


def _check_content(record: request_record.RequestRecord,
                   payload: bytes) -> None:
    if record.call.kind is request_record.Kind.DOWNLOAD:
        name = record.call.path.removeprefix('/report/')
        if payload != report.body(name, record.call.size):
            record.detail = f'{len(payload)} bytes with unexpected content'
    else:
        record.detail = _check_echo(record, payload)
    record.ending = (request_record.Ending.WRONG
                     if record.detail else request_record.Ending.ANSWERED)


def _check_echo(record: request_record.RequestRecord, payload: bytes) -> str:
    try:
        echo: dict[str, typing.Any] = json.loads(payload)
        url = urllib.parse.urlsplit(echo['path'])
        query = urllib.parse.parse_qs(url.query)
        record.target = echo['target']
        record.answered_by = echo['service']
        found = (url.path, query.get('n'), echo['key'], echo['service'])
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        return f'answer does not echo the request: {exc!r}'
    call = record.call
    expected = (call.path, [call.nonce], call.key, record.service)
    return '' if found == expected else f'found {found}, expected {expected}'
