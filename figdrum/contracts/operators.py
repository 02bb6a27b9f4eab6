"""Who may propose and approve.

Explanation
===========

A proposal is approved by another operator than its proposer. Names that differ
only in case, spaces or form of Unicode count as one operator.
"""

import unicodedata

from figdrum.contracts import proposals
from figdrum.core import errors

NAME_LIMIT = 100
"""Longest operator name in characters."""


def check_name(step: str, operator: str) -> None:
    """Checks an operator's name.

    Raises:
      errors.ApprovalError: if it is blank or too long.
    """
    if not operator.strip() or len(operator) > NAME_LIMIT:
        raise errors.ApprovalError(
            step, '-', f'an operator name has 1 to {NAME_LIMIT} characters')


def check_approver(proposal: proposals.Proposal, approver: str) -> None:
    """Checks that the approver is not the proposer.

    Raises:
      errors.ApprovalError: if they are the same.
    """
    if _folded(approver) == _folded(proposal.proposer):
        raise errors.ApprovalError(
            'approve', proposal.id,
            f'{approver} proposed it; another operator must approve it')


def _folded(operator: str) -> str:
    """Returns the name without differences that people do not see."""
    return ' '.join(unicodedata.normalize('NFKC', operator).casefold().split())
