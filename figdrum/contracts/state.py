"""State of all contracts and zones after a number of changes.

Explanation
===========

`ContractState` is immutable and results from applying the entries of the change
log in order. `fold` applies the next entry and raises an error if it
contradicts the state. Proposals, approvals and nodes that replay the log all go
through this check, so they accept the same changes.

Examples
========

>>> state = ContractState.empty()
>>> state.change, state.lookup(('10.9.0.1', 5683))
(0, None)
>>> 'muscat-a' in preview(state, change_lib.ZoneOut('muscat-a')).zones_out
True
"""

import json
import typing

from figdrum.contracts import change as change_lib
from figdrum.contracts import contract as contract_lib
from figdrum.core import errors
from figdrum.core import ids

SNAPSHOT_KEY = 'snapshots/contracts'


class ContractState:
    """Contracts and zones after change number `change`; immutable.

    Attributes:
      change: Number of the last change that the state includes.
      zones_out: Zones that operators have taken out of service.
    """

    def __init__(self, change: int, contracts: dict[str, contract_lib.Contract],
                 zones_out: frozenset[str], versions: dict[str, int]):
        self.change = change
        self.zones_out: frozenset[ids.ZoneName] = frozenset(zones_out)
        self._contracts = contracts
        self._versions = versions
        self._grants = {
            grant.address: grant for contract in contracts.values()
            for grant in contract.grants
        }

    @classmethod
    def empty(cls) -> 'ContractState':
        """Returns the state before the first change."""
        return cls(0, {}, frozenset(), {})

    def __eq__(self, other):
        if not isinstance(other, ContractState):
            return NotImplemented
        return self.to_dict() == other.to_dict()

    def __hash__(self):
        return hash(self.change)

    def lookup(self, address: ids.Address) -> contract_lib.Grant | None:
        """Returns the grant for `address`, or None if no contract has it."""
        return self._grants.get(address)

    def contract(self, customer: str) -> contract_lib.Contract | None:
        """Returns the customer's contract, or None."""
        return self._contracts.get(customer)

    def contracts(self) -> tuple[contract_lib.Contract, ...]:
        """Returns all contracts, sorted by customer name."""
        return tuple(self._contracts[name] for name in sorted(self._contracts))

    def allows(self, customer: str, service: str, src_host: str) -> bool:
        """Returns whether a caller at `src_host` may use `service`."""
        contract = self._contracts.get(customer)
        return (contract is not None and service in contract.services and
                contract.allows_source(src_host))

    def version(self, subject: str) -> int:
        """Returns the number of the last change of `subject`, or 0.

        A subject is a contract or a zone, see `change.contract_subject` and
        `change.zone_subject`.
        """
        return self._versions.get(subject, 0)

    def to_dict(self) -> dict:
        """Returns the state as a JSON object."""
        return {
            'change': self.change,
            'contracts': [contract.to_dict() for contract in self.contracts()],
            'zones_out': sorted(self.zones_out),
            'versions': self._versions,
        }

    @classmethod
    def from_dict(cls, doc: typing.Any) -> 'ContractState':
        """Returns the state that the JSON object `doc` describes.

        Raises:
          errors.ContractError: if `doc` is not a valid state.
        """
        try:
            contracts = [
                contract_lib.Contract.from_dict(row) for row in doc['contracts']
            ]
            versions = {str(k): int(v) for k, v in doc['versions'].items()}
            return cls(int(doc['change']), {c.customer: c for c in contracts},
                       frozenset(doc['zones_out']), versions)
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            raise errors.ContractError('read state', SNAPSHOT_KEY,
                                       repr(exc)) from exc

    def apply(self, body: change_lib.Body, n: int) -> 'ContractState':
        """Returns the state after `body` is applied as change number `n`.

        Raises:
          errors.ContractError: if `body` contradicts this state, for example
            because it grants an address of another customer.
        """
        contracts = dict(self._contracts)
        zones_out = self.zones_out
        if isinstance(body, change_lib.ContractSet):
            self._check_grants(body.contract)
            contracts[body.contract.customer] = body.contract
        elif isinstance(body, change_lib.ContractRemove):
            if contracts.pop(body.customer, None) is None:
                raise _contract_error(body, 'the customer has no contract')
        elif isinstance(body, change_lib.ZoneOut):
            if body.zone in zones_out:
                raise _contract_error(body,
                                      'the zone is already out of service')
            zones_out = zones_out | {body.zone}
        elif isinstance(body, change_lib.ZoneIn):
            if body.zone not in zones_out:
                raise _contract_error(body, 'the zone is already in service')
            zones_out = zones_out - {body.zone}
        return ContractState(n, contracts, zones_out,
                             self._versions | {body.subject: n})

    def _check_grants(self, contract: contract_lib.Contract) -> None:
        for grant in contract.grants:
            existing = self.lookup(grant.address)
            if existing is not None and existing.customer != contract.customer:
                host, port = grant.address
                n = self.version(change_lib.contract_subject(existing.customer))
                raise errors.ContractError(
                    'check change', contract.customer,
                    f'{host}:{port} is granted to customer {existing.customer} '
                    f'since change {n}')


class Snapshot(typing.NamedTuple):
    """A state that is stored so that readers need not read the whole log.

    Attributes:
      state: State after change number `state.change`.
      revision: Store revision of the object `changes/<state.change>`. Later
        changes have higher revisions, so a reader continues from here.
    """
    state: ContractState
    revision: int

    def to_json(self) -> str:
        """Returns the value to store under `snapshots/contracts`."""
        return json.dumps(
            {
                'state': self.state.to_dict(),
                'revision': self.revision
            },
            sort_keys=True)

    @classmethod
    def from_json(cls, text: str) -> 'Snapshot':
        """Returns the snapshot in the value of `snapshots/contracts`.

        Raises:
          errors.ContractError: if it is not a valid snapshot.
        """
        try:
            doc = json.loads(text)
            return cls(ContractState.from_dict(doc['state']),
                       int(doc['revision']))
        except (KeyError, TypeError, ValueError, RecursionError) as exc:
            raise errors.ContractError('read snapshot', SNAPSHOT_KEY,
                                       repr(exc)) from exc


def preview(state: ContractState, body: change_lib.Body) -> ContractState:
    """Returns the state as it would be if `body` were the next change.

    Raises:
      errors.ContractError: if `body` contradicts `state`.
    """
    return state.apply(body, state.change + 1)


def fold(state: ContractState, change: change_lib.Change) -> ContractState:
    """Returns the state after the log entry `change`.

    Raises:
      errors.ContractError: if the number of `change` is not the next one, or
        if the change contradicts `state`.
    """
    if change.n != state.change + 1:
        raise errors.ContractError(
            'fold change', change_lib.key(change.n),
            f'change {state.change + 1} is expected next')
    return state.apply(change.body, change.n)


def _contract_error(body: change_lib.Body, reason: str) -> errors.ContractError:
    return errors.ContractError('check change', body.subject, reason)
