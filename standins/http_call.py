"""Blocking HTTP calls with JSON to stand-ins on loopback."""

import json
import typing
import urllib.error
import urllib.request

_TIMEOUT_S = 10


def get(address: str, path: str) -> typing.Any:
    """Returns the JSON answer to a GET.

    Raises:
      OSError: if the server does not answer or answers with an error.
    """
    with urllib.request.urlopen(f'http://{address}{path}',
                                timeout=_TIMEOUT_S) as answer:
        return json.load(answer)


def send(address: str,
         path: str,
         body: typing.Any,
         method: str = 'POST') -> typing.Any:
    """Returns the JSON answer to a request with a JSON body; see `get`."""
    req = urllib.request.Request(f'http://{address}{path}',
                                 json.dumps(body).encode(),
                                 method=method)
    with urllib.request.urlopen(req, timeout=_TIMEOUT_S) as answer:
        return json.load(answer)


def status(address: str,
           path: str,
           method: str = 'GET',
           body: bytes | None = None,
           headers: dict[str, str] | None = None) -> int:
    """Returns the HTTP status of a request, including error statuses."""
    req = urllib.request.Request(f'http://{address}{path}',
                                 body,
                                 headers or {},
                                 method=method)
    try:
        with urllib.request.urlopen(req, timeout=_TIMEOUT_S) as answer:
            return answer.status
    except urllib.error.HTTPError as exc:
        return exc.code
