"""Detects registered balancers of a zone that no longer send digests.

Explanation
===========

Every balancer sends digests to its zone's readers, so a reader receives digests
from all live balancers of its zone. A balancer without a digest for 10 min is
pruned from the zone's registry. A reader that was paused, or that has received
no digest for 5 min from more than half of its zone, cannot tell which balancers
are gone and prunes none. The shorter limit is needed because a reader that is
cut off from the network received the other balancers' last digests at different
times, and would prune the first of them after 10 min.
"""

import collections.abc

from figdrum.core import limits

PAUSE_GAP_MS = 10_000
"""A longer interval between two ticks means that this process was paused."""


class SilenceTracker:
    """Tracks the time of the last digest of each registered balancer."""

    def __init__(self, now_ms: int):
        self._last_tick_ms = now_ms
        self._last_digest_ms: dict[str, int] = {}

    def on_registered_names(self, now_ms: int,
                            names: collections.abc.Iterable[str]) -> None:
        """Replaces the names of the zone's other registered balancers."""
        self._last_digest_ms = {
            name: self._last_digest_ms.get(name, now_ms) for name in names
        }

    def record_digest(self, now_ms: int, name: str) -> None:
        """Records a digest of balancer `name`."""
        if name in self._last_digest_ms:
            self._last_digest_ms[name] = now_ms

    def on_tick(self, now_ms: int) -> None:
        """Detects a pause of this process, which restarts all silences.

        Args:
          now_ms: Current time; call this more often than every `PAUSE_GAP_MS`.
        """
        if now_ms - self._last_tick_ms > PAUSE_GAP_MS:
            self._last_digest_ms = dict.fromkeys(self._last_digest_ms, now_ms)
        self._last_tick_ms = now_ms

    def silent_names(self, now_ms: int) -> tuple[str, ...]:
        """Returns the names of the balancers to prune, sorted."""
        if 2 * len(self._silent_for(now_ms, limits.BALANCER_SILENCE_MS //
                                    2)) > len(self._last_digest_ms):
            return ()
        return tuple(
            sorted(self._silent_for(now_ms, limits.BALANCER_SILENCE_MS)))

    def _silent_for(self, now_ms: int, silence_ms: int) -> list[str]:
        return [
            name for name, at_ms in self._last_digest_ms.items()
            if now_ms - at_ms > silence_ms
        ]
