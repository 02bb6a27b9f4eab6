"""Records of a target's open flows in the store.

Explanation
===========

When a machine loses power, its target's flows are lost, and no process is left
that has their state. The clients would notice only with their next request,
which they must not retry if it is not idempotent. Therefore the next agent
reads from the store which flows the lost target had, and resets them. Short
flows end before a record could be written, so it only says that they are short.

Examples
========

>>> record = FlowRecord('i-1@5', ((b'0123456789ab', 7),), False)
>>> decode(encode(record)) == record
True
>>> decode({'target': 'i-1@5', 'flows': 'x'}) is None
True
"""

import struct
import typing

from figdrum.core import checks
from figdrum.registry import flow_text

KIND = 'figdrum-flows'

# Shortest time in ms between two writes of an agent. Flows last for up to a
# minute, so a record of this age misses few of them.
MIN_WRITE_PERIOD_MS = 10_000

# Longest time in ms between two writes while a collector keeps what the record
# lacks. At 60 s the objects of 136 agents exceed the bytes of their zones.
COLLECTED_WRITE_PERIOD_MS = 30_000

# Share of the store's write rate that the records of all agents may use. With
# the collectors' share (`recent_flows.WRITE_SHARE`) it is a quarter.
WRITE_SHARE = 0.2

# Largest number of flows in a record: 64 KB in base64, below the store's limit
# of 1 MB.
MAX_FLOWS = 3_000


class FlowRecord(typing.NamedTuple):
    """The open flows of a target.

    Attributes:
      target: Identity of the target's incarnation.
      flows: Key and last client acknowledgement of each flow.
      has_short_flows: Whether most flows are closed after their first request.
    """
    target: str
    flows: tuple[tuple[bytes, int], ...]
    has_short_flows: bool


def write_period_ms(agents: int, writes_per_s: float) -> int:
    """Returns the time between two writes of an agent, in ms.

    Args:
      agents: Number of agents that share the store.
      writes_per_s: Writes per second that the store accepts.

    Examples
    ========

    >>> write_period_ms(11, 400.0), write_period_ms(9_600, 400.0)
    (10000, 120000)
    """
    return max(MIN_WRITE_PERIOD_MS,
               int(1_000 * agents / (writes_per_s * WRITE_SHARE)))


class Schedule:
    """Decides when an agent writes its record.

    A write may be put off while a collector keeps what the record lacks. It is
    made up for at once when the collector no longer confirms that. The times of
    later writes stay, so that agents which lose their collector together do not
    all write at the same time from then on.

    Examples
    ========

    >>> schedule = Schedule(0)
    >>> [schedule.try_start(time_ms, 10_000, time_ms < 42_000)
    ...  for time_ms in (0, 10_000, 29_000, 30_000, 40_000, 42_000, 50_000)]
    [True, False, False, True, False, True, True]
    """

    def __init__(self, first_ms: int):
        self._next_ms = first_ms
        self._latest_ms = first_ms
        self._is_put_off = False

    def try_start(self, now_ms: int, period_ms: int,
                  is_collected: bool) -> bool:
        """Returns whether the record has to be written now, if it has changed.

        Args:
          now_ms: Time.
          period_ms: `write_period_ms`.
          is_collected: Whether a collector keeps what the record lacks.
        """
        if now_ms >= self._next_ms:
            missed = (now_ms - self._next_ms) // period_ms
            self._next_ms += (missed + 1) * period_ms
            self._is_put_off = True
        if not self._is_put_off or (is_collected and now_ms < self._latest_ms):
            return False
        self._is_put_off = False
        self._latest_ms = now_ms + max(period_ms, COLLECTED_WRITE_PERIOD_MS)
        return True


def is_write_needed(stored: typing.Any, wanted: typing.Any,
                    is_collected: bool) -> bool:
    """Returns whether an agent has to replace the object of its record.

    An object without flows resets none, whatever target it names. It only says
    that the flows in older objects of collectors have ended.

    Args:
      stored: The object in the store, None if there is none.
      wanted: `encode` of the agent's record.
      is_collected: Whether a collector may have stored flows of the target.

    Examples
    ========

    >>> empty = encode(FlowRecord('i-1@5', (), False))
    >>> is_write_needed(None, empty, False), is_write_needed(None, empty, True)
    (False, True)
    """
    if stored == wanted:
        return False
    if is_collected or wanted['flows']:
        return True
    record = FlowRecord('', (), False) if stored is None else decode(stored)
    return (record is None or bool(record.flows) or
            record.has_short_flows != wanted['short'])


def encode(record: FlowRecord) -> dict[str, typing.Any]:
    """Returns the object that is stored for a record."""
    return {
        'target': record.target,
        'flows': flow_text.to_text(record.flows[:MAX_FLOWS]),
        'short': record.has_short_flows
    }


def decode(value: typing.Any) -> FlowRecord | None:
    """Returns the record in a stored object, or None if it is malformed."""
    try:
        return FlowRecord(checks.text(value['target']),
                          flow_text.from_text(value['flows'], MAX_FLOWS),
                          checks.boolean(value.get('short', False)))
    except (AttributeError, KeyError, TypeError, ValueError, struct.error):
        return None
