"""Detects pauses of this process and the start of each second.

Examples
========

>>> detector = PauseDetector(500)
>>> [detector.record_event(now_ms) for now_ms in (0, 499, 999)]
[0, 0, 500]
>>> [detector.try_start_second(now_ms) for now_ms in (0, 400, 1000, 1100)]
[True, False, True, False]
"""

from figdrum.core import clock


class PauseDetector:
    """Tracks the time of the last event and the start of the next second.

    Args:
      wake_gap_ms: Time without an event, in ms, after which the process counts
        as paused.
    """

    def __init__(self, wake_gap_ms: int):
        self._wake_gap_ms = wake_gap_ms
        self._last_event_ms: int | None = None
        self._next_second_ms = 0

    def record_event(self, now_ms: int) -> int:
        """Records an event.

        Returns:
          Time since the previous event in ms if the process was paused, else 0.
        """
        last_ms, self._last_event_ms = self._last_event_ms, now_ms
        pause_ms = now_ms - last_ms if last_ms is not None else 0
        return pause_ms if pause_ms >= self._wake_gap_ms else 0

    def try_start_second(self, now_ms: int) -> bool:
        """Returns True at the first call, and then at most once a second."""
        if now_ms < self._next_second_ms:
            return False
        self._next_second_ms = now_ms + clock.MS_PER_S
        return True
