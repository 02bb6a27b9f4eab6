"""Data types of a customer's contract.

Explanation
===========

A contract maps each of the customer's addresses to a service, lists the
networks from which its callers are admitted, limits the load that it places on
a service, and ranks the customer for the case that load has to be shed. The
types are immutable and check their fields when they are built: invalid input
raises `errors.ContractError`.

Examples
========

>>> contract = Contract('al-sahil',
...                     (Grant('al-sahil', 'fieldbook', ('10.9.0.1', 5683)),),
...                     ('192.0.2.0/24',), Limits(2000, 100, 40), 1)
>>> Contract.from_json(contract.to_json()) == contract
True
>>> contract.allows_source('192.0.2.7'), contract.allows_source('198.51.100.1')
(True, False)
>>> Limits(-1, 0, 0)
Traceback (most recent call last):
...
figdrum.core.errors.ContractError: FD400 check contract: limit flows is -1 \
(peer limits)
"""

import dataclasses
import functools
import ipaddress
import json
import re
import typing

from figdrum.core import errors
from figdrum.core import ids

BEST_RANK = 1
WORST_RANK = 9
MAX_PORT = 65_535

# Names become part of object keys, log lines and metric names, so only
# characters that need no escaping there are allowed.
_NAME_PATTERN = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')


def check_name(kind: str, name: typing.Any) -> None:
    """Checks the syntax of a customer, service or zone name.

    Args:
      kind: What is named, for the error message.
      name: Name to check, of any type.

    Raises:
      errors.ContractError: if `name` is not 1 to 63 lower-case letters,
        digits, dots, underscores or hyphens that begin with a letter or digit.
    """
    if not isinstance(name, str) or not _NAME_PATTERN.fullmatch(name):
        raise _contract_error(kind,
                              f'{kind} name {str(name)[:70]!r} is not valid')


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Maps one address of a customer to a service.

    Attributes:
      customer: Customer whose contract holds the grant.
      service: Service that receives the packets sent to the address.
      address: IPv4 address and UDP port of the service for this customer.
    """
    customer: ids.CustomerId
    service: ids.ServiceName
    address: ids.Address

    def __post_init__(self):
        check_name('customer', self.customer)
        check_name('service', self.service)
        try:
            host, port = self.address
            canonical = str(ipaddress.IPv4Address(host))
        except (TypeError, ValueError) as exc:
            raise _contract_error('grant', f'address: {exc}') from exc
        if canonical != host or not isinstance(host, str):
            raise _contract_error(
                'grant', f'host {host!r} is not a dotted IPv4 address')
        if not _is_int(port) or not 1 <= port <= MAX_PORT:
            raise _contract_error('grant',
                                  f'port {port!r} is not within 1 to 65535')


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Upper limits on a customer's load, for each service that it uses.

    Attributes:
      flows: Open flows.
      new_flows: New flows per second.
      requests: Requests in progress.
    """
    flows: int
    new_flows: int
    requests: int

    def __post_init__(self):
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            if not _is_int(value) or value < 0:
                raise _contract_error('limits',
                                      f'limit {field.name} is {value!r}')


# No slots: functools.cached_property stores its value in __dict__.
@dataclasses.dataclass(frozen=True)
class Contract:
    """A customer's contract.

    Attributes:
      customer: Name of the customer.
      grants: Addresses of the customer; an address occurs once.
      sources: Networks of admitted callers in CIDR notation; if empty, callers
        from all networks are admitted.
      limits: Load limits, for each service separately.
      rank: Priority when load is shed, from `BEST_RANK` (1, shed last) to
        `WORST_RANK` (9, shed first).
    """
    customer: ids.CustomerId
    grants: tuple[Grant, ...]
    sources: tuple[str, ...]
    limits: Limits
    rank: int

    def __post_init__(self):
        check_name('customer', self.customer)
        addresses = [grant.address for grant in self.grants]
        if len(set(addresses)) != len(addresses):
            raise _contract_error(self.customer, 'an address is granted twice')
        for grant in self.grants:
            if grant.customer != self.customer:
                raise _contract_error(
                    self.customer, f'a grant names customer {grant.customer}')
        for source in self.sources:
            try:
                ipaddress.IPv4Network(source)
            except ValueError as exc:
                raise _contract_error(self.customer, f'source: {exc}') from exc
        if not _is_int(self.rank) or not BEST_RANK <= self.rank <= WORST_RANK:
            raise _contract_error(self.customer,
                                  f'rank {self.rank!r} is not within 1 to 9')

    @functools.cached_property
    def services(self) -> frozenset[str]:
        """Names of the services for which the customer has a grant."""
        return frozenset(grant.service for grant in self.grants)

    def allows_source(self, host: str) -> bool:
        """Returns whether a caller at IPv4 address `host` is admitted."""
        if not self._networks:
            return True
        address = int(ipaddress.IPv4Address(host))
        return any(address & mask == net for net, mask in self._networks)

    @functools.cached_property
    def _networks(self) -> tuple[tuple[int, int], ...]:
        networks = [ipaddress.IPv4Network(source) for source in self.sources]
        return tuple(
            (int(net.network_address), int(net.netmask)) for net in networks)

    def to_dict(self) -> dict:
        """Returns the contract as a JSON object."""
        return {
            'customer': self.customer,
            'grants': [{
                'service': grant.service,
                'host': grant.address[0],
                'port': grant.address[1],
            } for grant in self.grants],
            'sources': list(self.sources),
            'limits': dataclasses.asdict(self.limits),
            'rank': self.rank,
        }

    def to_json(self) -> str:
        """Returns the contract as JSON text."""
        return json.dumps(self.to_dict(), sort_keys=True)

    @classmethod
    def from_dict(cls, doc: typing.Any) -> 'Contract':
        """Returns the contract that the JSON object `doc` describes.

        Raises:
          errors.ContractError: if a field is missing, unknown or invalid.
        """
        try:
            _check_fields(doc, cls)
            customer = doc['customer']
            grants = tuple(
                Grant(customer, row['service'], (row['host'], row['port']))
                for row in doc['grants'])
            return cls(customer, grants, _parse_strings(doc['sources']),
                       Limits(**doc['limits']), doc['rank'])
        except (KeyError, TypeError, ValueError) as exc:
            raise _contract_error('contract', repr(exc)) from exc

    @classmethod
    def from_json(cls, text: str) -> 'Contract':
        """Returns the contract in JSON text; see `from_dict` for errors."""
        try:
            doc = json.loads(text)
        except (ValueError, RecursionError) as exc:
            raise _contract_error('contract', repr(exc)) from exc
        return cls.from_dict(doc)


def _check_fields(doc: typing.Any, cls: type) -> None:
    names = {field.name for field in dataclasses.fields(cls)}
    if set(doc) != names:
        raise ValueError(f'fields are {sorted(doc)}, not {sorted(names)}')


def _parse_strings(values: typing.Any) -> tuple[str, ...]:
    if not isinstance(values, list) or not all(
            isinstance(value, str) for value in values):
        raise TypeError('expected a list of strings')
    return tuple(values)


def _is_int(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _contract_error(peer: str, reason: str) -> errors.ContractError:
    return errors.ContractError('check contract', str(peer), reason)
