"""Sizes of the two users' sites, from section 1 of docs/design.md."""

import typing

from figdrum.contracts import change
from figdrum.contracts import contract
from figdrum.contracts import state

LIMITS = contract.Limits(100_000, 10_000, 10_000)
# Like `LIMITS`, more than the callers of the bench use.
LOWERED_LIMITS = contract.Limits(50_000, 5_000, 5_000)


class Service(typing.NamedTuple):
    """A service and its number of servers."""
    name: str
    servers: int


class Site(typing.NamedTuple):
    """The size of a user's site.

    Attributes:
      name: Name of the user.
      zones: Names of the availability zones.
      services: Services and their numbers of servers.
      slots: Number of requests that a server runs at once.
      zone_hop_ms: One-way delay between zones, in ms.
      customers: Names of customers.
      balancers_per_zone: Number of balancers in each zone.
    """
    name: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    slots: int
    zone_hop_ms: float
    customers: tuple[str, ...] = ('customer-a', 'customer-b', 'customer-c')
    balancers_per_zone: int = 2

    def address(self, customer: str, service: str) -> tuple[str, int]:
        """Returns the service address of a customer."""
        names = [s.name for s in self.services]
        return (f'10.9.{self.customers.index(customer)}'
                f'.{names.index(service) + 1}', 5683)

    def contract(self,
                 customer: str,
                 limits: contract.Limits = LIMITS) -> change.ContractSet:
        """Returns the change that sets a customer's contract."""
        grants = tuple(
            contract.Grant(customer, s.name, self.address(customer, s.name))
            for s in self.services)
        return change.ContractSet(
            contract.Contract(customer, grants, (), limits,
                              1 + self.customers.index(customer)))

    def contracts(self) -> state.ContractState:
        """Returns the contracts at the start."""
        found = state.ContractState.empty()
        for customer in self.customers:
            found = state.preview(found, self.contract(customer))
        return found

    def zone_of(self, number: int) -> str:
        """Returns the zone of a server or balancer by its number."""
        return self.zones[number % len(self.zones)]


AL_SAHIL = Site('al-sahil', ('muscat-a', 'muscat-b', 'sohar-a', 'nizwa-a'),
                (Service('fieldbook', 7), Service('reportdesk', 4)), 1, 0.5)
CABELEIRA = Site('cabeleira', ('pt-main-a', 'pt-main-b', 'pt-main-c'),
                 (Service('booking', 7), Service('catalogue', 3)), 2, 1.0)
SITES = (AL_SAHIL, CABELEIRA)
