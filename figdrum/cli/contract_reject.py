"""`figdrum contract reject`: rejects or withdraws a proposal."""

from cleo.io.inputs import argument
from cleo.io.inputs import option as cleo_option
from twisted.internet import defer

from figdrum.cli import operator


class RejectCommand(operator.OperatorCommand):
    """Rejects a proposal; the proposer may also do so, to withdraw it."""
    name = 'contract reject'
    description = 'Rejects a proposal, or withdraws your own.'
    arguments = [argument.Argument('id', description='Id of the proposal.')]
    options = operator.OperatorCommand.options + [
        cleo_option.Option(
            'reason', flag=False, description='Reason for the audit trail.')
    ]

    def make_work(self):
        return self._reject

    @defer.inlineCallbacks
    def _reject(self, session: operator.Session):
        found = yield session.log.reject(self.argument('id'), session.operator,
                                         self.option('reason') or '')
        self.print(f'proposal {found.id} is rejected by {found.decider}')
