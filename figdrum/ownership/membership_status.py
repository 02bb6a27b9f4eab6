"""What an agent may decide, from its place in its service's list."""

import typing

from figdrum.core import limits
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.ownership import decision
from figdrum.ownership import flow_table

# An agent ticks each 100 ms. Others pass it over after 1,500 ms, so one that
# was paused long enough to be passed over always sees a gap this large.
WAKE_GAP_MS = limits.WAKE_GAP_MS
# Every change of a list is in force everywhere within this time; a version
# that has not arrived by then was not a true one.
CHANGE_PROPAGATION_LIMIT_MS = limits.CHANGE_PROPAGATION_LIMIT_MS


class MembershipStatus(typing.NamedTuple):
    """An agent's place in its service's list.

    Attributes:
      name: This agent.
      incarnation: List version at which it joined.
      draining: True once it is asked to stop.
      inquiring_until_ms: End of rules R2, R5 and R6, on the agent's clock.
      amnesic_until_ms: End of the time in which it may have forgotten a flow.
      epoch: Number of its next inquiry in this incarnation.
      acknowledged_by: Members that have shown a list containing this agent.
      unheard_since_pause: Members that have not been heard since this agent was paused.
      newest_version: Highest list version that another member has shown.
      newest_version_ms: When that was.
    """
    name: str
    incarnation: int
    draining: bool = False
    inquiring_until_ms: int = 0
    amnesic_until_ms: int = 0
    epoch: int = 0
    acknowledged_by: frozenset[str] = frozenset()
    unheard_since_pause: frozenset[str] = frozenset()
    newest_version: int = 0
    newest_version_ms: int = 0

    def after_join(self, now_ms: int,
                   members: service_list.ServiceList) -> 'MembershipStatus':
        """Returns the standing after the first list that has this agent.

        The first member that a service ever has need not ask anyone.
        """
        if len(members.members) == 1 and members.version == 1:
            return self._replace(inquiring_until_ms=now_ms)
        until_ms = now_ms + flow_table.EXCHANGE_LIFETIME_MS
        me = members.find(self.name)
        return self._replace(
            inquiring_until_ms=until_ms,
            amnesic_until_ms=until_ms if me and me.rejoined else now_ms)

    def after_pause(self, now_ms: int,
                    members: service_list.ServiceList) -> 'MembershipStatus':
        """Returns the standing after a gap in the agent's clock.

        The agent decides nothing until it has heard the other members, since
        it may have been marked lost and its flows taken over.
        """
        until_ms = now_ms + flow_table.EXCHANGE_LIFETIME_MS
        return self._replace(
            inquiring_until_ms=until_ms,
            amnesic_until_ms=until_ms,
            epoch=self.epoch + 1,
            unheard_since_pause=frozenset(
                m.name for m in members.routable() if m.name != self.name))

    def after_inquiry(self, epoch: int) -> 'MembershipStatus':
        """Returns the standing after inquiry number `epoch` was opened."""
        return self._replace(epoch=max(self.epoch, epoch + 1))

    def after_heartbeat(self, now_ms: int, member: str,
                        list_version: int) -> 'MembershipStatus':
        """Returns the standing after a heartbeat of another member."""
        acknowledged_by = self.acknowledged_by
        if list_version >= self.incarnation:
            acknowledged_by = acknowledged_by | {member}
        return self._replace(
            acknowledged_by=acknowledged_by,
            unheard_since_pause=self.unheard_since_pause - {member},
            newest_version=max(self.newest_version, list_version),
            newest_version_ms=(now_ms if list_version > self.newest_version else
                               self.newest_version_ms))

    def phase(self, now_ms: int, members: service_list.ServiceList,
              zones_out: frozenset[str],
              suspects: frozenset[str]) -> decision.Phase:
        """Returns what the agent may decide now.

        Args:
          now_ms: The agent's time.
          members: Its service's list.
          zones_out: Zones that operators have taken out.
          suspects: Members that do not answer this agent.
        """
        me = members.find(self.name)
        if me is None or me.incarnation != self.incarnation or me.state in (
                states.MemberState.LOST, states.MemberState.LEFT):
            return decision.Phase.FENCED
        is_behind = (self.newest_version > members.version and
                     now_ms - self.newest_version_ms
                     < CHANGE_PROPAGATION_LIMIT_MS)
        if is_behind or self.unheard_since_pause - suspects:
            return decision.Phase.BEHIND
        if self.draining or me.state is states.MemberState.DRAINING:
            return decision.Phase.DRAINING
        # A member that joined later has read a list with this agent in it.
        if any(m.name not in self.acknowledged_by and
               m.incarnation < self.incarnation
               for m in members.routable(zones_out)):
            return decision.Phase.JOINING
        if now_ms < self.inquiring_until_ms:
            return decision.Phase.INQUIRING
        return decision.Phase.SETTLED
