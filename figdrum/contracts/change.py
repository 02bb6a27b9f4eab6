"""Entries of the change log and their bodies.

Explanation
===========

A body says what changes; it concerns one subject, a customer's contract or a
zone. A `Change` is the approved body with its number and its audit data. The
log has no gaps: change n is the object `changes/<n>`, with n written in ten
digits so that keys sort by number.

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
_DIGITS = 10


class Body(abc.ABC):
    """What a change does."""
    __slots__ = ()

    kind: typing.ClassVar[str]

    @property
    @abc.abstractmethod
    def subject(self) -> str:
        """What the change concerns; changes of one subject are ordered."""

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
    """Reads a body.

    Raises:
      errors.ContractError: if it is not a valid body.
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
      id: Identity of the change, derived from its proposal's.
      proposal: Id of the proposal.
      proposer: Operator who proposed it.
      approver: Operator who approved it.
      time_ms: Time of the approval, ms since the Unix epoch.
      from_version: Number of the change that last concerned this subject, or
        0.
      to_version: Number of this entry.
      body: What changes.
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
        """Reads the value of `changes/<n>`.

        Raises:
          errors.ContractError: if it is not a valid entry.
        """
        try:
            doc = json.loads(text)
            doc['body'] = body_from_dict(doc['body'])
            change = cls(**doc)
        except (KeyError, TypeError, ValueError, RecursionError) as exc:
            raise errors.ContractError('read change', 'entry',
                                       repr(exc)) from exc
        if not isinstance(change.n, int) or change.n < 1:
            raise errors.ContractError('read change', 'entry',
                                       f'number {change.n!r}')
        return change

    def describe(self) -> str:
        """Returns the change in a few words for error messages."""
        return (f'change {self.n} ({self.body.kind} of {self.body.subject}, '
                f'proposed by {self.proposer}, approved by {self.approver})')


def change_id_for(proposal_id: str) -> str:
    """Returns the id of the change that a proposal leads to."""
    return f'change-of-{proposal_id}'


def key(n: int) -> str:
    """Returns the key of change `n`."""
    return f'{PREFIX}{n:0{_DIGITS}}'


def change_number(name: str) -> int:
    """Returns the number of the change under key `name`, or 0 for others."""
    digits = name.removeprefix(PREFIX)
    if digits == name or not digits.isascii() or not digits.isdigit():
        return 0
    return int(digits)
