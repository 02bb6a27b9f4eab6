"""In-memory replica of the platform's objects.

Explanation
===========

A replica at revision r holds every object in its scope whose latest revision
is at most r. It may hold newer objects as well. A `Delta` is complete between
two revisions, so it is applied only by a replica that has reached its `since`.
The replica's revision, an object's revision and the number of the last contract
change never decrease, whatever the order in which deltas arrive.

Old changes are folded into a *base*: the contract state after one change, with
the revision of that change's object. A peer behind the base receives the base
instead of the changes; a peer ahead of it does not. A snapshot from the
platform is stored as the base, too.

Examples
========

>>> replica = Replica()
>>> replica.apply(control.Delta(0, 7, (
...     control.Entry('lists/fieldbook', '{"members": []}', 1, 5),), -1))
('lists/fieldbook',)
>>> replica.revision, replica.service_list('fieldbook').version
(7, 1)
>>> replica.apply(control.Delta(9, 12, (), -1)), replica.revision
((), 7)
"""

import bisect
import logging
import typing

from figdrum.contracts import change as change_lib
from figdrum.contracts import state as state_lib
from figdrum.core import errors
from figdrum.membership import service_list as service_list_lib
from figdrum.messages import control
from figdrum.sync import registry as registry_lib

LISTS_PREFIX = 'lists/'
SNAPSHOTS_PREFIX = 'snapshots/'

MAX_DELTA_BYTES = 16_000
"""Largest delta, unless a single list is larger; leaves room for headers."""

RETAINED_CHANGES = 100
"""Changes kept after the base. At twice as many the base is moved forward."""

_ENTRY_OVERHEAD_BYTES = 24

_log = logging.getLogger(__name__)


class Scope(typing.NamedTuple):
    """Selects the objects that a replica holds.

    Attributes:
      prefixes: Prefixes of keys in scope.
      keys: Single keys in scope.
    """
    prefixes: tuple[str, ...]
    keys: tuple[str, ...] = ()

    def covers(self, key: str) -> bool:
        """Returns whether the object under `key` is in scope."""
        return key in self.keys or key.startswith(self.prefixes)


BALANCER_SCOPE = Scope(
    (change_lib.PREFIX, SNAPSHOTS_PREFIX, LISTS_PREFIX, registry_lib.PREFIX))


def agent_scope(service: str) -> Scope:
    """Returns the scope of an agent of `service`."""
    return Scope((change_lib.PREFIX, SNAPSHOTS_PREFIX),
                 (LISTS_PREFIX + service,))


