"""The platform's object store as nodes use it.

Explanation
===========

Calls return at once; the outcome goes to a callback. An outcome that is a
`StoreError` means that nobody knows whether a write has taken effect.
"""

import abc
import collections.abc
import typing

from figdrum.core import errors


class HistoryLostError(errors.StoreError):
    """The store no longer has the changes since a revision."""
    code = 'FD203'


class Entry(typing.NamedTuple):
    """An object in the store.

    Attributes:
      name: Its name within its kind.
      revision: Revision of its last change.
      value: What was stored, decoded; None if it is unreadable.
    """
    name: str
    revision: int
    value: typing.Any


class Listing(typing.NamedTuple):
    """All objects of a kind.

    Attributes:
      entries: The objects.
      revision: Revision of the store to which they are complete.
    """
    entries: tuple[Entry, ...]
    revision: int


class Changes(typing.NamedTuple):
    """What has changed since a revision.

    Attributes:
      changed: Objects that are new or have changed, in order.
      removed: Names of objects that are gone.
      revision: Revision of the store to which the changes are complete.
    """
    changed: tuple[Entry, ...]
    removed: tuple[str, ...]
    revision: int


class Conflict(typing.NamedTuple):
    """A conditional write found another revision.

    Attributes:
      entry: The object as it is; None if it is gone.
    """
    entry: Entry | None


OnListing = collections.abc.Callable[[Listing | errors.StoreError], None]
OnChanges = collections.abc.Callable[[Changes | errors.StoreError], None]
OnEntry = collections.abc.Callable[[Entry | None | errors.StoreError], None]
OnWritten = collections.abc.Callable[[Entry | Conflict | errors.StoreError],
                                     None]


class ObjectStore(abc.ABC):
    """Client of the platform's object store."""

    @abc.abstractmethod
    def list_all(self, kind: str, on_result: OnListing) -> None:
        """Reads all objects of a kind, not older than the call."""

    @abc.abstractmethod
    def watch(self, kind: str, revision: int, on_result: OnChanges) -> None:
        """Waits for changes of a kind after `revision`.

        The result is empty if nothing changes for some time, and a
        `HistoryLostError` if the changes are no longer known.
        """

    @abc.abstractmethod
    def read(self, kind: str, name: str, on_result: OnEntry) -> None:
        """Reads one object; the result is None if there is none."""

    @abc.abstractmethod
    def write(self, kind: str, name: str, value: typing.Any, revision: int,
              on_result: OnWritten) -> None:
        """Stores an object if its revision is `revision`; 0 creates it."""

    @abc.abstractmethod
    def remove(self, kind: str, name: str, revision: int,
               on_result: OnWritten) -> None:
        """Removes an object if its revision is `revision`."""
