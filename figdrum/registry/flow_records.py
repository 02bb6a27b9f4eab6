"""The open flows of a target as an object in the store.

Explanation
===========

When a machine loses power, its target's flows are lost and nobody is left who
knows them. Their clients would notice only with their next request, which they
must not repeat if it is not idempotent. The agent that starts next reads which
flows the lost target had and resets them.

Examples
========

>>> record = FlowRecord('i-1@5', ((b'0123456789ab', 7),))
>>> decode(encode(record)) == record
True
>>> decode({'target': 'i-1@5', 'flows': 'x'}) is None
True
"""

import base64
import struct
import typing

KIND = 'figdrum-flows'

# Shortest time between two writes of one agent, in ms. Flows last for up to a
# minute, so few of them are missing in a record of this age.
MIN_WRITE_PERIOD_MS = 10_000

# Share of the store's writes that all agents together take for records.
WRITE_SHARE = 0.25

# Flows in a record at most: 64 KB in base64, below the store's 1 MB.
MAX_FLOWS = 3_000

_FLOW = struct.Struct('!12sI')


class FlowRecord(typing.NamedTuple):
    """Open flows of a target.

    Attributes:
      target: Identity of the target's incarnation.
      flows: Key of each flow and the client's last acknowledgement.
    """
    target: str
    flows: tuple[tuple[bytes, int], ...]


def write_period_ms(agents: int, writes_per_s: float) -> int:
    """Returns the time between two writes of one agent, in ms.

    Args:
      agents: Agents that share the store.
      writes_per_s: Writes a second that the store takes.

    Examples
    ========

    >>> write_period_ms(11, 400.0), write_period_ms(9_600, 400.0)
    (10000, 96000)
    """
    return max(MIN_WRITE_PERIOD_MS,
               int(1_000 * agents / (writes_per_s * WRITE_SHARE)))


def encode(record: FlowRecord) -> dict[str, typing.Any]:
    """Returns what is stored for a record."""
    packed = b''.join(
        _FLOW.pack(key, ack) for key, ack in record.flows[:MAX_FLOWS])
    return {'target': record.target, 'flows': base64.b64encode(packed).decode()}


def decode(value: typing.Any) -> FlowRecord | None:
    """Returns the record in a stored value, or None."""
    try:
        packed = base64.b64decode(value['flows'], validate=True)
        return FlowRecord(str(value['target']),
                          tuple(_FLOW.iter_unpack(packed)))
    except (KeyError, TypeError, ValueError, struct.error):
        return None
