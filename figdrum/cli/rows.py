"""Formatting of proposals and changes as lines of text."""

from figdrum.cli import operator
from figdrum.contracts import change
from figdrum.contracts import proposals


def proposal_row(proposal: proposals.Proposal) -> str:
    """Returns a line that describes a proposal and its decision."""
    row = (f'{proposal.id}  {proposal.status.value}  {proposal.body.kind} of '
           f'{proposal.body.subject}  proposed by {proposal.proposer} at '
           f'{operator.format_time(proposal.time_ms)}')
    if proposal.decider:
        row += (f', decided by {proposal.decider} at '
                f'{operator.format_time(proposal.decided_ms)}')
    if proposal.purpose:
        row += f'; purpose: {proposal.purpose!r}'
    if proposal.reason:
        row += f'; reason: {proposal.reason!r}'
    return row


def change_row(entry: change.Change) -> str:
    """Returns a line that describes a change and who made it."""
    return (f'{entry.n}  {operator.format_time(entry.time_ms)}  '
            f'{entry.body.kind} of {entry.body.subject}  from '
            f'{entry.from_version} to {entry.to_version}  proposed by '
            f'{entry.proposer}, approved by {entry.approver}  '
            f'proposal {entry.proposal}')
