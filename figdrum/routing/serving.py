"""Whether a balancer may route packets at present.

Explanation
===========

A balancer serves once its replica is fresh, and until it exits: it goes on
forwarding while it stops. It knows that it is behind when a message named a
newer contract change or revision that it has still not applied 7 s later, the
time in which an approved change has to be in force everywhere.

Examples
========

>>> gate = ServingGate()
>>> gate.drop_reason(0)
<DropReason.NOT_SERVING: 'not_serving'>
>>> gate.start()
>>> gate.on_newer_change(1000, 5)
>>> gate.drop_reason(8000)
>>> gate.drop_reason(8001)
<DropReason.BEHIND: 'behind'>
>>> gate.on_applied(change=5, revision=0)
>>> gate.drop_reason(8001)
"""

import collections

from figdrum.core import states
from figdrum.routing import drop_reason

BEHIND_LIMIT_MS = 7000

# A longer backlog of newer numbers only repeats what the oldest one says.
_MAX_NAMED = 256


class _Named:
    """Numbers that others named and that are not applied yet."""

    def __init__(self) -> None:
        self._applied = 0
        self._named: collections.deque[tuple[int, int]] = collections.deque()

    def on_named(self, now_ms: int, number: int) -> None:
        """Notes that another node has `number`."""
        highest = self._named[-1][0] if self._named else self._applied
        if number > highest and len(self._named) < _MAX_NAMED:
            self._named.append((number, now_ms))

    def on_applied(self, number: int) -> None:
        """Forgets the numbers that are reached."""
        self._applied = max(self._applied, number)
        while self._named and self._named[0][0] <= self._applied:
            self._named.popleft()

    def age_ms(self, now_ms: int) -> int:
        """Returns how long the oldest number not applied is known."""
        return now_ms - self._named[0][1] if self._named else 0


class ServingGate:
    """The serving state of a balancer."""

    def __init__(self, behind_limit_ms: int = BEHIND_LIMIT_MS):
        self._behind_limit_ms = behind_limit_ms
        self._state = states.ServingState.STARTING
        self._changes = _Named()
        self._revisions = _Named()

    @property
    def state(self) -> states.ServingState:
        """The present state."""
        return self._state

    def start(self) -> None:
        """Notes that the replica is fresh; without effect while stopping."""
        if self._state is states.ServingState.STARTING:
            self._state = states.ServingState.SERVING

    def stop(self) -> None:
        """Notes that the process is about to exit.

        A balancer that never served does not start to now.
        """
        if self._state is states.ServingState.SERVING:
            self._state = states.ServingState.STOPPING

    def on_newer_change(self, now_ms: int, change: int) -> None:
        """Notes that a message named contract change `change`."""
        self._changes.on_named(now_ms, change)

    def on_newer_revision(self, now_ms: int, revision: int) -> None:
        """Notes that a message named replica revision `revision`."""
        self._revisions.on_named(now_ms, revision)

    def on_applied(self, change: int, revision: int) -> None:
        """Notes what the own replica has reached."""
        self._changes.on_applied(change)
        self._revisions.on_applied(revision)

    def behind_ms(self, now_ms: int) -> int:
        """Returns for how long this balancer has known that it is behind."""
        return max(self._changes.age_ms(now_ms), self._revisions.age_ms(now_ms))

    def drop_reason(self, now_ms: int) -> drop_reason.DropReason | None:
        """Returns why packets are dropped, or None while they are routed."""
        if self._state is states.ServingState.STARTING:
            return drop_reason.DropReason.NOT_SERVING
        if self.behind_ms(now_ms) > self._behind_limit_ms:
            return drop_reason.DropReason.BEHIND
        return None
