"""Checks of decoded fields, for bytes that another process may have written.

Explanation
===========

Each function returns its value if it has the right type and range, and raises
`MalformedError` otherwise. Decoders call them once, where the bytes enter, so
that all other code can rely on the types.

Examples
========

>>> integer(7, 0, 10), text('booking'), address('10.0.0.1', 7000)
(7, 'booking', ('10.0.0.1', 7000))
>>> integer(True, 0, 10)
Traceback (most recent call last):
...
figdrum.core.checks.MalformedError: not an integer from 0 to 10: bool
"""

import math
import socket
import typing

from figdrum.core import ids

# Largest number of characters of a name. Names of the users' platform have a
# few dozen.
MAX_NAME_LENGTH = 256

MAX_INT32 = (1 << 31) - 1
MAX_UINT32 = (1 << 32) - 1
# Later messages and stored values carry these numbers in 64 bits.
MAX_INT64 = (1 << 63) - 1

MAX_PORT = 65_535

# Characters of an odd value that a log line or an error has at most.
MAX_SHOWN_LENGTH = 80


class MalformedError(ValueError):
    """A field has the wrong type or is out of range."""


def show(value: object) -> str:
    """Returns a short printable form of a name for logs.

    >>> show('a' * 100) == 'a' * 80
    True
    >>> show('a\\ud800b')
    'a\\\\ud800b'
    """
    return str(value)[:MAX_SHOWN_LENGTH].encode('ascii',
                                                'backslashreplace').decode()


def _fail(expected: str, value: object) -> MalformedError:
    # Only the type is named: the value may be nested deeply or very long.
    return MalformedError(f'not {expected}: {type(value).__name__}')


def integer(value: object, low: int, high: int) -> int:
    """Returns an integer from `low` to `high`; a bool is none."""
    if (isinstance(value, bool) or not isinstance(value, int) or
            not low <= value <= high):
        raise _fail(f'an integer from {low} to {high}', value)
    return value


def number(value: object, low: float, high: float) -> float:
    """Returns a finite number from `low` to `high` as a float."""
    if (isinstance(value, bool) or not isinstance(value, int | float) or
            not low <= value <= high or not math.isfinite(value)):
        raise _fail(f'a number from {low} to {high}', value)
    return float(value)


def boolean(value: object) -> bool:
    """Returns a bool."""
    if not isinstance(value, bool):
        raise _fail('a bool', value)
    return value


def text(value: object, max_length: int = MAX_NAME_LENGTH) -> str:
    """Returns a string that can be encoded and is not too long."""
    if not isinstance(value, str) or len(value) > max_length:
        raise _fail(f'a string of up to {max_length} characters', value)
    if not value.isascii():
        # A lone surrogate is a valid character in JSON, but has no encoding.
        try:
            value.encode()
        except UnicodeEncodeError:
            raise _fail('a string that can be encoded', value) from None
    return value


def name(value: object, max_length: int = MAX_NAME_LENGTH) -> str:
    """Returns a string that is not empty."""
    if value == '':
        raise _fail('a name', value)
    return text(value, max_length)


def octets(value: object, low: int, high: int) -> bytes:
    """Returns bytes with a length from `low` to `high`."""
    if not isinstance(value, bytes) or not low <= len(value) <= high:
        raise _fail(f'{low} to {high} bytes', value)
    return value


def sequence(value: object) -> typing.Sequence[typing.Any]:
    """Returns a list or tuple."""
    if not isinstance(value, list | tuple):
        raise _fail('a list', value)
    return value


def mapping(value: object) -> dict[typing.Any, typing.Any]:
    """Returns a dict."""
    if not isinstance(value, dict):
        raise _fail('an object', value)
    return value


def address(host: object, port: object) -> ids.Address:
    """Returns the address of a socket from an IPv4 address and a port."""
    checked_host = text(host)
    try:
        canonical = socket.inet_ntop(
            socket.AF_INET, socket.inet_pton(socket.AF_INET, checked_host))
    except (OSError, ValueError):
        raise _fail('an IPv4 address', host) from None
    return canonical, integer(port, 1, MAX_PORT)
