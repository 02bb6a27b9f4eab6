"""Reads of the store beside a mirror's watch."""

import abc
import collections.abc

from figdrum.core import clock as clock_module
from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import ports
from figdrum.core import revisions
from figdrum.registry import object_store
from figdrum.telemetry import event_log

# Shortest time in ms between two lists in addition to the watch. Other nodes
# report their versions four times per second, and each report may ask for one.
MIN_REFRESH_INTERVAL_MS = 500

# Shortest time in ms between two reads of what is current. Each is a call at
# the full price, and several balancers may need one at the same time.
MIN_CURRENT_READ_INTERVAL_MS = 100

# Time in ms for which an object may be missing after a restore of the store.
# Its writer writes it again within about 2 s.
RESTORE_GRACE_MS = 3_000

# Time in ms after a process has first seen a restored store in which it does
# not take the store's objects for complete: the restore may have come just
# before. An agent that no balancer knows finds out by itself only after 8 s
# without a balancer and a check that takes 1 s.
FIRST_CONTACT_GRACE_MS = 10_000

# Called with whether the copy is current.
OnRead = collections.abc.Callable[[bool], None]


class Copy(abc.ABC):
    """A copy of all objects of a kind.

    Attributes:
      revision: Store revision up to which it is complete; negative if none is.
    """
    revision: ids.StoreRevision

    @property
    @abc.abstractmethod
    def kind(self) -> str:
        """Kind of the objects."""

    @abc.abstractmethod
    def add(self,
            entries: collections.abc.Iterable[object_store.Entry]) -> None:
        """Adds objects that are newer than those in the copy."""


class SideReads:
    """Adds to a copy what the store has, without waiting for the watch.

    Only the watch applies removals; it continues from its own revision.
    """

    def __init__(self, copy: Copy, store: object_store.ObjectStore,
                 timers: ports.Timers, clock: clock_module.Clock,
                 log: event_log.EventLog):
        self._copy = copy
        self._store = store
        self._timers = timers
        self._clock = clock
        self._log = log
        self._is_refreshing = False
        self._current_read_ms = clock.now_ms() - MIN_CURRENT_READ_INTERVAL_MS
        self._next_current_check_ms = clock.now_ms()
        # Time until which the store may lack objects after a restore.
        self._incomplete_until_ms = clock.now_ms()
        self._created_ms = clock.now_ms()

    def try_start_current_check(
            self, period_ms: collections.abc.Callable[[], int] | None) -> bool:
        """Returns whether the next check of the watch has to be current.

        Args:
          period_ms: Returns the time until the one after it; None if no check
            has to be.
        """
        now_ms = self._clock.now_ms()
        if period_ms is None or now_ms < self._next_current_check_ms:
            return False
        self._next_current_check_ms = now_ms + period_ms()
        return True

    def on_restored(self, is_first_contact: bool) -> None:
        """Records that the store was restored from an earlier copy.

        Args:
          is_first_contact: Whether this process has not seen an earlier era, so
            that it cannot know when the store was restored.
        """
        grace_ms = (FIRST_CONTACT_GRACE_MS
                    if is_first_contact else RESTORE_GRACE_MS)
        self._incomplete_until_ms = max(self._incomplete_until_ms,
                                        self._clock.now_ms() + grace_ms)

    def on_store_failure(self) -> None:
        """Records that the store has not answered.

        Writers may not have reached it either, and need more time.
        """
        if self._is_restore_recent():
            self._incomplete_until_ms = max(
                self._incomplete_until_ms,
                self._clock.now_ms() + RESTORE_GRACE_MS)

    def refresh(self) -> None:
        """Lists the objects.

        Calls within `MIN_REFRESH_INTERVAL_MS` of the last one have no effect.
        """
        if self._is_refreshing:
            return
        self._is_refreshing = True
        self._log.write('refresh',
                        kind=self._copy.kind,
                        revision=revisions.describe(self._copy.revision))
        self._timers.call_later(MIN_REFRESH_INTERVAL_MS, self._end_refresh)
        self._store.list_all(self._copy.kind, self._on_refreshed)

    def _end_refresh(self) -> None:
        self._is_refreshing = False

    def _on_refreshed(self,
                      result: object_store.Listing | errors.StoreError) -> None:
        if not isinstance(result, errors.StoreError):
            self._copy.add(result.entries)

    def read_current(self, on_read: OnRead) -> None:
        """Reads the changes since the copy's revision, as of now.

        Args:
          on_read: Called with whether the copy has all objects that the store
            had at the time of this call. A store that was restored lately may
            still lack some.
        """
        wait_ms = (self._current_read_ms + MIN_CURRENT_READ_INTERVAL_MS -
                   self._clock.now_ms())
        if wait_ms > 0:
            self._timers.call_later(wait_ms, lambda: self.read_current(on_read))
            return
        sent_ms = self._current_read_ms = self._clock.now_ms()

        def finish(
            result: object_store.Changes | object_store.Listing |
            errors.StoreError
        ) -> None:
            is_current = self._apply(result)
            self._log.write('current read',
                            kind=self._copy.kind,
                            known=revisions.describe(self._copy.revision),
                            ms=self._clock.now_ms() - sent_ms,
                            process_ms=sent_ms - self._created_ms,
                            outcome='current' if is_current else 'not current',
                            reason=str(result) if isinstance(
                                result, errors.StoreError) else '')
            on_read(is_current)

        def on_changes(
                result: object_store.Changes | errors.StoreError) -> None:
            if isinstance(result, object_store.HistoryLostError):
                self._store.list_all(self._copy.kind, finish)
            else:
                finish(result)

        if self._copy.revision < 0:
            self._store.list_all(self._copy.kind, finish)
        else:
            self._store.poll(self._copy.kind, self._copy.revision, False,
                             on_changes)

    def _apply(
        self,
        result: object_store.Changes | object_store.Listing | errors.StoreError
    ) -> bool:
        """Applies a read that is current; returns whether it is complete."""
        if isinstance(result, errors.StoreError):
            self.on_store_failure()
            return False
        is_restored = (max(0, revisions.era(self._copy.revision))
                       < revisions.era(result.revision))
        self._copy.add(result.entries if isinstance(result, object_store.Listing
                                                   ) else result.changed)
        return not (is_restored or self._is_restore_recent())

    def _is_restore_recent(self) -> bool:
        return self._clock.now_ms() < self._incomplete_until_ms
