"""Bounds the control traffic of a node.

Examples
========

>>> bucket = TokenBucket(rate=5_000, burst=10_000)
>>> bucket.take(0, 9_000), bucket.take(0, 2_000), bucket.take(200, 2_000)
(True, False, True)
"""

from figdrum.core import clock

CONTROL_RATE = 5_000
"""Bytes a second that a node may spend on control."""

CONTROL_BURST = 64_000
"""Bytes at once, so that a change goes out and a fresh node catches up."""

KEEP_FOR_DIGESTS = 4_000
"""Bytes that answers leave for digests, pulls and contract changes."""

KEEP_FOR_ANSWERS = 20_000
"""Bytes that news of lists leave for one full answer and the above."""


class TokenBucket:
    """A bucket of bytes that fills at a fixed rate.

    Attributes:
      refused: Messages for which there was not enough.
    """

    def __init__(self, rate: int = CONTROL_RATE, burst: int = CONTROL_BURST):
        self._rate = rate
        self._burst = burst
        self._level = float(burst)
        self._filled_ms: int | None = None
        self.refused = 0

    def level(self, now_ms: int) -> int:
        """Returns the bytes that may be spent at once."""
        if self._filled_ms is not None and now_ms > self._filled_ms:
            gained = (now_ms - self._filled_ms) * self._rate / clock.MS_PER_S
            self._level = min(self._burst, self._level + gained)
        self._filled_ms = max(now_ms, self._filled_ms or now_ms)
        return int(self._level)

    def take(self, now_ms: int, size: int, keep: int = 0) -> bool:
        """Spends `size` bytes if they are there.

        A message larger than the whole bucket passes when the bucket is full
        and leaves it in debt, so that the rate holds over time.

        Args:
          now_ms: Time.
          size: Bytes to spend.
          keep: Bytes to leave for messages that matter more.
        """
        if self.level(now_ms) < min(size + keep, self._burst):
            self.refused += 1
            return False
        self._level -= size
        return True
