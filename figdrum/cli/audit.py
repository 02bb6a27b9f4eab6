"""`figdrum audit`: prints all proposals and the decisions about them."""

import json

from cleo.io.inputs import option as cleo_option
from twisted.internet import defer

from figdrum.cli import operator
from figdrum.cli import rows
from figdrum.contracts import change_log


class AuditCommand(operator.OperatorCommand):
    """Prints the audit trail, oldest proposal first."""
    name = 'audit'
    description = 'Prints every proposal with its decision and its change.'
    options = operator.OperatorCommand.options + [
        cleo_option.Option(
            'json', flag=True, description='One JSON object a line.')
    ]

    def make_work(self):
        return self._print_audit

    @defer.inlineCallbacks
    def _print_audit(self, session: operator.Session):
        for record in (yield session.log.audit()):
            if self.option('json'):
                self.print(json.dumps(_to_dict(record), sort_keys=True))
                continue
            self.print(rows.proposal_row(record.proposal))
            if record.change is not None:
                self.print(f'  change {rows.change_row(record.change)}')


def _to_dict(record: change_log.AuditRecord) -> dict:
    entry = record.change
    return {
        'proposal': json.loads(record.proposal.to_json()),
        'change': None if entry is None else json.loads(entry.to_json()),
    }
