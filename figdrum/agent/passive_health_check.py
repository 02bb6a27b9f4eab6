"""Finds out by the agent's own results that its target is gone.

Explanation
===========

After several requests in a row without an answer the agent takes no new flows
and offers those it holds to other members. It does not judge by what a health
endpoint says, but an answer of any kind after a failure shows that there is a
target again; the agent then begins anew at the cold rate.

Examples
========

>>> watch = PassiveHealthCheck()
>>> for now_ms in range(0, 500, 100):
...     watch.on_result(now_ms, False)
>>> watch.down
True
>>> watch.on_reached(1000), watch.on_reached(5400)
(False, True)
"""

FAILURES = 5
# A target that answers its health and fails its requests would otherwise
# alternate at each poll.
DOWN_MS = 5_000


class PassiveHealthCheck:
    """Whether the target answers.

    Attributes:
      down: True while the agent takes no new flows for that reason.
    """

    def __init__(self):
        self.down = False
        self._failures = 0
        self._since_ms = 0

    def on_result(self, now_ms: int, answered: bool) -> None:
        """Takes the end of a request."""
        if answered:
            self._failures = 0
            return
        self._failures += 1
        if self._failures >= FAILURES and not self.down:
            self.down = True
            self._since_ms = now_ms

    def on_reached(self, now_ms: int) -> bool:
        """Takes an answer of any kind; returns True if the target is back."""
        if not self.down or now_ms - self._since_ms < DOWN_MS:
            return False
        self.down = False
        self._failures = 0
        return True
