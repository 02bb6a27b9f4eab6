"""Checks on the operators who propose, approve and reject changes.

Explanation
===========

Every change needs two people: the approver must not be the proposer. Names that
differ only in case, white space or Unicode compatibility form are the same
operator, so that nobody approves an own proposal under a variant spelling.
"""

import unicodedata

from figdrum.contracts import proposals
from figdrum.core import errors

MAX_NAME_LENGTH = 100
"""Maximum length of an operator's name in characters."""


def check_name(step: str, operator: str) -> None:
    """Checks the length of an operator's name.

    Args:
      step: Step that the operator performs, for the error.
      operator: Name of the operator.

    Raises:
      errors.ApprovalError: if the name is blank or longer than 100 characters.
    """
    if not operator.strip() or len(operator) > MAX_NAME_LENGTH:
        raise errors.ApprovalError(
            step, '-',
            f'an operator name must have 1 to {MAX_NAME_LENGTH} characters')


def check_approver(proposal: proposals.Proposal, approver: str) -> None:
    """Checks that the approver is not the proposer.

    Raises:
      errors.ApprovalError: if both names belong to the same operator.
    """
    if _normalize(approver) == _normalize(proposal.proposer):
        raise errors.ApprovalError(
            'approve', proposal.id,
            f'{approver} proposed it; another operator must approve it')


def _normalize(operator: str) -> str:
    """Returns the name in the form in which operators are compared."""
    return ' '.join(unicodedata.normalize('NFKC', operator).casefold().split())
