"""Writes the own member's and lost members' states to the service's list.

Explanation
===========

Every write is a conditional update of `lists/<service>`, see `updates`. A
member's incarnation is the version of the list that its join created, so only
one write can have made it. After a join without an answer, an entry with an
incarnation that this process tried, and with its address, is its own write:
the port is bound, so an earlier process of the same name and address was gone
before this one first read the list.

One observer marks at most max(1, n // 3) members of a list of n as lost within
10 s, so that one that is cut off never empties a service. It asks again which
members are silent when the list was read, as some may have been heard while
the platform was slow.

Examples
========

See `figdrum/membership/tests/test_lister.py`.
"""

import collections.abc
import random
import typing

from twisted.internet import defer

from figdrum.core import ids
from figdrum.core import limits as limits_lib
from figdrum.core import ports
from figdrum.core import states
from figdrum.membership import leases
from figdrum.membership import service_list
from figdrum.membership import updates
from figdrum.object_api import store
from figdrum.telemetry import logs

_TOMBSTONES = (states.MemberState.LOST, states.MemberState.LEFT)

_log = logs.part('membership')

LostMembersQuery = collections.abc.Callable[[], tuple[leases.LostMember, ...]]


class ListWriterLimits(typing.NamedTuple):
    """Times of the writes.

    Attributes:
        lost_window_ms: Time in which a third of a list is marked at most.
        tombstone_ms: Time that lost and left members stay in the list.
    """
    lost_window_ms: int = limits_lib.LOST_WINDOW_MS
    tombstone_ms: int = limits_lib.IDEMPOTENCY_KEY_LIFETIME_MS


class _Tombstone(typing.NamedTuple):
    name: ids.AgentName
    incarnation: ids.Incarnation
    state: states.MemberState

    @classmethod
    def of(cls, member: service_list.Member) -> '_Tombstone':
        """Returns the tombstone that `member` is."""
        return cls(member.name, member.incarnation, member.state)


