"""A node's copy of the platform's objects at a revision.

Explanation
===========

A replica at revision r holds every object in its scope whose latest revision
is at most r; it may hold newer ones. A `Delta` is complete between two
revisions, so it is applied only by a replica that has reached its `since`.
Neither the replica's revision, nor an object's, nor the number of the last
change ever decreases, whatever the order in which deltas arrive.

Old changes are folded into a *base*: the contract state after one change, with
the revision of that change's object. A peer behind the base receives it in
place of the changes; a peer ahead of it does not. The platform's snapshot
enters a replica in the same form.

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

CHUNK_BYTES = 16_000
"""Largest delta, unless one list is larger; the rest is for the frame."""

KEPT_CHANGES = 100
"""Changes kept after the base; at twice as many the base moves up."""

_ENTRY_OVERHEAD_BYTES = 24

_log = logging.getLogger(__name__)


class Scope(typing.NamedTuple):
    """The objects that a replica holds.

    Attributes:
      prefixes: All keys with one of these prefixes.
      keys: Single keys.
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
    """The objects in a scope, complete up to `revision`.

    Attributes:
      fault: Why a change or list could not be read, or ''. The replica then
        keeps the last state that it could read.
    """

    def __init__(self, scope: Scope = BALANCER_SCOPE):
        self._scope = scope
        self._revision = 0
        self._entries: dict[str, control.Entry] = {}
        self._by_revision: list[control.Entry] | None = []
        self._state = state_lib.ContractState.empty()
        self._base = state_lib.Snapshot(self._state, 0)
        self._base_entry: control.Entry | None = None
        self._lists: dict[str, service_list_lib.ServiceList] = {}
        self._registries: dict[str, registry_lib.Registry] = {}
        self.fault = ''

    @property
    def revision(self) -> int:
        """Revision up to which this replica is complete."""
        return self._revision

    @property
    def contracts(self) -> state_lib.ContractState:
        """The contract state after the last change that follows without a
        gap."""
        return self._state

    def service_list(self, service: str) -> service_list_lib.ServiceList:
        """Returns the newest known list of `service`, empty if unknown."""
        found = self._lists.get(service)
        return found or service_list_lib.ServiceList.empty(service)

    def services(self) -> tuple[str, ...]:
        """Returns the names of the services with a list, sorted."""
        return tuple(sorted(self._lists))

    def registry(self, zone: str) -> registry_lib.Registry:
        """Returns the newest known registry of `zone`, empty if unknown."""
        found = self._registries.get(zone)
        return found or registry_lib.Registry.empty(zone)

    def balancers(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns the registered balancers of all zones."""
        return tuple(balancer for _, found in sorted(self._registries.items())
                     for balancer in found.balancers)

    def accepts(self, delta: control.Delta) -> bool:
        """Returns whether `delta` continues or overlaps this replica."""
        return delta.since <= self._revision

    def apply(self, delta: control.Delta) -> tuple[str, ...]:
        """Applies `delta` if the replica accepts it.

        Returns:
          The keys of objects that are new or newer than before.
        """
        if not self.accepts(delta):
            return ()
        changed = tuple(
            entry.key for entry in delta.entries if self._apply_entry(entry))
        self._revision = max(self._revision, delta.revision)
        if changed:
            self._by_revision = None
            self._fold()
        return changed

    def delta_since(self,
                    revision: int,
                    scope: Scope | None = None,
                    limit_bytes: int = CHUNK_BYTES) -> control.Delta:
        """Returns what a replica at `revision` lacks, or the first part of it.

        Explanation: the `since` of the delta is the revision of the last object
        at or before `revision`, since nothing in scope changed in between. A
        receiver that missed changes out of its scope accepts it all the same.

        Args:
          revision: Revision of the receiver.
          scope: Scope of the receiver; by default this replica's.
          limit_bytes: Bound on the size of several entries together.

        Returns:
          A delta without a confirmation age.
        """
        index = self._index(scope)
        start = bisect.bisect_right(index, revision, key=lambda e: e.revision)
        since = index[start - 1].revision if start else 0
        chosen: list[control.Entry] = []
        size = 0
        for entry in index[start:]:
            size += _size(entry)
            if chosen and size > limit_bytes:
                return control.Delta(since, chosen[-1].revision, tuple(chosen),
                                     -1)
            chosen.append(entry)
        return control.Delta(since, max(self._revision, since), tuple(chosen),
                             -1)

    def changes_after(self,
                      n: int,
                      limit_bytes: int = CHUNK_BYTES) -> control.Delta:
        """Returns contract changes after number `n` for a replica at any
        revision.

        Explanation: the delta claims to be complete up to revision 0 only, so
        every replica accepts it and none moves its revision by it. It lets
        contract changes overtake lists.

        Args:
          n: Number of the receiver's last change.
          limit_bytes: Bound on the size of several changes together.

        Returns:
          A delta; without entries if the receiver needs the base first.
        """
        chosen: list[control.Entry] = []
        size = 0
        for change_number in range(n + 1, self._state.change + 1):
            entry = self._entries.get(change_lib.key(change_number))
            if entry is None:
                break
            size += _size(entry)
            if chosen and size > limit_bytes:
                break
            chosen.append(entry)
        return control.Delta(0, 0, tuple(chosen), -1)

    def _index(self, scope: Scope | None) -> list[control.Entry]:
        """Returns the entries up to the replica's revision, in order."""
        if self._by_revision is None:
            entries = list(self._entries.values())
            if self._base_entry is not None:
                entries.append(self._base_entry)
            self._by_revision = sorted(entries, key=lambda e: e.revision)
        end = bisect.bisect_right(self._by_revision,
                                  self._revision,
                                  key=lambda e: e.revision)
        held = self._by_revision[:end]
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
            if n <= self._base.state.change or not self._replaces(n, entry):
                return False
            self._entries[entry.key] = entry
            return True
        held = self._entries.get(entry.key)
        if held is not None and held.revision >= entry.revision:
            return False
        self._entries[entry.key] = entry
        self._read_list(entry)
        return True

    def _replaces(self, n: int, entry: control.Entry) -> bool:
        """Returns whether `entry` is new or mends a change not folded yet."""
        held = self._entries.get(entry.key)
        return held is None or (n > self._state.change and
                                entry.revision > held.revision)

    def _read_list(self, entry: control.Entry) -> None:
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
            self._report(entry.key, exc)

    def _apply_snapshot(self, entry: control.Entry) -> bool:
        if entry.key != state_lib.SNAPSHOT_KEY:
            return False
        try:
            snapshot = state_lib.Snapshot.from_json(entry.value)
        except errors.ContractError as exc:
            self._report(entry.key, exc)
            return False
        if snapshot.state.change <= self._state.change:
            return False
        self._state = snapshot.state
        self._move_base(snapshot)
        return True

    def _fold(self) -> None:
        """Folds the changes that follow the state without a gap."""
        while True:
            entry = self._entries.get(change_lib.key(self._state.change + 1))
            if entry is None:
                break
            try:
                change = change_lib.Change.from_json(entry.value)
                self._state = state_lib.fold(self._state, change)
            except errors.ContractError as exc:
                self._report(entry.key, exc)
                return
        if self._state.change - self._base.state.change >= 2 * KEPT_CHANGES:
            self._move_base(self._snapshot_at(self._state.change -
                                              KEPT_CHANGES))

    def _snapshot_at(self, n: int) -> state_lib.Snapshot:
        state, revision = self._base.state, self._base.revision
        while state.change < n:
            entry = self._entries[change_lib.key(state.change + 1)]
            state = state_lib.fold(state,
                                   change_lib.Change.from_json(entry.value))
            revision = entry.revision
        return state_lib.Snapshot(state, revision)

    def _move_base(self, snapshot: state_lib.Snapshot) -> None:
        self._base = snapshot
        self._base_entry = control.Entry(state_lib.SNAPSHOT_KEY,
                                         snapshot.to_json(),
                                         snapshot.state.change,
                                         snapshot.revision)
        self._by_revision = None
        for key in list(self._entries):
            if 0 < change_lib.change_number(key) <= snapshot.state.change:
                del self._entries[key]

    def _report(self, key: str, exc: errors.FigdrumError) -> None:
        fault = f'{key}: {exc}'
        if self.fault != fault:
            self.fault = fault
            _log.error('sync: %s', fault)


def _size(entry: control.Entry) -> int:
    return len(entry.key) + len(entry.value.encode()) + _ENTRY_OVERHEAD_BYTES
