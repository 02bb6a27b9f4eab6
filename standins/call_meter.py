"""Counts calls and limits their rate.

Examples
========

>>> meter = CallMeter(writes_per_s=1, reads_per_s=2)
>>> [meter.admit(0, CallKind.READ) for _ in range(3)]
[True, True, False]
>>> meter.admit(1000, CallKind.READ)
True
"""

import collections
import enum

WRITES_PER_S = 400
READS_PER_S = 2000
_WINDOW_MS = 1000


class CallKind(enum.Enum):
    """Kinds of calls; a watch counts towards the limit of reads."""
    READ = 'read'
    WATCH = 'watch'
    WRITE = 'write'


class CallMeter:
    """Counts every call and limits the calls of each second.

    Attributes:
      counts: Calls by (client, kind), refused ones too.
      refused: Calls refused because the rate was exceeded.
    """

    def __init__(self,
                 writes_per_s: int = WRITES_PER_S,
                 reads_per_s: int = READS_PER_S):
        self.counts: collections.Counter = collections.Counter()
        self.refused = 0
        self._limits = {True: writes_per_s, False: reads_per_s}
        self._recent: dict[bool, collections.deque[int]] = {
            True: collections.deque(),
            False: collections.deque(),
        }

    def admit(self, now_ms: int, kind: CallKind, client: str = '') -> bool:
        """Counts a call and returns whether it is within the rate limit."""
        self.counts[client, kind] += 1
        is_write = kind is CallKind.WRITE
        recent = self._recent[is_write]
        while recent and recent[0] <= now_ms - _WINDOW_MS:
            recent.popleft()
        if len(recent) >= self._limits[is_write]:
            self.refused += 1
            return False
        recent.append(now_ms)
        return True
