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
import typing


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
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        # Patterns are imported only for such a text.
        from figdrum.core import json_reader  # pylint: disable=import-outside-toplevel
        value, end = json_reader.read(text, json_reader.skip_space(text, 0),
                                      levels)
        if json_reader.skip_space(text, end) != len(text):
            raise ValueError('unreadable JSON: text after its end') from None
        return value
