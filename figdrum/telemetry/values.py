"""JSON encoding of the arguments and results of controllers.

Explanation
===========

Numbers, strings, booleans and None are encoded as themselves, a tuple as an
array. Every other value is encoded as an object with one key, its kind:

    {"m": base64}          a message, as `messages.codec` encodes it
    {"b": base64}          bytes
    {"l": [...]}           a list
    {"s": [...]}           a set
    {"d": [[key, value]]}  a map
    {"t": [type, [...]]}   a named tuple, dataclass or settings section
    {"e": [type, value]}   an enum member
    {"o": name}            an object that is not a value

Only types of this package are decoded, so that a trace cannot run other code.

Examples
========

>>> from figdrum.core import states
>>> encode((states.MemberState.LOST, b'x'))
[{'e': ['figdrum.core.states:MemberState', 'lost']}, {'b': 'eA=='}]
>>> decode(encode((states.MemberState.LOST, b'x')))
(<MemberState.LOST: 'lost'>, b'x')
"""

import base64
import binascii
import dataclasses
import enum
import importlib
import json
import typing

from figdrum.core import errors
from figdrum.messages import codec

PACKAGE = 'figdrum.'
_MESSAGES = typing.get_args(codec.Message)


def is_decodable(encoded: typing.Any) -> bool:
    """Returns whether the encoded value `encoded` can be decoded.

    Objects that are not values have only their type name recorded.

    Examples
    ========

    >>> is_decodable(encode((1, b'x'))), is_decodable(encode((1, object())))
    (True, False)
    """
    return 'o' not in _kinds(encoded)


def encode(value: typing.Any) -> typing.Any:
    """Returns the JSON encoding of `value`."""
    if value is None or isinstance(value, (bool, float)):
        return value
    if isinstance(value, enum.Enum):
        return {'e': [_type_name(type(value)), encode(value.value)]}
    if isinstance(value, (int, str)):
        return value
    if isinstance(value, bytes):
        return {'b': base64.b64encode(value).decode()}
    if isinstance(value, _MESSAGES):
        return {'m': base64.b64encode(codec.encode(value)).decode()}
    if isinstance(value, tuple):
        items = [encode(item) for item in value]
        return items if type(value) is tuple else _encode_typed(value, items)  # pylint: disable=unidiomatic-typecheck
    return _encode_container(value)


def _encode_container(value: typing.Any) -> typing.Any:
    if isinstance(value, list):
        return {'l': [encode(item) for item in value]}
    if isinstance(value, (set, frozenset)):
        return {'s': sorted((encode(item) for item in value), key=json.dumps)}
    if isinstance(value, dict):
        return {'d': [[encode(k), encode(v)] for k, v in value.items()]}
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return _encode_typed(value, [
            encode(getattr(value, field.name))
            for field in dataclasses.fields(value)
            if field.init
        ])
    if hasattr(type(value), 'model_fields'):
        return _encode_typed(
            value,
            [encode(getattr(value, name)) for name in type(value).model_fields])
    return {'o': type(value).__name__}


def _encode_typed(value: typing.Any, items: list) -> dict:
    return {'t': [_type_name(type(value)), items]}


def _type_name(cls: type) -> str:
    return f'{cls.__module__}:{cls.__qualname__}'


def decode(obj: typing.Any) -> typing.Any:
    """Returns the value whose JSON encoding is `obj`.

    Raises:
      errors.TraceError: if `obj` is not an encoded value.
    """
    if isinstance(obj, list):
        return tuple(decode(item) for item in obj)
    if not isinstance(obj, dict):
        return obj
    if len(obj) != 1:
        raise _trace_error(obj, 'expected an object with one key')
    (kind, body), = obj.items()
    try:
        return _decode_kind(kind, body)
    except (AttributeError, ImportError, KeyError, TypeError, ValueError,
            binascii.Error, errors.MessageError, errors.VersionError) as exc:
        raise _trace_error(obj, repr(exc)) from exc


def _decode_kind(kind: str, body: typing.Any) -> typing.Any:
    if kind == 'm':
        return codec.decode(base64.b64decode(body), 'trace')
    if kind == 'b':
        return base64.b64decode(body)
    if kind == 'l':
        return [decode(item) for item in body]
    if kind == 's':
        return frozenset(decode(item) for item in body)
    if kind == 'd':
        return {decode(key): decode(value) for key, value in body}
    if kind == 'e':
        return _find_type(body[0])(decode(body[1]))
    if kind == 't':
        return _build(_find_type(body[0]), [decode(item) for item in body[1]])
    raise ValueError(f'unknown kind {kind!r}')


def _build(cls: type, items: list) -> typing.Any:
    if hasattr(cls, 'model_fields'):
        return cls(**dict(zip(cls.model_fields, items, strict=True)))
    if hasattr(cls, '_fields'):
        return cls(*items)
    names = [field.name for field in dataclasses.fields(cls) if field.init]
    return cls(**dict(zip(names, items, strict=True)))


def _find_type(name: str) -> type:
    module, _, qualname = name.partition(':')
    if not module.startswith(PACKAGE):
        raise ValueError(f'type {name!r} is not part of this package')
    found: typing.Any = importlib.import_module(module)
    for part in qualname.split('.'):
        found = getattr(found, part)
    is_model = hasattr(found, 'model_fields') or hasattr(found, '_fields')
    if not isinstance(found, type) or not (is_model or issubclass(
            found, enum.Enum) or dataclasses.is_dataclass(found)):
        raise ValueError(f'{name!r} is not a value type')
    return found


def _kinds(obj: typing.Any) -> set[str]:
    if isinstance(obj, list):
        return set().union(*(_kinds(item) for item in obj))
    if not isinstance(obj, dict):
        return set()
    (kind, body), = obj.items()
    return {kind} | _kinds(body)


def _trace_error(obj: typing.Any, reason: str) -> errors.TraceError:
    return errors.TraceError('read value', 'trace',
                             f'{repr(obj):.80}: {reason}')
