"""Reads the upper levels of a JSON text value by value.

It is needed only for texts that the `json` module cannot decode, so it is
imported when the first one comes: its patterns take 7 ms at a start.
"""

import json
import re
import typing

_DECODER = json.JSONDecoder()
_SPACE = re.compile(r'[ \t\n\r]*')
# A string, or what separates values. Adjacent brackets are one token.
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|,', re.DOTALL)


def read(text: str, start: int, levels: int) -> tuple[typing.Any, int]:
    """Returns the value at a position, and where it ends.

    Args:
      text: The text.
      start: Position of the value.
      levels: Levels that are read value by value if need be.

    Raises:
      ValueError: if the value cannot be read.
    """
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
        position = skip_space(text, position + 1)
        value, position = _read_or_skip(text, position, levels - 1)
        values.append(value)
        position = skip_space(text, position)
    return values, _end(text, position, ']')


def _read_object(text: str, start: int, levels: int) -> tuple[dict, int]:
    members: dict[str, typing.Any] = {}
    position = start
    while position == start or text[position:position + 1] == ',':
        position = skip_space(text, position + 1)
        name, position = read(text, position, 0)
        if not isinstance(name, str):
            raise ValueError('unreadable JSON: a name that is no string')
        position = _end(text, skip_space(text, position), ':')
        position = skip_space(text, position)
        value, position = _read_or_skip(text, position, levels - 1)
        # A null is left out as well; no reader tells it from no member.
        if value is not None:
            members[name] = value
        position = skip_space(text, position)
    return members, _end(text, position, '}')


def _read_or_skip(text: str, start: int, levels: int) -> tuple[typing.Any, int]:
    try:
        return read(text, start, levels)
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


def skip_space(text: str, start: int) -> int:
    """Returns the position after white space."""
    match = _SPACE.match(text, start)
    return match.end() if match else start


def _end(text: str, position: int, expected: str) -> int:
    """Returns the position after an expected character."""
    if text[position:position + 1] != expected:
        raise ValueError(f'unreadable JSON: no {expected}')
    return position + 1