class Replica:
    """The platform's objects in a scope, complete up to `revision`.

    Attributes:
      object_error: Why an object is invalid, or ''. The replica keeps the last
        state that it could decode.
    """

    def __init__(self, scope: Scope = BALANCER_SCOPE):
        self._scope = scope
        self._revision = 0
        self._entries: dict[str, control.Entry] = {}
        self._entries_by_revision: list[control.Entry] | None = []
        self._state = state_lib.ContractState.empty()
        self._base = state_lib.Snapshot(self._state, 0)
        self._base_entry: control.Entry | None = None
        self._lists: dict[str, service_list_lib.ServiceList] = {}
        self._registries: dict[str, registry_lib.Registry] = {}
        self.object_error = ''

    @property
    def revision(self) -> int:
        """Revision up to which this replica is complete."""
        return self._revision

    @property
    def contracts(self) -> state_lib.ContractState:
        """The contract state after the last change before the first gap."""
        return self._state

    def service_list(self, service: str) -> service_list_lib.ServiceList:
        """Returns the latest known list of `service`, or an empty list."""
        found = self._lists.get(service)
        return found or service_list_lib.ServiceList.empty(service)

    def services(self) -> tuple[str, ...]:
        """Returns the names of the services with a list, sorted."""
        return tuple(sorted(self._lists))

    def registry(self, zone: str) -> registry_lib.Registry:
        """Returns the latest known registry of `zone`, or an empty one."""
        found = self._registries.get(zone)
        return found or registry_lib.Registry.empty(zone)

    def balancers(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns the registered balancers of all zones."""
        return tuple(balancer for _, found in sorted(self._registries.items())
                     for balancer in found.balancers)

    def accepts(self, delta: control.Delta) -> bool:
        """Returns whether no revision is missing between this and `delta`."""
        return delta.since <= self._revision

    def apply(self, delta: control.Delta) -> tuple[str, ...]:
        """Applies `delta` if the replica accepts it.

        Returns:
          The keys of objects that were added or updated.
        """
        if not self.accepts(delta):
            return ()
        changed = tuple(
            entry.key for entry in delta.entries if self._apply_entry(entry))
        self._revision = max(self._revision, delta.revision)
        if changed:
            self._entries_by_revision = None
            self._fold_changes()
        return changed

    def delta_since(self,
                    revision: int,
                    scope: Scope | None = None,
                    limit_bytes: int = MAX_DELTA_BYTES) -> control.Delta:
        """Returns what a replica at `revision` lacks, or the first part of it.

        Explanation: the delta's `since` is the revision of the last object in
        scope at or before `revision`, because nothing in scope changed between
        the two. A receiver whose revision is lower because of changes outside
        its scope accepts the delta, too.

        Args:
          revision: Revision of the receiver.
          scope: Scope of the receiver; by default this replica's.
          limit_bytes: Maximum total size of the entries, unless there is only
            one.

        Returns:
          A delta without a confirmation age.
        """
        index = self._entries_in_scope(scope)
        start = bisect.bisect_right(index, revision, key=lambda e: e.revision)
        since = index[start - 1].revision if start else 0
        entries: list[control.Entry] = []
        size = 0
        for entry in index[start:]:
            size += _entry_bytes(entry)
            if entries and size > limit_bytes:
                return control.Delta(since, entries[-1].revision,
                                     tuple(entries), -1)
            entries.append(entry)
        return control.Delta(since, max(self._revision, since), tuple(entries),
                             -1)

    def changes_after(self,
                      n: int,
                      limit_bytes: int = MAX_DELTA_BYTES) -> control.Delta:
        """Returns the contract changes after change number `n`.

        Explanation: the delta is marked complete up to revision 0 only, so that
        a replica at any revision accepts it and keeps its revision. This sends
        contract changes ahead of lists.

        Args:
          n: Number of the receiver's last change.
          limit_bytes: Maximum total size of the changes, unless there is only
            one.

        Returns:
          A delta; it has no entries if the receiver needs the base first.
        """
        entries: list[control.Entry] = []
        size = 0
        for change_number in range(n + 1, self._state.change + 1):
            entry = self._entries.get(change_lib.key(change_number))
            if entry is None:
                break
            size += _entry_bytes(entry)
            if entries and size > limit_bytes:
                break
            entries.append(entry)
        return control.Delta(0, 0, tuple(entries), -1)

    def _entries_in_scope(self, scope: Scope | None) -> list[control.Entry]:
        """Returns the entries up to the replica's revision, by revision."""
        if self._entries_by_revision is None:
            entries = list(self._entries.values())
            if self._base_entry is not None:
                entries.append(self._base_entry)
            self._entries_by_revision = sorted(entries,
                                               key=lambda e: e.revision)
        end = bisect.bisect_right(self._entries_by_revision,
                                  self._revision,
                                  key=lambda e: e.revision)
        held = self._entries_by_revision[:end]
        if scope is None:
            return held
        return [entry for entry in held if scope.covers(entry.key)]

    def _apply_entry(self, entry: control.Entry) -> bool:
        if not self._scope.covers(entry.key):
            return False
        if entry.key.startswith(SNAPSHOTS_PREFIX):
            return self._apply_snapshot(entry)
        if entry.key.startswith(change_lib.PREFIX):
            n = change_lib.change_number(entry.key)
            if n <= self._base.state.change or not self._is_new_version(
                    n, entry):
                return False
            self._entries[entry.key] = entry
            return True
        held = self._entries.get(entry.key)
        if held is not None and held.revision >= entry.revision:
            return False
        self._entries[entry.key] = entry
        self._decode_object(entry)
        return True

    def _is_new_version(self, n: int, entry: control.Entry) -> bool:
        """Returns whether `entry` is new or replaces a change not yet folded.

        A change that could not be decoded is corrected by a newer revision of
        its object.
        """
        held = self._entries.get(entry.key)
        return held is None or (n > self._state.change and
                                entry.revision > held.revision)

    def _decode_object(self, entry: control.Entry) -> None:
        try:
            if entry.key.startswith(LISTS_PREFIX):
                service = entry.key.removeprefix(LISTS_PREFIX)
                self._lists[service] = service_list_lib.ServiceList.from_json(
                    service, entry.version, entry.value)
            elif entry.key.startswith(registry_lib.PREFIX):
                zone = entry.key.removeprefix(registry_lib.PREFIX)
                self._registries[zone] = registry_lib.Registry.from_json(
                    zone, entry.version, entry.value)
        except errors.MessageError as exc:
            self._report_error(entry.key, exc)

    def _apply_snapshot(self, entry: control.Entry) -> bool:
        if entry.key != state_lib.SNAPSHOT_KEY:
            return False
        try:
            snapshot = state_lib.Snapshot.from_json(entry.value)
        except errors.ContractError as exc:
            self._report_error(entry.key, exc)
            return False
        if snapshot.state.change <= self._state.change:
            return False
        self._state = snapshot.state
        self._set_base(snapshot)
        return True

    def _fold_changes(self) -> None:
        """Applies the changes that follow the contract state without a gap."""
        while True:
            entry = self._entries.get(change_lib.key(self._state.change + 1))
            if entry is None:
                break
            try:
                change = change_lib.Change.from_json(entry.value)
                self._state = state_lib.fold(self._state, change)
            except errors.ContractError as exc:
                self._report_error(entry.key, exc)
                return
        if self._state.change - self._base.state.change >= 2 * RETAINED_CHANGES:
            self._set_base(
                self._snapshot_at(self._state.change - RETAINED_CHANGES))

    def _snapshot_at(self, n: int) -> state_lib.Snapshot:
        state, revision = self._base.state, self._base.revision
        while state.change < n:
            entry = self._entries[change_lib.key(state.change + 1)]
            state = state_lib.fold(state,
                                   change_lib.Change.from_json(entry.value))
            revision = entry.revision
        return state_lib.Snapshot(state, revision)

    def _set_base(self, snapshot: state_lib.Snapshot) -> None:
        self._base = snapshot
        self._base_entry = control.Entry(state_lib.SNAPSHOT_KEY,
                                         snapshot.to_json(),
                                         snapshot.state.change,
                                         snapshot.revision)
        self._entries_by_revision = None
        for key in list(self._entries):
            if 0 < change_lib.change_number(key) <= snapshot.state.change:
                del self._entries[key]

    def _report_error(self, key: str, exc: errors.FigdrumError) -> None:
        object_error = f'{key}: {exc}'
        if self.object_error != object_error:
            self.object_error = object_error
            _log.error('sync: invalid object %s', object_error)


def _entry_bytes(entry: control.Entry) -> int:
    return len(entry.key) + len(entry.value.encode()) + _ENTRY_OVERHEAD_BYTES