class ListWriter:
    """One agent's writes to its service's list."""

    def __init__(self,
                 db: store.Store,
                 timers: ports.Timers,
                 service: ids.ServiceName,
                 name: ids.AgentName,
                 address: ids.Address,
                 zone: ids.ZoneName,
                 rng: random.Random,
                 limits: ListWriterLimits = ListWriterLimits()):
        self._service = service
        self._name = name
        self._address = address
        self._zone = zone
        self._limits = limits
        self._updater = updates.ObjectUpdater(db, timers, f'lists/{service}',
                                              rng)
        self._incarnation = ids.Incarnation(0)
        self._tried: set[int] = set()
        self._leaving = False
        self._marking = False
        self._marks: dict[leases.LostMember, int] = {}
        self._tombstones: dict[_Tombstone, int] = {}

    @property
    def incarnation(self) -> ids.Incarnation:
        """The own incarnation, 0 before the first join."""
        return self._incarnation

    def join(self) -> defer.Deferred:
        """Adds the own member as active; retried until it is done.

        Call it again when `is_fenced` returns True. It changes nothing if the
        member is in the list already with an incarnation of its own.

        Returns:
            A Deferred of the `ServiceList` with the own member, or of None if
            the member leaves before that.
        """
        return self._updater.retry_until_done(
            lambda: self._update(self._with_own)).addCallback(self._joined)

    def publish_draining(self) -> defer.Deferred:
        """Marks the own member as draining; retried until it is done."""
        return self._updater.retry_until_done(
            lambda: self._update(self._with_draining))

    def leave(
            self,
            state: states.MemberState = states.MemberState.LEFT
    ) -> defer.Deferred:
        """Marks the own member as left; retried until it is done or `stop`.

        A join that is under way ends. A member without an answer from the
        platform is marked as lost by the others later.

        Args:
          state: LEFT, or LOST for a member that could not give away what it
            knew.
        """
        self._leaving = True
        return self._updater.retry_until_done(lambda: self._update(
            lambda members: self._with_left(members, state)))

    def stop(self) -> None:
        """Ends all repetitions."""
        self._updater.stop()

    def is_fenced(self, members: service_list.ServiceList) -> bool:
        """Returns True if `members` says that the own incarnation ended.

        The process must then join again before it admits or runs anything.
        """
        if not self._incarnation or members.version < self._incarnation:
            return False
        own = members.find(self._name)
        return (own is None or own.incarnation != self._incarnation or
                own.state in _TOMBSTONES)

    def publish_lost(self, now_ms: int,
                     due: LostMembersQuery) -> defer.Deferred:
        """Marks silent members as lost, as many as the limit allows.

        Without effect while an earlier call waits for the platform.

        Args:
            now_ms: Own clock.
            due: Returns the members that are silent, see
                `LeaseTable.lost_to_publish`; called once the list was read.

        Returns:
            A Deferred that fails with `errors.StoreError` if the platform does
            not answer; the caller tries again while members are silent.
        """
        if self._marking:
            return defer.succeed(None)
        self._marking = True

        def done(result):
            self._marking = False
            return result

        return self._update(lambda members: self._with_lost(
            now_ms, members, due())).addBoth(done)

    def record_tombstones(self, now_ms: int,
                          members: service_list.ServiceList) -> None:
        """Notes when tombstones were first seen."""
        present = {
            _Tombstone.of(m) for m in members.members if m.state in _TOMBSTONES
        }
        self._tombstones = {
            tombstone: self._tombstones.get(tombstone, now_ms)
            for tombstone in present
        }

    def has_old_tombstones(self, now_ms: int) -> bool:
        """Returns True if `prune_tombstones` has something to do."""
        return bool(self._old_tombstones(now_ms))

    def prune_tombstones(self, now_ms: int) -> defer.Deferred:
        """Removes tombstones that were first seen here 300 s ago or earlier.

        The Deferred fails with `errors.StoreError` as in `publish_lost`.
        """
        old = self._old_tombstones(now_ms)

        def change(members):
            for member in members.members:
                if _Tombstone.of(member) in old:
                    members = members.without(member.name)
            return members

        return self._update(change)

    def _old_tombstones(self, now_ms: int) -> frozenset[_Tombstone]:
        return frozenset(
            tombstone for tombstone, seen_ms in self._tombstones.items()
            if now_ms - seen_ms >= self._limits.tombstone_ms)

    def _joined(self, members: service_list.ServiceList | None):
        own = members.find(self._name) if members is not None else None
        if own is None or not self._is_own(own):
            return None
        self._incarnation = own.incarnation
        _log.info('%s joined %s as incarnation %d', self._name, self._service,
                  own.incarnation)
        return members

    def _with_own(
            self,
            members: service_list.ServiceList) -> service_list.ServiceList:
        before = members.find(self._name)
        if self._leaving or (before is not None and self._is_own(before) and
                             before.state not in _TOMBSTONES):
            return members
        incarnation = ids.Incarnation(members.version + 1)
        self._tried.add(incarnation)
        return members.with_member(
            service_list.Member(self._name, self._address, self._zone,
                                incarnation, states.MemberState.ACTIVE, before
                                is not None))

    def _is_own(self, member: service_list.Member) -> bool:
        return (member.incarnation in self._tried and
                member.address == self._address)

    def _with_draining(
            self,
            members: service_list.ServiceList) -> service_list.ServiceList:
        own = members.find(self._name)
        if (own is None or not self._is_own(own) or
                own.state is not states.MemberState.ACTIVE):
            return members
        return members.with_member(
            own._replace(state=states.MemberState.DRAINING))

    def _with_left(self, members: service_list.ServiceList,
                   state: states.MemberState) -> service_list.ServiceList:
        own = members.find(self._name)
        if own is None or not self._is_own(own) or own.state in _TOMBSTONES:
            return members
        return members.with_member(own._replace(state=state))

    def _with_lost(
            self, now_ms: int, members: service_list.ServiceList,
            due: tuple[leases.LostMember, ...]) -> service_list.ServiceList:
        self._marks = {
            lost: at
            for lost, at in self._marks.items()
            if now_ms - at < self._limits.lost_window_ms
        }
        if self.is_fenced(members):
            return members
        alive = {(m.name, m.incarnation): m for m in members.routable()}
        marked = sum(1 for lost in self._marks if lost not in alive)
        limit = max(1, (len(alive) + marked) // 3)
        for lost in due:
            if lost not in alive or lost.name == self._name:
                continue
            if lost not in self._marks and len(self._marks) >= limit:
                _log.warning('%d members of %s marked as lost, %s has to wait',
                             len(self._marks), self._service, lost.name)
                break
            self._marks[lost] = now_ms
            members = members.with_member(
                alive[lost]._replace(state=states.MemberState.LOST))
        return members

    def _update(
        self, change: collections.abc.Callable[[service_list.ServiceList],
                                               service_list.ServiceList]
    ) -> defer.Deferred:

        def edit(value: str | None, version: int) -> str | None:
            before = self._read(value, version)
            after = change(before)
            return None if after == before else after.to_json()

        return self._updater.update(edit).addCallback(
            lambda written: self._read(*written))

    def _read(self, value: str | None,
              version: int) -> service_list.ServiceList:
        if value is None:
            return service_list.ServiceList.empty(self._service)
        return service_list.ServiceList.from_json(self._service, version, value)
