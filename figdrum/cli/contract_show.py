"""`figdrum contract show`: shows a proposal or a contract in force."""

import functools
import json

from cleo import exceptions
from cleo.io.inputs import argument
from cleo.io.inputs import option as cleo_option
from twisted.internet import defer

from figdrum.cli import operator
from figdrum.cli import rows
from figdrum.core import errors


class ShowCommand(operator.OperatorCommand):
    """Shows a proposal, or the contract in force of a customer."""
    name = 'contract show'
    description = 'Shows a proposal, or the contract in force of a customer.'
    arguments = [
        argument.Argument('id',
                          required=False,
                          description='Id of the proposal.')
    ]
    options = operator.OperatorCommand.options + [
        cleo_option.Option('customer',
                           flag=False,
                           description='Customer whose contract to show.')
    ]

    def make_work(self):
        proposal_id, customer = self.argument('id'), self.option('customer')
        if bool(proposal_id) == bool(customer):
            raise exceptions.CleoRuntimeError('give either an id or --customer')
        if customer:
            return functools.partial(self._show_contract, customer)
        return functools.partial(self._show_proposal, proposal_id)

    @defer.inlineCallbacks
    def _show_proposal(self, proposal_id: str, session: operator.Session):
        proposal = yield session.log.show(proposal_id)
        loaded = yield session.log.load()
        latest = loaded.state.version(proposal.body.subject)
        self.print(rows.proposal_row(proposal))
        self.print(f'based on change {proposal.base_version}; the last change '
                   f'of {proposal.body.subject} is {latest}')
        self.print(_format_json(proposal.body.to_dict()))

    @defer.inlineCallbacks
    def _show_contract(self, customer: str, session: operator.Session):
        loaded = yield session.log.load()
        found = loaded.state.contract(customer)
        if found is None:
            raise errors.ContractError('show contract', customer,
                                       'the customer has no contract')
        self.print(_format_json(found.to_dict()))


def _format_json(doc: dict) -> str:
    return json.dumps(doc, indent=2, sort_keys=True)
