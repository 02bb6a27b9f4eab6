"""Base of the commands that propose a change."""

import abc
import collections.abc
import functools
import typing
import uuid

from cleo.io.inputs import option as cleo_option
from twisted.internet import defer

from figdrum.cli import operator
from figdrum.contracts import change
from figdrum.core import errors


class ProposalCommand(operator.OperatorCommand):
    """Stores a proposal and prints its id on a line of its own, the first."""
    options = operator.OperatorCommand.options + [
        cleo_option.Option(
            'reason', flag=False, description='Reason, shown to the approver.'),
        cleo_option.Option(
            'id',
            flag=False,
            description='Id of the proposal; give it to repeat a command whose '
            'outcome is unknown.'),
    ]

    def make_work(
            self
    ) -> collections.abc.Callable[[operator.Session], defer.Deferred]:
        return functools.partial(self._propose, self.make_body())

    @abc.abstractmethod
    def make_body(self) -> change.Body:
        """Returns the proposed modification."""

    def print_warnings(self, session: operator.Session) -> typing.Any:
        """Prints warnings about the proposal; may return a Deferred."""

    @defer.inlineCallbacks
    def _propose(self, body: change.Body, session: operator.Session):
        proposal_id = self.option('id') or uuid.uuid4().hex[:12]
        yield self.print_warnings(session)
        try:
            proposal = yield session.log.propose(
                body,
                session.operator,
                proposal_id=proposal_id,
                purpose=self.option('reason') or '')
        except errors.StoreError:
            self.print_error(
                'Whether the proposal was stored is unknown. Repeat the '
                f'command with --id {proposal_id}.')
            raise
        self.print(proposal.id)
        self.print(f'proposed by {proposal.proposer}: {body.kind} of '
                   f'{body.subject}')
        self.print('Another operator approves it with: '
                   f'figdrum contract approve {proposal.id} -c FILE')
