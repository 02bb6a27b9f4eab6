"""Proposed changes and what operators decide about them.

Explanation
===========

A proposal is one object `proposals/<id>`. Its status goes from proposed to
approved or rejected, once. An approver first writes an *intent*: the number at
which the change will be appended. Only then does it create `changes/<n>`. While
an intent is open, that is, neither that number nor an earlier refusal decides
it, the proposal cannot be rejected. So an approval and a rejection that race
never both take effect.
"""

import dataclasses
import enum
import json
import re
import typing

from figdrum.contracts import change as change_lib
from figdrum.core import errors

PREFIX = 'proposals/'

_ID = re.compile(r'[A-Za-z0-9][A-Za-z0-9_-]{0,62}')


class Status(enum.Enum):
    """Where a proposal stands."""
    PROPOSED = 'proposed'
    APPROVED = 'approved'
    REJECTED = 'rejected'


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A proposed change.

    Attributes:
      id: Name of the proposal.
      proposer: Operator who proposed it.
      time_ms: Time of the proposal, ms since the Unix epoch.
      base_version: Number of the change that last concerned the subject when
        it was proposed, or 0.
      body: What would change.
      status: Where it stands.
      decider: Operator who approves, approved or rejected it, or ''.
      decided_ms: Time of the intent, approval or rejection, or 0.
      reason: Why it was rejected, or ''.
      change: Number of the change, or the intended number while the status is
        proposed; 0 before an intent.
      purpose: Why the proposer wants it, or ''.
    """
    id: str
    proposer: str
    time_ms: int
    base_version: int
    body: change_lib.Body
    status: Status = Status.PROPOSED
    decider: str = ''
    decided_ms: int = 0
    reason: str = ''
    change: int = 0
    purpose: str = ''

    @property
    def has_intent(self) -> bool:
        """Whether an approver has begun to append the change."""
        return self.status is Status.PROPOSED and self.change > 0

    def with_intent(self, n: int, approver: str, now_ms: int) -> 'Proposal':
        """Returns the proposal with the intent to append change `n`."""
        return dataclasses.replace(self,
                                   change=n,
                                   decider=approver,
                                   decided_ms=now_ms)

    def approved(self, change: change_lib.Change) -> 'Proposal':
        """Returns the proposal as approved by `change`."""
        return dataclasses.replace(self,
                                   status=Status.APPROVED,
                                   change=change.n,
                                   decider=change.approver,
                                   decided_ms=change.time_ms)

    def rejected(self, operator: str, reason: str, now_ms: int) -> 'Proposal':
        """Returns the proposal as rejected."""
        return dataclasses.replace(self,
                                   status=Status.REJECTED,
                                   change=0,
                                   decider=operator,
                                   decided_ms=now_ms,
                                   reason=reason)

    def to_change(self, n: int) -> change_lib.Change:
        """Returns the change that the intent for number `n` appends."""
        return change_lib.Change(n, change_lib.change_id_for(self.id), self.id,
                                 self.proposer, self.decider, self.decided_ms,
                                 self.base_version, n, self.body)

    def to_json(self) -> str:
        """Returns the value to store under `proposals/<id>`."""
        doc = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        doc['body'] = self.body.to_dict()
        doc['status'] = self.status.value
        return json.dumps(doc, sort_keys=True)

    @classmethod
    def from_json(cls, text: str) -> 'Proposal':
        """Reads the value of `proposals/<id>`.

        Raises:
          errors.ContractError: if it is not a valid proposal.
        """
        try:
            doc: typing.Any = json.loads(text)
            doc['body'] = change_lib.body_from_dict(doc['body'])
            doc['status'] = Status(doc['status'])
            return cls(**doc)
        except (KeyError, TypeError, ValueError, RecursionError) as exc:
            raise errors.ContractError('read proposal', 'entry',
                                       repr(exc)) from exc


def key(proposal_id: str) -> str:
    """Returns the key of a proposal.

    Raises:
      errors.ContractError: if `proposal_id` may not name one.
    """
    if not _ID.fullmatch(proposal_id):
        raise errors.ContractError('read proposal', PREFIX,
                                   f'id {proposal_id[:70]!r} is not valid')
    return PREFIX + proposal_id
