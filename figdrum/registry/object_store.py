"""Interface of the platform's object store.

Explanation
===========

Calls return at once and pass their result to a callback. If the result of a
write is a `StoreError`, the write may or may not have taken effect.

Revisions are those of `figdrum.core.revisions`. If the store was restored from
a copy since a revision was read, a watch or poll from it and a conditional
write with it end with a `HistoryLostError`.
"""

import abc
import collections.abc
import typing

from figdrum.core import errors
from figdrum.core import ids


class HistoryLostError(errors.StoreError):
    """The store no longer has the changes since a revision."""
    code = 'FD203'


class Entry(typing.NamedTuple):
    """An object in the store.

    Attributes:
      name: Its name within its kind.
      revision: Revision of its last change; later ones are higher.
      value: The stored value, decoded; None if it is malformed.
    """
    name: str
    revision: ids.StoreRevision
    value: typing.Any


class Listing(typing.NamedTuple):
    """All objects of a kind.

    Attributes:
      entries: The objects.
      revision: Store revision at which the list is complete.
    """
    entries: tuple[Entry, ...]
    revision: ids.StoreRevision


class Changes(typing.NamedTuple):
    """The changes of a kind since a revision.

    Attributes:
      changed: Objects that are new or have changed, in order.
      removed: Names of removed objects.
      revision: Store revision up to which the changes are complete.
    """
    changed: tuple[Entry, ...]
    removed: tuple[str, ...]
    revision: ids.StoreRevision


class Conflict(typing.NamedTuple):
    """Result of a conditional write that found another revision.

    Attributes:
      entry: The current object; None if there is none.
    """
    entry: Entry | None


OnListing = collections.abc.Callable[[Listing | errors.StoreError], None]
OnChanges = collections.abc.Callable[[Changes | errors.StoreError], None]
OnEntry = collections.abc.Callable[[Entry | None | errors.StoreError], None]
OnWritten = collections.abc.Callable[[Entry | Conflict | errors.StoreError],
                                     None]


class Watch(abc.ABC):
    """A watch that waits for its result."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Ends the wait without a result; does nothing after the result."""


class ObjectStore(abc.ABC):
    """Client of the platform's object store.

    Attributes:
      era: Number of times that the store was restored from a copy, by the
        newest response.
    """
    era: int = 0

    @abc.abstractmethod
    def on_restored(self, fn: collections.abc.Callable[[], None]) -> None:
        """Calls `fn` when a response shows that the store was restored.

        What was written since the copy was made is lost.
        """

    @abc.abstractmethod
    def list_all(self,
                 kind: str,
                 on_result: OnListing,
                 may_lag: bool = False) -> None:
        """Reads all objects of a kind.

        Args:
          kind: Kind of the objects.
          on_result: Called with the result.
          may_lag: Whether the list may be seconds old, at a lower price.
            Otherwise it is as of the call or later.
        """

    @abc.abstractmethod
    def watch(self, kind: str, revision: ids.StoreRevision, may_lag: bool,
              on_result: OnChanges) -> Watch:
        """Waits for changes of a kind after `revision`.

        The result is empty if nothing changes within the store's time limit,
        and a `HistoryLostError` if the store has discarded the changes.

        Args:
          kind: Kind of the objects.
          revision: Revision up to which the changes are known.
          may_lag: Whether changes may arrive seconds late. Such a call costs
            less and does not count towards the store's read rate.
          on_result: Called with the result.
        """

    @abc.abstractmethod
    def poll(self, kind: str, revision: ids.StoreRevision, may_lag: bool,
             on_result: OnChanges) -> None:
        """Reads the changes of a kind after `revision` without waiting.

        The result is as that of a watch, and is empty if the store has no
        changes yet. Polls that may lag and others have a connection each.
        """

    @abc.abstractmethod
    def read(self, kind: str, name: str, on_result: OnEntry) -> None:
        """Reads one object; the result is None if there is none."""

    @abc.abstractmethod
    def write(self, kind: str, name: str, value: typing.Any,
              revision: ids.StoreRevision, on_result: OnWritten) -> None:
        """Writes an object if its current revision is `revision`.

        The revision 0 creates the object.
        """

    @abc.abstractmethod
    def remove(self, kind: str, name: str, revision: ids.StoreRevision,
               on_result: OnWritten) -> None:
        """Removes an object if its current revision is `revision`."""
