"""Keeps the agent in its service's list and monitors the other members."""

import typing

from figdrum.agent import environment
from figdrum.core import ids
from figdrum.core import states
from figdrum.idempotency import claim_registry
from figdrum.membership import leases
from figdrum.membership import list_writer
from figdrum.membership import service_list
from figdrum.messages import codec
from figdrum.telemetry import logs

# Time between attempts of a failing write. An attempt on each tick, every
# 100 ms, would use a tenth of the platform's reads in an outage of one service.
WRITE_INTERVAL_MS = 1_000

_log = logs.part('membership')


class Membership:
    """Maintains the agent's list entry and publishes lost members.

    Args:
      name: The agent's name.
      env: The agent's clock, network and metrics.
      writer: Writes the agent's entry in the list.
      lease_table: Leases of the members, renewed by heartbeats.
      key_lifetime_ms: Lifetime of an idempotency key, in ms.
      on_joined: Called with the incarnation and the list after each join.
    """

    def __init__(self, name: ids.AgentName, env: environment.Environment,
                 writer: list_writer.ListWriter, lease_table: leases.LeaseTable,
                 key_lifetime_ms: int, on_joined: typing.Any):
        self._name = name
        self._env = env
        self._list_writer = writer
        self._leases = lease_table
        self._key_lifetime_ms = key_lifetime_ms
        self._on_joined = on_joined
        self._is_joining = False
        self._is_leaving = False
        self._next_write_ms = 0
        self._lost_since: dict[str, int] = {}
        self._joined_ms: int | None = None
        self._last_pause_ms: int | None = None
        self._member: service_list.Member | None = None

    @property
    def incarnation(self) -> ids.Incarnation:
        """The agent's incarnation, 0 before the first join."""
        return self._list_writer.incarnation

    def start(self) -> None:
        """Joins the list; retries until it succeeds."""
        if self._is_joining or self._is_leaving:
            return
        self._is_joining = True
        self._list_writer.join().addCallback(self._finish_join).addErrback(
            self._on_failure)

    def on_list(self, now_ms: int, members: service_list.ServiceList) -> None:
        """Applies a newer list; joins again if it ends the incarnation."""
        self._list_writer.record_tombstones(now_ms, members)
        self._leases.on_list(now_ms, members, self.incarnation)
        lost = {
            m.name
            for m in members.members
            if m.state is states.MemberState.LOST
        }
        for name in lost:
            self._lost_since.setdefault(name, now_ms)
        self._lost_since = {
            name: at_ms
            for name, at_ms in self._lost_since.items()
            if now_ms - at_ms < self._key_lifetime_ms and
            (name in lost or members.find(name) is None)
        }
        if self._list_writer.is_fenced(members):
            self.start()

    def lost_members(self) -> frozenset[str]:
        """Returns the members lost within the key lifetime."""
        now_ms = self._env.clock.now_ms()
        return frozenset(name for name, at_ms in self._lost_since.items()
                         if now_ms - at_ms < self._key_lifetime_ms)

    def on_heartbeat(self, now_ms: int, heartbeat: typing.Any) -> None:
        """Renews the lease of another member."""
        self._leases.on_heartbeat(now_ms, heartbeat)

    def on_pause(self, now_ms: int) -> None:
        """Records that this process was paused."""
        self._last_pause_ms = now_ms

    def record_completeness(self,
                            now_ms: int) -> claim_registry.RecordCompleteness:
        """Returns how complete this agent's record of claims is."""
        member = self._member
        if member is None or self._joined_ms is None:
            return claim_registry.RecordCompleteness.AMNESIC
        is_new = now_ms - self._joined_ms < self._key_lifetime_ms
        was_paused = (self._last_pause_ms is not None and
                      now_ms - self._last_pause_ms < self._key_lifetime_ms)
        if was_paused or (is_new and member.rejoined):
            return claim_registry.RecordCompleteness.AMNESIC
        # Incarnation 1 is the first member: it has been in the list since the
        # list was created and has missed no claim.
        if not is_new or member.incarnation == 1:
            return claim_registry.RecordCompleteness.MATURE
        return claim_registry.RecordCompleteness.NEW

    def tick(self, now_ms: int) -> None:
        """Sends heartbeats and publishes lost members."""
        tick = self._leases.on_tick(now_ms)
        if tick.heartbeat is not None:
            data = codec.encode(tick.heartbeat)
            for member in tick.to:
                self._env.peers.send(member.address, data)
        if now_ms < self._next_write_ms or self._is_leaving:
            return
        if self._leases.lost_to_publish(now_ms):
            self._next_write_ms = now_ms + WRITE_INTERVAL_MS
            self._list_writer.publish_lost(
                now_ms, lambda: self._leases.lost_to_publish(
                    self._env.clock.now_ms())).addErrback(self._on_failure)
        elif (self._list_writer.has_expired_tombstones(now_ms) and
              self._leases.is_first_live(now_ms)):
            self._next_write_ms = now_ms + WRITE_INTERVAL_MS
            self._list_writer.prune_tombstones(now_ms).addErrback(
                self._on_failure)

    def publish_draining(self) -> None:
        """Publishes the agent as draining; retries until it succeeds."""
        self._is_leaving = True
        self._list_writer.publish_draining().addErrback(self._on_failure)

    def publish_left(self, state: states.MemberState) -> typing.Any:
        """Publishes the agent as left or lost.

        Returns:
          A Deferred that fires when the list was written or the write failed.
        """
        return self._list_writer.leave(state).addErrback(self._on_failure)

    def stop(self) -> None:
        """Stops the retries of writes to the list."""
        self._list_writer.stop()

    def _finish_join(self, members: service_list.ServiceList | None) -> None:
        self._is_joining = False
        own = members.find(self._name) if members else None
        if own is None:
            return
        self._member = own
        self._joined_ms = self._env.clock.now_ms()
        self._on_joined(own.incarnation, members)

    def _on_failure(self, failure) -> None:
        self._env.metrics.incr('membership.failed')
        _log.warning('writing the list failed: %s', failure.getErrorMessage())
