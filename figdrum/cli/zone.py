"""`figdrum zone out` and `figdrum zone in`: propose changes to zones."""

import abc

from cleo.io.inputs import argument
from twisted.internet import defer

from figdrum.cli import operator
from figdrum.cli import proposal_command
from figdrum.contracts import change
from figdrum.core import ids
from figdrum.membership import service_list

LISTS_PREFIX = 'lists/'


class _ZoneCommand(proposal_command.ProposalCommand, abc.ABC):
    arguments = [argument.Argument('zone', description='Availability zone.')]

    @defer.inlineCallbacks
    def print_warnings(self, session: operator.Session):
        """Warns if no back end is in the zone."""
        items, _ = yield session.store.list(LISTS_PREFIX)
        zones = {
            member.zone
            for item in items
            for member in service_list.ServiceList.from_json(
                item.key.removeprefix(LISTS_PREFIX), item.version,
                item.value).members
        }
        if self.argument('zone') not in zones:
            self.print_error(f'Warning: no back end is in zone '
                             f'{self.argument("zone")}; zones with back ends: '
                             f'{", ".join(sorted(zones)) or "none"}')


class OutCommand(_ZoneCommand):
    """Proposes to take a zone out of service."""
    name = 'zone out'
    description = 'Proposes to take a zone out of service.'

    def make_body(self) -> change.Body:
        return change.ZoneOut(ids.ZoneName(self.argument('zone')))


class InCommand(_ZoneCommand):
    """Proposes to put a zone back into service."""
    name = 'zone in'
    description = 'Proposes to put a zone back into service.'

    def make_body(self) -> change.Body:
        return change.ZoneIn(ids.ZoneName(self.argument('zone')))
