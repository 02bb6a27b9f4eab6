"""An agent's status in its service's list, and what it may decide by it."""

import typing

from figdrum.core import limits
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.ownership import decision
from figdrum.ownership import flow_table

# An agent ticks every 100 ms and is suspected by others after 1,500 ms, so an
# agent that was paused long enough to be suspected always sees such a gap.
WAKE_GAP_MS = limits.WAKE_GAP_MS
# Every change of a list is in force everywhere within this time. A version
# that a member named but that has not arrived by then does not exist.
CHANGE_PROPAGATION_LIMIT_MS = limits.CHANGE_PROPAGATION_LIMIT_MS


class MembershipStatus(typing.NamedTuple):
    """An agent's status in its service's list.

    Attributes:
      name: This agent.
      incarnation: List version at which it joined.
      draining: True once it was asked to stop.
      inquiring_until_ms: Until then, on the agent's clock, the agent asks the
        other members before it admits a flow (rules R2, R5 and R6).
      amnesic_until_ms: Until then the agent may lack the record of a flow,
        because it restarted or was paused.
      next_inquiry_number: Number of its next inquiry in this incarnation.
      acknowledged_by: Members that have sent the version of a list with this
        agent in it.
      unheard_since_pause: Members without a heartbeat since this agent was
        paused.
      newest_version: Highest list version that another member has sent.
      newest_version_ms: Time when that version was first received.
    """
    name: str
    incarnation: int
    draining: bool = False
    inquiring_until_ms: int = 0
    amnesic_until_ms: int = 0
    next_inquiry_number: int = 0
    acknowledged_by: frozenset[str] = frozenset()
    unheard_since_pause: frozenset[str] = frozenset()
    newest_version: int = 0
    newest_version_ms: int = 0

    def after_join(self, now_ms: int,
                   members: service_list.ServiceList) -> 'MembershipStatus':
        """Returns the status after the first list that has this agent.

        The first member that a service ever has need not inquire.
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
        """Returns the status after a pause of this process.

        The agent decides nothing until it has received a heartbeat of each
        other member, since it may have been marked as lost and its flows taken
        over.
        """
        until_ms = now_ms + flow_table.EXCHANGE_LIFETIME_MS
        return self._replace(
            inquiring_until_ms=until_ms,
            amnesic_until_ms=until_ms,
            next_inquiry_number=self.next_inquiry_number + 1,
            unheard_since_pause=frozenset(
                m.name for m in members.routable() if m.name != self.name))

    def after_inquiry(self, inquiry_number: int) -> 'MembershipStatus':
        """Returns the status after the inquiry was started."""
        return self._replace(
            next_inquiry_number=max(self.next_inquiry_number, inquiry_number +
                                    1))

    def after_heartbeat(self, now_ms: int, member: str,
                        list_version: int) -> 'MembershipStatus':
        """Returns the status after a heartbeat of another member."""
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
          now_ms: Time on the agent's clock.
          members: Its service's list.
          zones_out: Zones that operators have taken out.
          suspects: Members that are suspected by this agent.
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
        # A member that joined later did so on a list with this agent in it, so
        # its acknowledgement is not needed.
        if any(m.name not in self.acknowledged_by and
               m.incarnation < self.incarnation
               for m in members.routable(zones_out)):
            return decision.Phase.JOINING
        if now_ms < self.inquiring_until_ms:
            return decision.Phase.INQUIRING
        return decision.Phase.SETTLED
