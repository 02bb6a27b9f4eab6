"""Failure detection among the members of a service's list by heartbeats.

Explanation
===========

The members of a list send each other a heartbeat every 500 ms. A member is
suspected after 1,500 ms without one. After 3,000 ms the first live member in
name order publishes it as lost. This time starts when this process first sees
the member's incarnation, and again after a gap in this process's own clock,
because after a pause the heartbeats of others are still unread.

A heartbeat carries the sender's list version. A version at or above this
agent's incarnation acknowledges this agent's join (rule R1). Members with a
higher incarnation joined a list that already had this agent in it, so their
acknowledgement is not needed.

Examples
========

>>> from figdrum.core import states
>>> a, b = [service_list.Member(n, ('10.0.0.1', port), 'a', port - 6999,
...                             states.MemberState.ACTIVE)
...         for n, port in (('s-1', 7000), ('s-2', 7001))]
>>> table = LeaseTable('s-2')
>>> table.on_list(0, service_list.ServiceList('s', 2, (a, b)), 2)
>>> table.is_join_acknowledged()
False
>>> table.on_heartbeat(100, datagram.Heartbeat('s-1', 1, 2))
>>> table.is_join_acknowledged()
True
>>> (sorted(table.suspected(1600)), table.lost_to_publish(3099),
...  table.lost_to_publish(3100))
(['s-1'], (), (LostMember(name='s-1', incarnation=1),))

References
==========

Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency", SOSP 1989.
"""

import dataclasses
import typing

from figdrum.core import ids
from figdrum.core import limits as limits_lib
from figdrum.membership import service_list
from figdrum.messages import datagram


class LeaseLimits(typing.NamedTuple):
    """Times of heartbeats and leases.

    Attributes:
        heartbeat_ms: Time between heartbeats.
        suspect_after_ms: Time without a heartbeat after which a member is
          suspected and no longer used.
        lost_after_ms: Time without a heartbeat after which a member has to be
          published as lost.
        pause_gap_ms: Gap between ticks that counts as a pause of this process.
    """
    heartbeat_ms: int = limits_lib.HEARTBEAT_MS
    suspect_after_ms: int = limits_lib.SUSPECT_AFTER_MS
    lost_after_ms: int = limits_lib.LOST_AFTER_MS
    pause_gap_ms: int = limits_lib.WAKE_GAP_MS


class LostMember(typing.NamedTuple):
    """One incarnation of a member that ended without a leave."""
    name: ids.AgentName
    incarnation: ids.Incarnation


class TickResult(typing.NamedTuple):
    """What a tick found.

    Attributes:
        gap_ms: Length of a gap in this process's clock, 0 without one.
        heartbeat: Heartbeat to send now, or None.
        to: Members to send it to.
    """
    gap_ms: int
    heartbeat: datagram.Heartbeat | None
    to: tuple[service_list.Member, ...]


@dataclasses.dataclass(slots=True)
class _Lease:
    member: service_list.Member
    heard_ms: int
    list_version: int = 0


class LeaseTable:
    """Last heartbeats of the other members of one list."""

    def __init__(self, name: ids.AgentName,
                 limits: LeaseLimits = LeaseLimits()):
        self._name = name
        self._limits = limits
        self._incarnation = ids.Incarnation(0)
        self._list = service_list.ServiceList.empty('')
        self._leases: dict[str, _Lease] = {}
        self._last_tick_ms: int | None = None
        self._next_heartbeat_ms = 0

    def on_list(self, now_ms: int, members: service_list.ServiceList,
                incarnation: ids.Incarnation) -> None:
        """Applies a list unless a newer one is known.

        Args:
            now_ms: Time on this process's clock.
            members: The list.
            incarnation: This agent's incarnation, 0 before the join.
        """
        is_new_incarnation = incarnation != self._incarnation
        if is_new_incarnation:
            # Acknowledgements are evaluated against the new incarnation; list
            # versions at or above it may have been received already.
            self._incarnation = incarnation
            self._next_heartbeat_ms = now_ms
        if members.version < self._list.version:
            return
        self._list = members
        leases = {}
        for member in members.routable():
            if member.name == self._name:
                continue
            known = self._leases.get(member.name)
            if known is None or known.member.incarnation < member.incarnation:
                known = _Lease(member, now_ms)
            known.member = member
            if is_new_incarnation:
                # Others send heartbeats to this agent only after they have
                # received a list with its join.
                known.heard_ms = now_ms
            leases[member.name] = known
        self._leases = leases

    def on_heartbeat(self, now_ms: int, heartbeat: datagram.Heartbeat) -> None:
        """Records a heartbeat; one of an earlier incarnation is ignored."""
        lease = self._leases.get(heartbeat.name)
        if (lease is None or heartbeat.incarnation < lease.member.incarnation):
            return
        lease.heard_ms = max(lease.heard_ms, now_ms)
        lease.list_version = max(lease.list_version, heartbeat.list_version)

    def on_tick(self, now_ms: int) -> TickResult:
        """Detects a gap in the clock and returns the heartbeat to send.

        Call this every 100 ms.
        """
        gap_ms = 0
        if (self._last_tick_ms is not None and
                now_ms - self._last_tick_ms >= self._limits.pause_gap_ms):
            gap_ms = now_ms - self._last_tick_ms
            for lease in self._leases.values():
                lease.heard_ms = now_ms
        self._last_tick_ms = now_ms
        if not self._incarnation or now_ms < self._next_heartbeat_ms:
            return TickResult(gap_ms, None, ())
        self._next_heartbeat_ms = now_ms + self._limits.heartbeat_ms
        return TickResult(
            gap_ms,
            datagram.Heartbeat(self._name, self._incarnation,
                               self._list.version),
            tuple(lease.member for lease in self._leases.values()))

    def is_join_acknowledged(self) -> bool:
        """Returns True if all other routable members know this agent's join."""
        if not self._incarnation or self._list.version < self._incarnation:
            return False
        return all(lease.list_version >= self._incarnation or
                   lease.member.incarnation > self._incarnation
                   for lease in self._leases.values())

    def suspected(self, now_ms: int) -> frozenset[ids.AgentName]:
        """Returns the names of the members that are suspected."""
        return frozenset(lease.member.name
                         for lease in self._leases.values()
                         if now_ms -
                         lease.heard_ms >= self._limits.suspect_after_ms)

    def is_first_live(self, now_ms: int) -> bool:
        """Returns True if this member is the first live one in name order."""
        suspected = self.suspected(now_ms)
        return self._is_in_list() and not any(
            name < self._name and name not in suspected
            for name in self._leases)

    def lost_to_publish(self, now_ms: int) -> tuple[LostMember, ...]:
        """Returns the members that this one has to publish as lost.

        Empty unless this member is the first live one in name order.
        """
        if not self.is_first_live(now_ms):
            return ()
        return tuple(
            LostMember(lease.member.name, lease.member.incarnation)
            for lease in self._leases.values()
            if now_ms - lease.heard_ms >= self._limits.lost_after_ms)

    def _is_in_list(self) -> bool:
        own = next((m for m in self._list.routable() if m.name == self._name),
                   None)
        return own is not None and own.incarnation == self._incarnation
