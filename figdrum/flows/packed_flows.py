"""Compact form of flows in stored objects and messages.

Examples
========

>>> unpack(pack([(b'0123456789ab', 7)]))
((b'0123456789ab', 7),)
>>> len(pack([(b'0123456789ab', 7)])) == FLOW_BYTES
True
"""

import collections.abc
import struct

_FLOW = struct.Struct('!12sI')

# Length in bytes of a flow's key and acknowledgement number.
FLOW_BYTES = _FLOW.size

Flows = tuple[tuple[bytes, int], ...]
"""Key and last client acknowledgement of each flow."""


def pack(flows: collections.abc.Iterable[tuple[bytes, int]]) -> bytes:
    """Returns the packed form of flows."""
    return b''.join(_FLOW.pack(key, ack) for key, ack in flows)


def unpack(packed: bytes) -> Flows:
    """Returns the flows in their packed form.

    Raises:
      struct.error: if the length is not a multiple of `FLOW_BYTES`.
    """
    return tuple(_FLOW.iter_unpack(packed))


def encoded_length(count: int) -> int:
    """Returns the number of characters of `count` flows in base64.

    >>> encoded_length(1), encoded_length(3)
    (24, 64)
    """
    # Base64 has four characters for each three bytes that have begun.
    return (count * FLOW_BYTES + 2) // 3 * 4
