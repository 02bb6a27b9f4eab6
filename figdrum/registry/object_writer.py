"""Keeps one object in the store equal to a given value."""

import collections.abc
import operator
import random
import typing

from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import ports
from figdrum.core import revisions
from figdrum.registry import mirror
from figdrum.registry import object_store
from figdrum.telemetry import event_log

OnLoaded = collections.abc.Callable[[typing.Any], None]
OnStored = collections.abc.Callable[[typing.Any], None]
IsWriteNeeded = collections.abc.Callable[[typing.Any, typing.Any], bool]


class ObjectWriter:
    """Writes an object if its revision in the store is the last known one.

    Explanation
    ===========

    A write without a response may have taken effect, or may do so later.
    Therefore the object is read before the next write. A value that the store
    already has is not written again.

    Attributes:
      has_object: Whether the store had the object, readable or not, by the last
        answer.
      last_revision: Revision of the object by the last answer, 0 without one.
    """

    # One parameter for each service that the writer uses.
    # pylint: disable-next=too-many-positional-arguments
    def __init__(self,
                 store: object_store.ObjectStore,
                 kind: str,
                 name: str,
                 timers: ports.Timers,
                 log: event_log.EventLog,
                 rng: random.Random,
                 is_write_needed: IsWriteNeeded = operator.ne):
        """Creates the object.

        Args:
          store: The store.
          kind: Kind of the object.
          name: Its name.
          timers: Timers of retries.
          log: Log of writes and failures.
          rng: Randomness of the backoff.
          is_write_needed: Returns whether a value has to be written, from the
            stored one, None if there is none, and the value.
        """
        self._store = store
        self._kind = kind
        self._name = name
        self._timers = timers
        self._log = log
        self._is_write_needed = is_write_needed
        self._backoff = mirror.Backoff(rng)
        self._wanted: typing.Any = None
        self._stored: typing.Any = None
        self._revision: ids.StoreRevision | None = None
        self.has_object = False
        self.last_revision = ids.StoreRevision(0)
        self._is_call_pending = False
        self._is_unverified = False
        self._on_loaded: OnLoaded | None = None
        self._on_stored: OnStored | None = None

    @property
    def is_stored(self) -> bool:
        """Whether the store has the last value to write, by its last answer."""
        return (self._revision is not None and not self._is_call_pending and
                not self._is_write_needed(self._stored, self._wanted))

    def load(self, on_loaded: OnLoaded, on_stored: OnStored) -> None:
        """Reads the object.

        Args:
          on_loaded: Called once with the stored value, or None if there is no
            object, before anything is written.
          on_stored: Called with each value that the store is known to hold.
        """
        self._on_loaded = on_loaded
        self._on_stored = on_stored
        self._read()

    def save(self, value: typing.Any) -> None:
        """Writes `value`, with retries until the store accepts it."""
        self._wanted = value
        self._write_if_changed()

    def verify(self) -> None:
        """Reads the object again, and writes it if it was removed or changed.

        A call in progress may have been answered before the change, so the
        object is read after it.
        """
        self._revision = None
        self._is_unverified = self._is_call_pending
        self._write_if_changed()

    def _write_if_changed(self) -> None:
        if self._is_call_pending or self._wanted is None:
            return
        if self._revision is None:
            self._read()
        elif self._is_write_needed(self._stored, self._wanted):
            self._is_call_pending = True
            self._store.write(self._kind, self._name, self._wanted,
                              self._revision, self._on_written)

    def _read(self) -> None:
        if not self._is_call_pending:
            self._is_call_pending = True
            self._store.read(self._kind, self._name, self._on_read)

    def _on_read(self,
                 result: object_store.Entry | None | errors.StoreError) -> None:
        self._is_call_pending = False
        if isinstance(result, errors.StoreError):
            self._retry(result)
            return
        self._set_stored(result)
        if self._on_loaded is not None:
            on_loaded, self._on_loaded = self._on_loaded, None
            on_loaded(self._stored)
        self._write_if_changed()

    def _on_written(
        self,
        result: object_store.Entry | object_store.Conflict | errors.StoreError
    ) -> None:
        self._is_call_pending = False
        if isinstance(result, errors.StoreError):
            self._revision = None
            self._retry(result)
            return
        if isinstance(result, object_store.Conflict):
            self._log.write('write conflict',
                            kind=self._kind,
                            name=self._name,
                            revision=revisions.describe(self._revision))
            self._set_stored(result.entry)
        else:
            self._set_stored(result)
            self._log.write('stored',
                            kind=self._kind,
                            name=self._name,
                            revision=revisions.describe(result.revision))
        self._write_if_changed()

    def _set_stored(self, entry: object_store.Entry | None) -> None:
        self._backoff.reset()
        self._revision = entry.revision if entry else ids.StoreRevision(0)
        self.last_revision = self._revision
        self._stored = entry.value if entry else None
        self.has_object = entry is not None
        if self._is_unverified:
            self._is_unverified = False
            self._revision = None
        if entry and self._on_stored is not None:
            self._on_stored(entry.value)

    def _retry(self, exc: errors.StoreError) -> None:
        self._log.write('store lost', kind=self._kind, reason=str(exc))
        self._timers.call_later(self._backoff.next_ms(), self._resume)

    def _resume(self) -> None:
        if self._on_loaded is not None:
            self._read()
        else:
            self._write_if_changed()
