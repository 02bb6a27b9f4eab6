"""State of an agent in its service: list, contracts, zone and lease."""

import typing

from twisted.internet import defer

from figdrum.admission import controller
from figdrum.admission import shares
from figdrum.agent import agent_view
from figdrum.agent import list_waits
from figdrum.agent import membership
from figdrum.contracts import state as contract_state
from figdrum.core import clock as clock_lib
from figdrum.core import ids
from figdrum.core import states
from figdrum.idempotency import claim_registry
from figdrum.membership import service_list
from figdrum.ownership import decision
from figdrum.ownership import owner as owner_lib


class AgentState(agent_view.AgentView):
    """What this agent knows of its service and of itself.

    Args:
      cfg: Settings, see `figdrum.settings.schema.Settings`.
      clock: Source of the time.
      owner: Decides which flows this agent holds.
      own_membership: The agent's membership in its service.
      waits: Packets and operations that wait for a newer list.

    Attributes:
      service: Service of the target.
      zone: The agent's zone.
      contracts: The contracts in force.
      is_zone_out: True while operators have taken the zone out of service.
      waits: Packets and operations that wait for a newer list.
    """

    def __init__(self, cfg: typing.Any, clock: clock_lib.Clock,
                 owner: owner_lib.Owner, own_membership: membership.Membership,
                 waits: list_waits.ListWaits):
        self.name = ids.AgentName(cfg.process.name)
        self.service = ids.ServiceName(cfg.agent.service)
        self.zone = ids.ZoneName(cfg.process.zone)
        self.members = service_list.ServiceList.empty(cfg.agent.service)
        self.contracts = contract_state.ContractState.empty()
        self.is_zone_out = False
        self._clock = clock
        self._owner = owner
        self._membership = own_membership
        self.waits = waits

    @property
    def incarnation(self) -> ids.Incarnation:
        """The agent's incarnation, 0 before the first join."""
        return self._membership.incarnation

    def update_list(self, members: service_list.ServiceList) -> None:
        """Replaces the list if `members` is newer."""
        if members.version > self.members.version:
            self.members = members

    def update_zone(self) -> bool:
        """Updates `is_zone_out` from the contracts.

        Returns:
          True if `is_zone_out` changed.
        """
        before, self.is_zone_out = (self.is_zone_out, self.zone
                                    in self.contracts.zones_out)
        return before != self.is_zone_out

    def admitting_members(self) -> tuple[str, ...]:
        """Returns the names of the active members, which share the limits."""
        return tuple(m.name
                     for m in self.members.routable(self.contracts.zones_out)
                     if m.state is states.MemberState.ACTIVE)

    def allows(self, customer: str, src_host: str) -> bool:
        """Returns True if a contract in force allows the caller."""
        return self.contracts.allows(customer, self.service, src_host)

    def terms(self, customer: str) -> controller.Terms | None:
        """Returns a customer's rank and limits, or None without a contract."""
        contract = self.contracts.contract(customer)
        if contract is None or self.service not in contract.services:
            return None
        limits = contract.limits
        return controller.Terms(
            contract.rank,
            shares.Limits(limits.flows, limits.new_flows, limits.requests))

    def phase(self) -> decision.Phase:
        """Returns the phase, which limits what this agent can decide."""
        return self._owner.phase(self._clock.now_ms())

    def lost_members(self) -> frozenset[str]:
        return self._membership.lost_members()

    def record_completeness(self) -> claim_registry.RecordCompleteness:
        return self._membership.record_completeness(self._clock.now_ms())

    def can_run(self) -> bool:
        return (not self.is_zone_out and
                self.phase() is not decision.Phase.FENCED)

    def fetch(self, list_version: int) -> defer.Deferred:
        if self.members.version >= list_version:
            return defer.succeed(None)
        return self.waits.wait(self._clock.now_ms(), list_version)
