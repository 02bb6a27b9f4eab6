"""What the agent's parts ask about its own place in its service."""

import abc

from twisted.internet import defer

from figdrum.core import ids
from figdrum.idempotency import claim_registry
from figdrum.membership import service_list


class AgentView(abc.ABC):
    """The agent as its parts see it.

    Attributes:
      name: The agent's name.
      incarnation: Its incarnation, 0 before the first join.
      members: The newest list of its service that it knows.
    """
    name: ids.AgentName
    incarnation: ids.Incarnation
    members: service_list.ServiceList

    @abc.abstractmethod
    def lost(self) -> frozenset[str]:
        """Returns the members lost within the key lifetime, as first seen
        here."""

    @abc.abstractmethod
    def claim_standing(self) -> claim_registry.RecordCompleteness:
        """Returns what a missing claim at this agent proves."""

    @abc.abstractmethod
    def can_run(self) -> bool:
        """Returns False before the join and once the lease has lapsed."""

    @abc.abstractmethod
    def fetch(self, list_version: int) -> defer.Deferred:
        """Asks a balancer for the list.

        Returns:
          A Deferred that fires when the list has `list_version`, or after the
          time that packets are parked.
        """
