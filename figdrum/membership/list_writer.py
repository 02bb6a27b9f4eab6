"""Writes the states of this member and of lost members to the service's list.

Explanation
===========

Every write is a conditional update of `lists/<service>`, see `updates`. A
member's incarnation is the version of the list that its join created, so only
one write can have created it. If the write of a join got no response, an entry
with an incarnation that this process tried to write, and with its address, is
its own: the port is bound, so an earlier process of the same name and address
had ended before this one first read the list.

One observer marks at most max(1, n // 3) members of a list of n as lost within
10 s, so that an observer that is cut off from the network never empties a
service. Once the list was read, it checks again which members are silent, since
some may have been heard while the platform was slow.

Examples
========

See `figdrum/membership/tests/test_list_writer.py`.
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
    """Times that limit the writes.

    Attributes:
        lost_window_ms: Time in which at most a third of a list is marked as
          lost.
        tombstone_ms: Time for which lost and left members stay in the list.
    """
    lost_window_ms: int = limits_lib.LOST_WINDOW_MS
    tombstone_ms: int = limits_lib.IDEMPOTENCY_KEY_LIFETIME_MS


class _Tombstone(typing.NamedTuple):
    name: ids.AgentName
    incarnation: ids.Incarnation
    state: states.MemberState

    @classmethod
    def of(cls, member: service_list.Member) -> '_Tombstone':
        """Returns the tombstone of a lost or left member."""
        return cls(member.name, member.incarnation, member.state)


class ListWriter:
    """Writes one agent's changes to its service's list."""

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
        self._attempted_incarnations: set[int] = set()
        self._leaving = False
        self._is_marking_lost = False
        self._marked_ms: dict[leases.LostMember, int] = {}
        self._tombstones: dict[_Tombstone, int] = {}

    @property
    def incarnation(self) -> ids.Incarnation:
        """This agent's incarnation, 0 before the first join."""
        return self._incarnation

    def join(self) -> defer.Deferred:
        """Adds this member as active; retried until it succeeds.

        Call it again when `is_fenced` returns True. It changes nothing if the
        list already has this member with an incarnation of this process.

        Returns:
            A Deferred of the `ServiceList` with this member, or of None if the
            member leaves first.
        """
        return self._updater.retry_until_done(
            lambda: self._update(self._with_own)).addCallback(self._on_joined)

    def publish_draining(self) -> defer.Deferred:
        """Marks this member as draining; retried until it succeeds."""
        return self._updater.retry_until_done(
            lambda: self._update(self._with_draining))

    def leave(
            self,
            state: states.MemberState = states.MemberState.LEFT
    ) -> defer.Deferred:
        """Marks this member as left; retried until it succeeds or `stop`.

        A join in progress ends. If the platform does not answer, other members
        later mark this one as lost.

        Args:
          state: LEFT, or LOST for a member that could not hand over all its
            claims.
        """
        self._leaving = True
        return self._updater.retry_until_done(lambda: self._update(
            lambda members: self._with_left(members, state)))

    def stop(self) -> None:
        """Ends all retries."""
        self._updater.stop()

    def is_fenced(self, members: service_list.ServiceList) -> bool:
        """Returns True if `members` shows that this incarnation has ended.

        The process has to join again before it admits or runs anything.
        """
        if not self._incarnation or members.version < self._incarnation:
            return False
        own = members.find(self._name)
        return (own is None or own.incarnation != self._incarnation or
                own.state in _TOMBSTONES)

    def publish_lost(self, now_ms: int,
                     due: LostMembersQuery) -> defer.Deferred:
        """Marks silent members as lost, as many as the limit allows.

        Has no effect while an earlier call waits for the platform.

        Args:
            now_ms: Time on this process's clock.
            due: Returns the silent members, see `LeaseTable.lost_to_publish`;
                called after the list was read.

        Returns:
            A Deferred that fails with `errors.StoreError` if the platform does
            not answer; the caller retries while members are silent.
        """
        if self._is_marking_lost:
            return defer.succeed(None)
        self._is_marking_lost = True

        def done(result):
            self._is_marking_lost = False
            return result

        return self._update(lambda members: self._with_lost(
            now_ms, members, due())).addBoth(done)

    def record_tombstones(self, now_ms: int,
                          members: service_list.ServiceList) -> None:
        """Records when each tombstone of a list was first seen."""
        present = {
            _Tombstone.of(m) for m in members.members if m.state in _TOMBSTONES
        }
        self._tombstones = {
            tombstone: self._tombstones.get(tombstone, now_ms)
            for tombstone in present
        }

    def has_expired_tombstones(self, now_ms: int) -> bool:
        """Returns True if `prune_tombstones` has something to do."""
        return bool(self._expired_tombstones(now_ms))

    def prune_tombstones(self, now_ms: int) -> defer.Deferred:
        """Removes tombstones that were first seen at least 300 s ago.

        300 s is the default of `ListWriterLimits.tombstone_ms`. The Deferred
        fails with `errors.StoreError` as in `publish_lost`.
        """
        expired = self._expired_tombstones(now_ms)

        def change(members):
            for member in members.members:
                if _Tombstone.of(member) in expired:
                    members = members.without(member.name)
            return members

        return self._update(change)

    def _expired_tombstones(self, now_ms: int) -> frozenset[_Tombstone]:
        return frozenset(
            tombstone for tombstone, seen_ms in self._tombstones.items()
            if now_ms - seen_ms >= self._limits.tombstone_ms)

    def _on_joined(self, members: service_list.ServiceList | None):
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
        self._attempted_incarnations.add(incarnation)
        return members.with_member(
            service_list.Member(self._name, self._address, self._zone,
                                incarnation, states.MemberState.ACTIVE, before
                                is not None))

    def _is_own(self, member: service_list.Member) -> bool:
        return (member.incarnation in self._attempted_incarnations and
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
        self._marked_ms = {
            lost: marked_ms
            for lost, marked_ms in self._marked_ms.items()
            if now_ms - marked_ms < self._limits.lost_window_ms
        }
        if self.is_fenced(members):
            return members
        alive = {(m.name, m.incarnation): m for m in members.routable()}
        marked = sum(1 for lost in self._marked_ms if lost not in alive)
        limit = max(1, (len(alive) + marked) // 3)
        for lost in due:
            if lost not in alive or lost.name == self._name:
                continue
            if lost not in self._marked_ms and len(self._marked_ms) >= limit:
                _log.warning(
                    '%d members of %s were marked as lost within the limit '
                    'window; not marking %s yet', len(self._marked_ms),
                    self._service, lost.name)
                break
            self._marked_ms[lost] = now_ms
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
