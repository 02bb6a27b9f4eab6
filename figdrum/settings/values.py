"""Parsers of the values in a settings file.

Explanation
===========

Each parser takes the text after the equals sign and returns a typed value. For
invalid text it raises a ValueError whose message is shown to the operator.

Examples
========

>>> parse_address('10.0.0.1:7000')
('10.0.0.1', 7000)
>>> parse_addresses('10.0.0.1:7000, 10.0.0.2:7000')
(('10.0.0.1', 7000), ('10.0.0.2', 7000))
>>> parse_int('10s')
Traceback (most recent call last):
...
ValueError: expected a whole number without a unit
"""

import ipaddress
import math
import re
import urllib.parse

from figdrum.core import ids

MAX_PORT = 65535
# Names become part of object keys and of metric names.
NAME_PATTERN = re.compile(r'[a-z0-9]+(-[a-z0-9]+)*')
MAX_NAME_LENGTH = 63
PREFIX_PATTERN = re.compile(r'[a-z0-9_]+(\.[a-z0-9_]+)*')


def parse_name(text: str) -> str:
    """Returns the name of a process, service, zone or region."""
    if len(text) > MAX_NAME_LENGTH or not NAME_PATTERN.fullmatch(text):
        raise ValueError('expected lower-case letters, digits and single '
                         f'hyphens between them, at most {MAX_NAME_LENGTH}')
    return text


def parse_optional_name(text: str) -> str:
    """Returns the name, or '' for an empty value."""
    return parse_name(text) if text else ''


def parse_int(text: str) -> int:
    """Returns the non-negative integer in `text`."""
    if not re.fullmatch(r'[0-9]{1,12}', text):
        raise ValueError('expected a whole number without a unit')
    return int(text)


def parse_rate(text: str) -> float:
    """Returns the positive decimal number in `text`."""
    if not re.fullmatch(r'[0-9]{1,9}(\.[0-9]{1,6})?', text):
        raise ValueError('expected a decimal number without a unit')
    value = float(text)
    if not math.isfinite(value) or value <= 0:
        raise ValueError('expected a number above 0')
    return value


def parse_host(text: str) -> str:
    """Returns the IPv4 address in `text` in dotted notation."""
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError as exc:
        raise ValueError('expected an IPv4 address, such as 10.0.0.1') from exc


def parse_address(text: str) -> ids.Address:
    """Returns the address in the form 'host:port', with a port above 0."""
    host, colon, port = text.strip().rpartition(':')
    if not colon or not re.fullmatch(r'[0-9]{1,5}', port):
        raise ValueError(f'expected host:port, found {text.strip()!r}')
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f'port {int(port)} is not within 1 to {MAX_PORT}')
    return parse_host(host), int(port)


def parse_addresses(text: str) -> tuple[ids.Address, ...]:
    """Returns the addresses in a comma-separated list, which may be empty."""
    if not text.strip():
        return ()
    found = tuple(parse_address(part) for part in text.split(','))
    if len(set(found)) < len(found):
        raise ValueError('an address is listed twice')
    return found


def parse_url(text: str) -> str:
    """Returns the URL in the form http://host:port with an IPv4 address."""
    parts = urllib.parse.urlsplit(text)
    if parts.scheme != 'http' or parts.query or parts.fragment:
        raise ValueError('expected http://host:port')
    if parts.path not in ('', '/'):
        raise ValueError('expected http://host:port without a path')
    host, port = parse_address(parts.netloc)
    return f'http://{host}:{port}'


def parse_prefix(text: str) -> str:
    """Returns the prefix of metric names, words that are joined by dots."""
    if not PREFIX_PATTERN.fullmatch(text):
        raise ValueError('expected lower-case words joined by dots')
    return text
