"""Detects from the results of requests that the target is down.

Explanation
===========

After several requests in a row without a response, the agent admits no new
flows and offers the held ones to other members. The content of health responses
is not considered, but a response of any kind after that shows that a target
runs again. The agent then restarts at the cold rate.

Examples
========

>>> check = PassiveHealthCheck()
>>> for now_ms in range(0, 500, 100):
...     check.on_result(now_ms, False)
>>> check.is_down
True
>>> check.on_reached(1000), check.on_reached(5400)
(False, True)
"""

FAILURE_THRESHOLD = 5
# Minimum time down. Otherwise a target that answers health polls but fails its
# requests would go up and down at each poll.
MIN_DOWN_MS = 5_000


class PassiveHealthCheck:
    """Tracks whether the target is down.

    Attributes:
      is_down: True while the target counts as down.
    """

    def __init__(self):
        self.is_down = False
        self._failures = 0
        self._down_since_ms = 0

    def on_result(self, now_ms: int, answered: bool) -> None:
        """Records if the target answered a request."""
        if answered:
            self._failures = 0
            return
        self._failures += 1
        if self._failures >= FAILURE_THRESHOLD and not self.is_down:
            self.is_down = True
            self._down_since_ms = now_ms

    def on_reached(self, now_ms: int) -> bool:
        """Records any response; returns True if it ends the time down."""
        if not self.is_down or now_ms - self._down_since_ms < MIN_DOWN_MS:
            return False
        self.is_down = False
        self._failures = 0
        return True
