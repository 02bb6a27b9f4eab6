"""`figdrum contract list`: lists contracts in force and proposals."""

import functools

from cleo import exceptions
from cleo.io.inputs import option as cleo_option
from twisted.internet import defer

from figdrum.cli import operator
from figdrum.cli import rows
from figdrum.contracts import proposals

ALL_STATUSES = 'all'


class ListCommand(operator.OperatorCommand):
    """Lists contracts in force, then proposals."""
    name = 'contract list'
    description = 'Lists contracts in force and proposals.'
    options = operator.OperatorCommand.options + [
        cleo_option.Option(
            'status',
            flag=False,
            default=proposals.Status.PROPOSED.value,
            description='Proposals to list: proposed, approved, rejected, all.')
    ]

    def make_work(self):
        return functools.partial(self._print_list, self._status())

    @defer.inlineCallbacks
    def _print_list(self, status: proposals.Status | None,
                    session: operator.Session):
        loaded = yield session.log.load()
        for found in loaded.state.contracts():
            services = ', '.join(sorted(found.services)) or 'no service'
            self.print(f'contract  {found.customer}  rank {found.rank}  '
                       f'{services}')
        for proposal in (yield session.log.list(status)):
            self.print(f'proposal  {rows.proposal_row(proposal)}')

    def _status(self) -> proposals.Status | None:
        text = self.option('status')
        if text == ALL_STATUSES:
            return None
        try:
            return proposals.Status(text)
        except ValueError as exc:
            known = [status.value for status in proposals.Status
                    ] + [ALL_STATUSES]
            raise exceptions.CleoRuntimeError(
                f'status {text!r} is not one of {", ".join(known)}') from exc
