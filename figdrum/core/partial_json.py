"""Decodes what is readable of a JSON text.

Explanation
===========

The `json` module gives up a whole text for one value that it cannot decode: one
that is nested too deeply, a number with too many digits, or bytes that are not
UTF-8. Here, such a value costs only itself. Where the module fails, the upper
levels are read value by value, and an unreadable one is passed over.

Examples
========

>>> deep = b'[' * 2000 + b']' * 2000
>>> text = b'[{"name": "a"}, {"name": "b", "value": ' + deep + b'}]'
>>> loads(text, levels=2)
[{'name': 'a'}, {'name': 'b'}]
>>> loads(text, levels=1)
[{'name': 'a'}, None]
>>> loads(b'[1, ' + b'9' * 5000 + b', 2]', levels=1)
[1, None, 2]

References
==========

RFC 8259, The JavaScript Object Notation (JSON) Data Interchange Format.
"""

import json
import re
import typing

_DECODER = json.JSONDecoder()
_SPACE = re.compile(r'[ \t\n\r]*')
# A string, or what separates values. Adjacent brackets are one token.
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|,', re.DOTALL)


def loads(data: bytes, levels: int) -> typing.Any:
    """Decodes a JSON text as far as it can be read.

    An unreadable member of an object is left out, and an unreadable element of
    an array is None. Bytes that are not UTF-8 become lone surrogates.

    Args:
      data: The text.
      levels: Levels of objects and arrays that are read value by value if they
        cannot be decoded as a whole. Below them, all or nothing is read.

    Raises:
      ValueError: if the text has no such structure.
    """
    text = data.decode(errors='surrogateescape')
    value, end = _read(text, _skip_space(text, 0), levels)
    if _skip_space(text, end) != len(text):
        raise ValueError('unreadable JSON: text after its end')
    return value


def _read(text: str, start: int, levels: int) -> tuple[typing.Any, int]:
    """Returns the value at a position, and where it ends."""
    try:
        return _DECODER.raw_decode(text, start)
    except (ValueError, RecursionError) as exc:
        bracket = text[start:start + 1]
        if not levels or bracket not in ('[', '{'):
            raise ValueError(f'unreadable JSON: {type(exc).__name__}') from None
    if bracket == '[':
        return _read_array(text, start, levels)
    return _read_object(text, start, levels)


def _read_array(text: str, start: int, levels: int) -> tuple[list, int]:
    values: list[typing.Any] = []
    position = start
    # The first turn passes the opening bracket, the others a comma.
    while position == start or text[position:position + 1] == ',':
        position = _skip_space(text, position + 1)
        value, position = _read_or_skip(text, position, levels - 1)
        values.append(value)
        position = _skip_space(text, position)
    return values, _end(text, position, ']')


def _read_object(text: str, start: int, levels: int) -> tuple[dict, int]:
    members: dict[str, typing.Any] = {}
    position = start
    while position == start or text[position:position + 1] == ',':
        position = _skip_space(text, position + 1)
        name, position = _read(text, position, 0)
        if not isinstance(name, str):
            raise ValueError('unreadable JSON: a name that is no string')
        position = _end(text, _skip_space(text, position), ':')
        position = _skip_space(text, position)
        value, position = _read_or_skip(text, position, levels - 1)
        # A null is left out as well; no reader tells it from no member.
        if value is not None:
            members[name] = value
        position = _skip_space(text, position)
    return members, _end(text, position, '}')


def _read_or_skip(text: str, start: int, levels: int) -> tuple[typing.Any, int]:
    try:
        return _read(text, start, levels)
    except ValueError:
        return None, _skip_value(text, start)


def _skip_value(text: str, start: int) -> int:
    """Returns where a value ends that cannot be decoded."""
    depth = 0
    for token in _TOKEN.finditer(text, start):
        first = token[0][0]
        if first in '[{':
            depth += len(token[0])
        elif first in ']}':
            if len(token[0]) >= depth:
                return token.start() + depth
            depth -= len(token[0])
        elif first == ',' and not depth:
            return token.start()
    raise ValueError('unreadable JSON: it has no end')


def _skip_space(text: str, start: int) -> int:
    match = _SPACE.match(text, start)
    return match.end() if match else start


def _end(text: str, position: int, expected: str) -> int:
    """Returns the position after an expected character."""
    if text[position:position + 1] != expected:
        raise ValueError(f'unreadable JSON: no {expected}')
    return position + 1
