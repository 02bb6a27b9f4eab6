"""Flows as text in stored objects.

Examples
========

>>> from_text(to_text([(b'0123456789ab', 7)]), 1)
((b'0123456789ab', 7),)
"""

import binascii
import collections.abc

from figdrum.core import checks
from figdrum.flows import packed_flows


def to_text(flows: collections.abc.Iterable[tuple[bytes, int]]) -> str:
    """Returns the packed form of flows in base64."""
    return binascii.b2a_base64(packed_flows.pack(flows), newline=False).decode()


def from_text(value: object, max_count: int) -> packed_flows.Flows:
    """Returns the flows in a text.

    Args:
      value: The text.
      max_count: Number of flows that it may have at most.

    Raises:
      ValueError, struct.error: if it is malformed or too long.
    """
    text = checks.text(value, packed_flows.encoded_length(max_count))
    return packed_flows.unpack(binascii.a2b_base64(text, strict_mode=True))
