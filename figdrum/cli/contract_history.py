"""`figdrum contract history`: lists approved changes."""

from cleo.io.inputs import argument
from twisted.internet import defer

from figdrum.cli import operator
from figdrum.cli import rows


class HistoryCommand(operator.OperatorCommand):
    """Lists approved changes in the order of their numbers."""
    name = 'contract history'
    description = 'Lists approved changes, of all subjects or of one.'
    arguments = [
        argument.Argument(
            'subject',
            required=False,
            description='Subject, contract/CUSTOMER or zone/ZONE; by default '
            'all.')
    ]

    def make_work(self):
        return self._print_history

    @defer.inlineCallbacks
    def _print_history(self, session: operator.Session):
        subject = self.argument('subject') or ''
        for entry in (yield session.log.history(subject)):
            self.print(rows.change_row(entry))
