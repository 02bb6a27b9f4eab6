"""JSON by the accelerator of the standard module.

Importing `json` takes 5 ms of CPU time, most of it for regular expressions that
the accelerator does not use.
"""

import _json

import substitutes

_SPACE = ' \t\n\r'
_SEPARATORS = (', ', ': ')


class _Options:
    """The default options of a scanner."""
    strict = True
    object_hook = None
    object_pairs_hook = None
    parse_float = float
    parse_int = int
    parse_constant = {
        '-Infinity': float('-inf'),
        'Infinity': float('inf'),
        'NaN': float('nan'),
    }.__getitem__


_scan = _json.make_scanner(_Options)


def JSONEncoder(**options):  # pylint: disable=invalid-name
    """Returns an encoder; the standard one for other options than these two."""
    if options.keys() <= {'separators', 'default'}:
        return _Encoder(**options)
    import json  # pylint: disable=import-outside-toplevel
    return json.JSONEncoder(**options)


class _Encoder:
    """Encodes values with the default options but these."""

    def __init__(self, *, separators=_SEPARATORS, default=None):
        self._item_separator, self._key_separator = separators
        self._default = default or self._refuse

    def encode(self, value):
        """Returns the text of a value."""
        if isinstance(value, str):
            return _json.encode_basestring_ascii(value)
        encode = _json.make_encoder({}, self._default,
                                    _json.encode_basestring_ascii, None,
                                    self._key_separator, self._item_separator,
                                    False, False, True)
        return ''.join(encode(value, 0))

    @staticmethod
    def _refuse(value):
        raise TypeError(f'Object of type {value.__class__.__name__} '
                        'is not JSON serializable')


_encoder = _Encoder()


def loads(data, **options):
    """Returns the value of a text, which may be bytes."""
    if not options and isinstance(data, (str, bytes, bytearray)):
        try:
            text = data if isinstance(data, str) else data.decode()
            start = len(text) - len(text.lstrip(_SPACE))
            value, end = _scan(text, start)
            if not text[end:].strip(_SPACE):
                return value
        except (ValueError, StopIteration, SystemError):
            # The scanner looks its exception up in `json.decoder`, and CPython
            # raises a SystemError if that is not imported yet.
            pass
    # Options, another type or encoding, or a malformed text.
    import json  # pylint: disable=import-outside-toplevel
    return json.loads(data, **options)


def dumps(value, **options):
    """Returns the text of a value."""
    encoder = JSONEncoder(**options) if options else _encoder
    return encoder.encode(value)


__getattr__ = substitutes.fall_back('json')
