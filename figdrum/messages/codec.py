"""Encodes and decodes typed messages with msgpack.

Explanation
===========

A message is encoded as the array [format version, type code, field, ...].
Decoding checks each field's type, so that users of a message can rely on its
annotations. Invalid input raises `errors.MessageError` or
`errors.VersionError`.

Examples
========

>>> data = encode(datagram.Pong(7, 'fieldbook-1'))
>>> decode(data)
Pong(nonce=7, agent='fieldbook-1')
>>> decode(b'\\x05')
Traceback (most recent call last):
...
figdrum.core.errors.MessageError: FD101 decode message: not a message array: 5 \
(peer -)
"""

import types
import typing

import msgpack

from figdrum.core import errors
from figdrum.core import ids
from figdrum.messages import control
from figdrum.messages import datagram

FORMAT_VERSION = 1

# The index of a type is its code on the wire, which is never reused for another
# type. New types are appended.
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


class _FieldTypes(typing.NamedTuple):
    """Types of a valid message's fields as msgpack returns them.

    It allows most messages to be checked by one comparison.

    Attributes:
      types: Exact type of each field.
      nested: Position and annotation of each field that is a tuple and needs a
        check of its items.
    """
    types: tuple[type, ...]
    nested: tuple[tuple[int, typing.Any], ...]


def _is_scalar(hint: typing.Any) -> bool:
    return (isinstance(hint, type) and
            not isinstance(hint, types.GenericAlias) and hint not in _HINTS)


_FIELD_TYPES = {
    cls:
        _FieldTypes(
            tuple(hint if _is_scalar(hint) else tuple
                  for hint in hints),
            tuple((i, hint)
                  for i, hint in enumerate(hints)
                  if not _is_scalar(hint))) for cls, hints in _HINTS.items()
}

Message = datagram.Message | control.Message


def encode(message: Message) -> bytes:
    """Returns the encoded `message`."""
    return msgpack.packb((FORMAT_VERSION, _CODES[type(message)]) + message)


def decode(data: bytes, peer: str = '-') -> Message:
    """Returns the message in `data`.

    Args:
      data: One encoded message.
      peer: Address or name of the sender, for the error message.

    Raises:
      errors.MessageError: if `data` is not a valid message.
      errors.VersionError: if its format version is not supported or its type
        code is unknown.
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
                                  f'not a message array: {repr(obj):.40}')
    version, code, *fields = obj
    if version != FORMAT_VERSION:
        raise errors.VersionError(
            'decode message', peer, 'unsupported format version '
            f'{repr(version):.20}')
    if type(code) is not int or not 0 <= code < len(_TYPES):  # pylint: disable=unidiomatic-typecheck
        raise errors.VersionError('decode message', peer,
                                  f'unknown type code {repr(code):.20}')
    return _build(_TYPES[code], tuple(fields), peer)


def _build(cls: type, fields: tuple, peer: str) -> typing.Any:
    field_types = _FIELD_TYPES[cls]
    if tuple(map(type, fields)) == field_types.types:
        if not field_types.nested:
            return cls(*fields)
        values = list(fields)
        for i, hint in field_types.nested:
            values[i] = _check_value(hint, values[i], peer)
        return cls(*values)
    hints = _HINTS[cls]
    if len(fields) != len(hints):
        raise errors.MessageError(
            'decode message', peer,
            f'{cls.__name__} has {len(fields)} fields, expected {len(hints)}')
    return cls(
        *
        [_check_value(hint, value, peer) for hint, value in zip(hints, fields)])


def _check_value(hint: typing.Any, value: typing.Any, peer: str) -> typing.Any:
    if isinstance(hint, type) and not isinstance(hint, types.GenericAlias):
        if hint in _HINTS and isinstance(value, tuple):
            return _build(hint, value, peer)
        if type(value) is hint:  # pylint: disable=unidiomatic-typecheck
            return value
    elif isinstance(value, tuple):
        args = typing.get_args(hint)
        if args[-1] is Ellipsis:
            return tuple(_check_value(args[0], item, peer) for item in value)
        if len(args) == len(value):
            return tuple(
                _check_value(arg, item, peer) for arg, item in zip(args, value))
    raise errors.MessageError('decode message', peer,
                              f'expected {hint}, found {repr(value):.40}')
