"""When a balancer reads the platform.

Explanation
===========

One read is in flight at a time. The first one that succeeds is a `Load`; all
later ones are watches. After a failure the next read waits for a growing,
jittered pause that stays below the time in which a change must be in force.
"""

import random

from figdrum.sync import actions as actions_lib
from figdrum.sync import replica as replica_lib
from figdrum.sync import registry as registry_lib

FIRST_PAUSE_MS = 250
LONGEST_PAUSE_MS = 2_000

LOADED_PREFIXES = (replica_lib.LISTS_PREFIX, registry_lib.PREFIX)


class PlatformReads:
    """Paces the reads of one balancer."""

    def __init__(self, rng: random.Random, now_ms: int):
        self._rng = rng
        self._in_flight = False
        self._loaded = False
        self._failures = 0
        self._next_ms = now_ms

    @property
    def platform_up(self) -> bool:
        """False when the last read failed."""
        return self._failures == 0

    def due(self, now_ms: int, revision: int,
            timeout_ms: int) -> tuple[actions_lib.Action, ...]:
        """Returns the read to start now, if any.

        Args:
          now_ms: Time.
          revision: Revision of the replica.
          timeout_ms: Longest time that a watch may wait.
        """
        if self._in_flight or now_ms < self._next_ms:
            return ()
        self._in_flight = True
        if self._loaded or revision > 0:
            return (actions_lib.Watch(revision, timeout_ms),)
        return (actions_lib.Load(LOADED_PREFIXES),)

    def on_success(self, now_ms: int) -> None:
        """Notes that the read in flight succeeded."""
        self._in_flight = False
        self._loaded = True
        self._failures = 0
        self._next_ms = now_ms

    def on_failure(self, now_ms: int) -> None:
        """Notes that the read in flight failed or was of no use."""
        self._in_flight = False
        pause_ms = min(FIRST_PAUSE_MS * 2**min(self._failures, 10),
                       LONGEST_PAUSE_MS)
        self._failures += 1
        self._next_ms = now_ms + int(self._rng.uniform(pause_ms / 2, pause_ms))
