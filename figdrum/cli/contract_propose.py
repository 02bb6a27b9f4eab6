"""`figdrum contract propose`: proposes a contract or its removal."""

from cleo import exceptions
from cleo.io.inputs import argument
from cleo.io.inputs import option as cleo_option

from figdrum.cli import proposal_command
from figdrum.contracts import change
from figdrum.contracts import contract
from figdrum.core import errors
from figdrum.core import ids


class ProposeCommand(proposal_command.ProposalCommand):
    """Proposes the contract in a JSON file, or the removal of a contract."""
    name = 'contract propose'
    description = 'Proposes a customer\'s contract, or its removal.'
    arguments = [
        argument.Argument('file',
                          required=False,
                          description='Contract as JSON.')
    ]
    options = proposal_command.ProposalCommand.options + [
        cleo_option.Option('remove',
                           flag=False,
                           description='Customer whose contract to remove.')
    ]

    def make_body(self) -> change.Body:
        path, customer = self.argument('file'), self.option('remove')
        if bool(path) == bool(customer):
            raise exceptions.CleoRuntimeError('give either a file or --remove')
        if customer:
            return change.ContractRemove(ids.CustomerId(customer))
        try:
            with open(path, encoding='utf-8') as file:
                text = file.read()
        except (OSError, UnicodeDecodeError) as exc:
            raise errors.ContractError('read contract', path, str(exc)) from exc
        return change.ContractSet(contract.Contract.from_json(text))
