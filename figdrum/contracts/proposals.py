"""Proposals of changes and the decisions about them.

Explanation
===========

A proposal is stored as the object `proposals/<id>`. Its status changes once,
from proposed to approved or rejected. An approver first writes an *intent* into
the proposal: the number n under which the change will be appended. Only then
does it create `changes/<n>`. A proposal with an intent cannot be rejected until
another change has taken number n, because the approver's append may still
arrive. Hence a proposal is never both approved and rejected.
"""

import dataclasses
import enum
import json
import re
import typing

from figdrum.contracts import change as change_lib
from figdrum.core import errors

PREFIX = 'proposals/'

_ID_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9_-]{0,62}')


class Status(enum.Enum):
    """Status of a proposal; approved and rejected are final."""
    PROPOSED = 'proposed'
    APPROVED = 'approved'
    REJECTED = 'rejected'


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A proposed change and the decision about it.

    Attributes:
      id: Id of the proposal, the last part of its key.
      proposer: Operator who proposed it.
      time_ms: Time of the proposal, ms since the Unix epoch.
      base_version: Number of the last change of the subject at the time of the
        proposal, or 0. The approval fails if the subject has changed since.
      body: The proposed modification.
      status: Whether it is undecided, approved or rejected.
      decider: Operator who wrote the intent, approved or rejected it, or ''.
      decided_ms: Time of the intent, approval or rejection in ms since the
        Unix epoch, or 0.
      reason: Reason of a rejection, or ''.
      change: Number of the approved change. While the status is proposed, the
        number in the approver's intent, or 0 without an intent.
      purpose: Reason that the proposer gave, or ''.
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
        """Whether an approver has started to append the change."""
        return self.status is Status.PROPOSED and self.change > 0

    def with_intent(self, n: int, approver: str, now_ms: int) -> 'Proposal':
        """Returns the proposal with the intent to append change `n`."""
        return dataclasses.replace(self,
                                   change=n,
                                   decider=approver,
                                   decided_ms=now_ms)

    def approved(self, change: change_lib.Change) -> 'Proposal':
        """Returns the proposal with the approval that `change` records."""
        return dataclasses.replace(self,
                                   status=Status.APPROVED,
                                   change=change.n,
                                   decider=change.approver,
                                   decided_ms=change.time_ms)

    def rejected(self, operator: str, reason: str, now_ms: int) -> 'Proposal':
        """Returns the proposal as rejected by `operator`.

        Args:
          operator: Operator who rejects it.
          reason: Reason for the audit trail, or ''.
          now_ms: Time of the rejection, ms since the Unix epoch.
        """
        return dataclasses.replace(self,
                                   status=Status.REJECTED,
                                   change=0,
                                   decider=operator,
                                   decided_ms=now_ms,
                                   reason=reason)

    def to_change(self, n: int) -> change_lib.Change:
        """Returns the log entry that approves this proposal as change `n`."""
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
        """Returns the proposal in the value of `proposals/<id>`.

        Raises:
          errors.ContractError: if `text` is not a valid proposal.
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
    """Returns the key under which a proposal is stored.

    Raises:
      errors.ContractError: if `proposal_id` is not 1 to 63 letters, digits,
        underscores or hyphens that begin with a letter or digit.
    """
    if not _ID_PATTERN.fullmatch(proposal_id):
        raise errors.ContractError('read proposal', PREFIX,
                                   f'id {proposal_id[:70]!r} is not valid')
    return PREFIX + proposal_id
