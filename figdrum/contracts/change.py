"""Entries of the change log.

Explanation
===========

A `Body` describes one modification of one subject, which is a customer's
contract or a zone. A `Change` is an approved body together with its number and
its audit data. Numbers are consecutive from 1. Change n is stored as the object
`changes/<n>`, with n padded to ten digits so that keys sort by number.

Examples
========

>>> key(17)
'changes/0000000017'
>>> change_number('changes/0000000017')
17
>>> body_from_dict(ZoneOut('muscat-a').to_dict())
ZoneOut(zone='muscat-a')
"""

import abc
import dataclasses
import json
import typing

from figdrum.contracts import contract as contract_lib
from figdrum.core import errors
from figdrum.core import ids

PREFIX = 'changes/'
_KEY_DIGITS = 10


class Body(abc.ABC):
    """Base of the modifications that a change can make.

    Attributes:
      kind: Value of the JSON field `kind`, which identifies the subclass.
    """
    __slots__ = ()

    kind: typing.ClassVar[str]

    @property
    @abc.abstractmethod
    def subject(self) -> str:
        """Key of the contract or zone that is modified.

        A proposal is refused when its subject has changed since it was made.
        """

    @abc.abstractmethod
    def to_dict(self) -> dict:
        """Returns the body as a JSON object with the field `kind`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContractSet(Body):
    """Adds a contract or replaces the customer's contract."""
    contract: contract_lib.Contract

    kind: typing.ClassVar[str] = 'contract-set'

    @property
    def subject(self) -> str:
        return contract_subject(self.contract.customer)

    def to_dict(self) -> dict:
        return {'kind': self.kind, 'contract': self.contract.to_dict()}


@dataclasses.dataclass(frozen=True, slots=True)
class ContractRemove(Body):
    """Removes a customer's contract."""
    customer: ids.CustomerId

    kind: typing.ClassVar[str] = 'contract-remove'

    def __post_init__(self):
        contract_lib.check_name('customer', self.customer)

    @property
    def subject(self) -> str:
        return contract_subject(self.customer)

    def to_dict(self) -> dict:
        return {'kind': self.kind, 'customer': self.customer}


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOut(Body):
    """Takes a zone out of service."""
    zone: ids.ZoneName

    kind: typing.ClassVar[str] = 'zone-out'

    def __post_init__(self):
        contract_lib.check_name('zone', self.zone)

    @property
    def subject(self) -> str:
        return zone_subject(self.zone)

    def to_dict(self) -> dict:
        return {'kind': self.kind, 'zone': self.zone}


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneIn(Body):
    """Puts a zone back into service."""
    zone: ids.ZoneName

    kind: typing.ClassVar[str] = 'zone-in'

    def __post_init__(self):
        contract_lib.check_name('zone', self.zone)

    @property
    def subject(self) -> str:
        return zone_subject(self.zone)

    def to_dict(self) -> dict:
        return {'kind': self.kind, 'zone': self.zone}


def contract_subject(customer: str) -> str:
    """Returns the subject of changes to a customer's contract."""
    return f'contract/{customer}'


def zone_subject(zone: str) -> str:
    """Returns the subject of changes to a zone."""
    return f'zone/{zone}'


def body_from_dict(doc: typing.Any) -> Body:
    """Returns the body that the JSON object `doc` describes.

    Raises:
      errors.ContractError: if its kind is unknown or a field is not valid.
    """
    try:
        kind = doc['kind']
        if kind == ContractSet.kind:
            return ContractSet(contract_lib.Contract.from_dict(doc['contract']))
        if kind == ContractRemove.kind:
            return ContractRemove(doc['customer'])
        if kind == ZoneOut.kind:
            return ZoneOut(doc['zone'])
        if kind == ZoneIn.kind:
            return ZoneIn(doc['zone'])
    except (KeyError, TypeError) as exc:
        raise errors.ContractError('read change', 'body', repr(exc)) from exc
    raise errors.ContractError('read change', 'body',
                               f'unknown kind {str(kind)[:40]!r}')


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An entry of the change log.

    Attributes:
      n: Number of the entry, from 1.
      id: Id of the change, derived from the id of its proposal.
      proposal: Id of the proposal.
      proposer: Operator who proposed it.
      approver: Operator who approved it.
      time_ms: Time of the approval, ms since the Unix epoch.
      from_version: Number of the previous change of the same subject, or 0.
      to_version: Version of the subject after this change, equal to `n`.
      body: The modification.
    """
    n: int
    id: str
    proposal: str
    proposer: str
    approver: str
    time_ms: int
    from_version: int
    to_version: int
    body: Body

    def to_json(self) -> str:
        """Returns the value to store under `changes/<n>`."""
        doc = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        doc['body'] = self.body.to_dict()
        return json.dumps(doc, sort_keys=True)

    @classmethod
    def from_json(cls, text: str) -> 'Change':
        """Returns the change in the value of `changes/<n>`.

        Raises:
          errors.ContractError: if `text` is not a valid entry.
        """
        try:
            doc = json.loads(text)
            doc['body'] = body_from_dict(doc['body'])
            change = cls(**doc)
        except (KeyError, TypeError, ValueError, RecursionError) as exc:
            raise errors.ContractError('read change', 'entry',
                                       repr(exc)) from exc
        if not isinstance(change.n, int) or change.n < 1:
            raise errors.ContractError(
                'read change', 'entry',
                f'expected a positive integer n, got {change.n!r}')
        return change

    def describe(self) -> str:
        """Returns a short description for error messages."""
        return (f'change {self.n} ({self.body.kind} of {self.body.subject}, '
                f'proposed by {self.proposer}, approved by {self.approver})')


def change_id_for(proposal_id: str) -> str:
    """Returns the id of the change that approves the proposal.

    The id is derived rather than random, so that an approval that is repeated
    after a lost response recognizes its own entry.
    """
    return f'change-of-{proposal_id}'


def key(n: int) -> str:
    """Returns the key under which change `n` is stored."""
    return f'{PREFIX}{n:0{_KEY_DIGITS}}'


def change_number(name: str) -> int:
    """Returns the number of the change stored under the key `name`.

    Returns 0 if `name` is not the key of a change.
    """
    digits = name.removeprefix(PREFIX)
    if digits == name or not digits.isascii() or not digits.isdigit():
        return 0
    return int(digits)
