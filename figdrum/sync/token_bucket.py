"""Limits the control traffic that a node sends.

Examples
========

>>> bucket = TokenBucket(bytes_per_s=5_000, burst_bytes=10_000)
>>> bucket.take(0, 9_000), bucket.take(0, 2_000), bucket.take(200, 2_000)
(True, False, True)
"""

from figdrum.core import clock

CONTROL_BYTES_PER_S = 5_000
"""Long-term limit of a node's control traffic, in bytes per second."""

CONTROL_BURST_BYTES = 64_000
"""Bytes in one burst: enough to send a change and let a fresh node catch up."""

DIGEST_RESERVE_BYTES = 4_000
"""Bytes that replies to pulls leave for digests, pulls and contract changes."""

REPLY_RESERVE_BYTES = 20_000
"""Bytes that updates of lists leave: one full reply to a pull and the above."""


class TokenBucket:
    """A token bucket that counts bytes.

    Args:
      bytes_per_s: Bytes added per second.
      burst_bytes: Capacity in bytes; the bucket is full at first.

    Attributes:
      refused: Number of messages for which the bucket held too few bytes.
    """

    def __init__(self,
                 bytes_per_s: int = CONTROL_BYTES_PER_S,
                 burst_bytes: int = CONTROL_BURST_BYTES):
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._level_bytes = float(burst_bytes)
        self._refilled_ms: int | None = None
        self.refused = 0

    def level(self, now_ms: int) -> int:
        """Returns the bytes in the bucket; negative while it is in debt."""
        if self._refilled_ms is not None and now_ms > self._refilled_ms:
            added_bytes = (
                now_ms - self._refilled_ms) * self._bytes_per_s / clock.MS_PER_S
            self._level_bytes = min(self._burst_bytes,
                                    self._level_bytes + added_bytes)
        self._refilled_ms = max(now_ms, self._refilled_ms or now_ms)
        return int(self._level_bytes)

    def take(self,
             now_ms: int,
             size_bytes: int,
             reserve_bytes: int = 0) -> bool:
        """Takes `size_bytes` bytes from the bucket if it holds enough.

        A message larger than the bucket's capacity is allowed when the bucket
        is full and leaves the bucket in debt, so that the rate holds over time.

        Args:
          now_ms: Current time.
          size_bytes: Bytes to take.
          reserve_bytes: Bytes to leave for messages of higher priority.

        Returns:
          True if the bytes were taken, False if the message was refused.
        """
        if self.level(now_ms) < min(size_bytes + reserve_bytes,
                                    self._burst_bytes):
            self.refused += 1
            return False
        self._level_bytes -= size_bytes
        return True
