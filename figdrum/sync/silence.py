"""Which registered balancers of a zone have been silent for long.

Explanation
===========

Every balancer sends digests to its zone's readers, so that a reader hears all
live balancers of its zone. A balancer that a reader has not heard for 10 min is
to be pruned from the zone's registry. A reader that was paused, or that hears
less than half of its zone for 5 min, cannot tell who is gone and prunes nobody.
The shorter time matters: a reader that is cut off heard the others last at
different moments, and would prune the first of them after 10 min.
"""

import collections.abc

from figdrum.core import limits

GAP_MS = 10_000
"""A longer time without a tick means that this process was paused."""


class SilenceWatch:
    """Remembers when each registered balancer was last heard."""

    def __init__(self, now_ms: int):
        self._ticked_ms = now_ms
        self._heard_ms: dict[str, int] = {}

    def on_names(self, now_ms: int,
                 names: collections.abc.Iterable[str]) -> None:
        """Sets the other registered balancers of the zone."""
        self._heard_ms = {
            name: self._heard_ms.get(name, now_ms) for name in names
        }

    def on_heard(self, now_ms: int, name: str) -> None:
        """Notes a digest of balancer `name`."""
        if name in self._heard_ms:
            self._heard_ms[name] = now_ms

    def on_tick(self, now_ms: int) -> None:
        """Notes that this process runs."""
        if now_ms - self._ticked_ms > GAP_MS:
            self._heard_ms = dict.fromkeys(self._heard_ms, now_ms)
        self._ticked_ms = now_ms

    def silent(self, now_ms: int) -> tuple[str, ...]:
        """Returns the balancers to prune, sorted by name."""
        if 2 * len(self._quiet(now_ms, limits.BALANCER_SILENCE_MS // 2)) > len(
                self._heard_ms):
            return ()
        return tuple(sorted(self._quiet(now_ms, limits.BALANCER_SILENCE_MS)))

    def _quiet(self, now_ms: int, silence_ms: int) -> list[str]:
        return [
            name for name, at_ms in self._heard_ms.items()
            if now_ms - at_ms > silence_ms
        ]
