"""Checks that an answer belongs to its request and is whole."""

import json
import typing
import urllib.parse

import aiocoap

from figdrum.core import states
from standins import report
from standins import request_record

_DEFAULT_MAX_AGE_S = 60


def settle(record: request_record.RequestRecord, code: aiocoap.Code,
           payload: bytes, max_age_s: int | None) -> None:
    """Writes what an answer means into `record`."""
    record.code = code.dotted
    if code.is_successful():
        _settle_answer(record, payload)
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


def _settle_answer(record: request_record.RequestRecord,
                   payload: bytes) -> None:
    if record.call.kind is request_record.Kind.DOWNLOAD:
        name = record.call.path.removeprefix('/report/')
        if payload != report.body(name, record.call.size):
            record.detail = f'{len(payload)} bytes of other content'
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
        return f'no echo: {exc!r}'
    call = record.call
    wanted = (call.path, [call.nonce], call.key, record.service)
    return '' if found == wanted else f'found {found}, wanted {wanted}'
