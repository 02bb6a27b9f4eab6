"""Interface through which parts of an agent read its state."""

import abc

from twisted.internet import defer

from figdrum.core import ids
from figdrum.idempotency import claim_registry
from figdrum.membership import service_list


class AgentView(abc.ABC):
    """Read access to the state of an agent and its service.

    Attributes:
      name: The agent's name.
      incarnation: Its incarnation, 0 before the first join.
      members: The newest list of its service that it knows.
    """
    name: ids.AgentName
    incarnation: ids.Incarnation
    members: service_list.ServiceList

    @abc.abstractmethod
    def lost_members(self) -> frozenset[str]:
        """Returns the members that this agent first saw as lost within the
        key lifetime."""

    @abc.abstractmethod
    def record_completeness(self) -> claim_registry.RecordCompleteness:
        """Returns how complete this agent's record of claims is."""

    @abc.abstractmethod
    def can_run(self) -> bool:
        """Returns False before the join, after the lease expired and while the
        zone is out."""

    @abc.abstractmethod
    def fetch(self, list_version: int) -> defer.Deferred:
        """Asks the balancers for a newer list.

        Returns:
          A Deferred that fires with None when the list has `list_version` or
          the time limit for parked packets has passed.
        """
