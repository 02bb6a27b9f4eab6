"""Encodes and decodes typed messages with msgpack.

Explanation
===========

A message is the array [format version, type code, field, ...]. Decoding checks
each field's type, so that code behind it can rely on the annotations. Any bad
input raises `errors.MessageError` or `errors.VersionError`.

Examples
========

>>> data = encode(datagram.Pong(7, 'fieldbook-1'))
>>> decode(data)
Pong(nonce=7, agent='fieldbook-1')
>>> decode(b'\\x05')
Traceback (most recent call last):
...
figdrum.core.errors.MessageError: FD101 decode message: not an array: 5 (peer -)
"""

import types
import typing

import msgpack

from figdrum.core import errors
from figdrum.core import ids
from figdrum.messages import control
from figdrum.messages import datagram

FORMAT_VERSION = 1

# A code is never reused for another type; new types are added at the end.
_TYPES: tuple[type,
              ...] = (datagram.Packet, datagram.Reply, datagram.Ping,
                      datagram.Pong, datagram.Stale, datagram.Held,
                      datagram.Refused, datagram.Heartbeat, datagram.Handover,
                      datagram.HandoverReply, datagram.Claim,
                      datagram.ClaimReply, datagram.AnswerQuery,
                      datagram.AnswerQueryReply, control.Entry, control.Digest,
                      control.Delta, control.Pull, control.Subscribe)
_CODES = {cls: code for code, cls in enumerate(_TYPES)}
_HINTS = {
    cls: tuple(typing.get_type_hints(cls).values())
    for cls in _TYPES + (ids.FlowKey,)
}


class _Shape(typing.NamedTuple):
    """What a valid message's fields look like before they are converted.

    Attributes:
      types: Exact type of each field as msgpack returns it.
      nested: Position and annotation of the fields that are tuples.
    """
    types: tuple[type, ...]
    nested: tuple[tuple[int, typing.Any], ...]


def _is_plain(hint: typing.Any) -> bool:
    return (isinstance(hint, type) and
            not isinstance(hint, types.GenericAlias) and hint not in _HINTS)


_SHAPES = {
    cls:
        _Shape(
            tuple(hint if _is_plain(hint) else tuple
                  for hint in hints),
            tuple((i, hint)
                  for i, hint in enumerate(hints)
                  if not _is_plain(hint))) for cls, hints in _HINTS.items()
}

Message = datagram.Message | control.Message


def encode(message: Message) -> bytes:
    """Returns the bytes of `message`."""
    return msgpack.packb((FORMAT_VERSION, _CODES[type(message)]) + message)


def decode(data: bytes, peer: str = '-') -> Message:
    """Returns the message in `data`.

    Args:
      data: One encoded message.
      peer: Sender, for the error.

    Raises:
      errors.MessageError: if `data` is not a valid message.
      errors.VersionError: if it has another format version or an unknown type.
    """
    try:
        obj = msgpack.unpackb(data, use_list=False)
    except (ValueError, msgpack.UnpackException, RecursionError) as exc:
        raise errors.MessageError('decode message', peer, repr(exc)) from exc
    return from_object(obj, peer)


def from_object(obj: typing.Any, peer: str = '-') -> Message:
    """Returns the message in an unpacked array; see `decode`."""
    if not isinstance(obj, tuple) or len(obj) < 2:
        raise errors.MessageError('decode message', peer,
                                  f'not an array: {repr(obj):.40}')
    version, code, *fields = obj
    if version != FORMAT_VERSION:
        raise errors.VersionError('decode message', peer,
                                  f'format version {repr(version):.20}')
    if type(code) is not int or not 0 <= code < len(_TYPES):  # pylint: disable=unidiomatic-typecheck
        raise errors.VersionError('decode message', peer,
                                  f'type code {repr(code):.20}')
    return _build(_TYPES[code], tuple(fields), peer)


def _build(cls: type, fields: tuple, peer: str) -> typing.Any:
    shape = _SHAPES[cls]
    if tuple(map(type, fields)) == shape.types:
        if not shape.nested:
            return cls(*fields)
        values = list(fields)
        for i, hint in shape.nested:
            values[i] = _check(hint, values[i], peer)
        return cls(*values)
    hints = _HINTS[cls]
    if len(fields) != len(hints):
        raise errors.MessageError(
            'decode message', peer,
            f'{cls.__name__} has {len(fields)} fields, not {len(hints)}')
    return cls(
        *[_check(hint, value, peer) for hint, value in zip(hints, fields)])


def _check(hint: typing.Any, value: typing.Any, peer: str) -> typing.Any:
    if isinstance(hint, type) and not isinstance(hint, types.GenericAlias):
        if hint in _HINTS and isinstance(value, tuple):
            return _build(hint, value, peer)
        if type(value) is hint:  # pylint: disable=unidiomatic-typecheck
            return value
    elif isinstance(value, tuple):
        args = typing.get_args(hint)
        if args[-1] is Ellipsis:
            return tuple(_check(args[0], item, peer) for item in value)
        if len(args) == len(value):
            return tuple(
                _check(arg, item, peer) for arg, item in zip(args, value))
    raise errors.MessageError('decode message', peer,
                              f'expected {hint}, found {repr(value):.40}')
