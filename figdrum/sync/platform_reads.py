"""Schedules a balancer's reads of the platform.

Explanation
===========

One read is in flight at a time. Reads are `Load` until one has succeeded or the
replica has a revision from a peer, and `Watch` from then on. After a failure
the next read is delayed by an exponential backoff with jitter. The longest
backoff is below the time within which every change must be in force.
"""

import random

from figdrum.sync import actions as actions_lib
from figdrum.sync import registry as registry_lib
from figdrum.sync import replica as replica_lib

INITIAL_BACKOFF_MS = 250
MAX_BACKOFF_MS = 2_000

LOADED_PREFIXES = (replica_lib.LISTS_PREFIX, registry_lib.PREFIX)


class ReadScheduler:
    """Decides when one balancer starts which read."""

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

    def next_read(self, now_ms: int, revision: int,
                  timeout_ms: int) -> tuple[actions_lib.Action, ...]:
        """Returns the read to start now, or an empty tuple.

        Args:
          now_ms: Current time.
          revision: Revision of the replica.
          timeout_ms: Longest time that a watch waits for a change.
        """
        if self._in_flight or now_ms < self._next_ms:
            return ()
        self._in_flight = True
        if self._loaded or revision > 0:
            return (actions_lib.Watch(revision, timeout_ms),)
        return (actions_lib.Load(LOADED_PREFIXES),)

    def on_success(self, now_ms: int) -> None:
        """Records that the read in flight succeeded."""
        self._in_flight = False
        self._loaded = True
        self._failures = 0
        self._next_ms = now_ms

    def on_failure(self, now_ms: int) -> None:
        """Records that the read in flight failed or its result was rejected."""
        self._in_flight = False
        backoff_ms = min(INITIAL_BACKOFF_MS * 2**min(self._failures, 10),
                         MAX_BACKOFF_MS)
        self._failures += 1
        self._next_ms = now_ms + int(
            self._rng.uniform(backoff_ms / 2, backoff_ms))
