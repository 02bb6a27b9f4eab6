"""`figdrum contract approve`: approves another operator's proposal."""

from cleo.io.inputs import argument
from twisted.internet import defer

from figdrum.cli import operator


class ApproveCommand(operator.OperatorCommand):
    """Approves a proposal; repeating the command has no further effect."""
    name = 'contract approve'
    description = 'Approves another operator\'s proposal (contract or zone).'
    arguments = [argument.Argument('id', description='Id of the proposal.')]

    def make_work(self):
        return self._approve

    @defer.inlineCallbacks
    def _approve(self, session: operator.Session):
        found = yield session.log.approve(self.argument('id'), session.operator)
        self.print(found.describe())
        self.print('It is in force on every balancer within 7 s.')
