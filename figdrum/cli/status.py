"""`figdrum status`: shows zones, services and balancers."""

import collections
import json

from twisted.internet import defer

from figdrum.cli import operator
from figdrum.contracts import state as state_lib
from figdrum.membership import service_list

LISTS = 'lists/'
BALANCERS = 'balancers/'


class StatusCommand(operator.OperatorCommand):
    """Shows what the platform holds about the running system."""
    name = 'status'
    description = 'Shows the last change, zones, back ends and balancers.'

    def prepare(self):
        return self._work

    @defer.inlineCallbacks
    def _work(self, session: operator.Session):
        loaded = yield session.log.load()
        lists, revision = yield session.store.list(LISTS)
        registries, _ = yield session.store.list(BALANCERS)
        self.print(f'platform  revision {revision}')
        self.print(f'contracts  change {loaded.state.change}, '
                   f'{len(loaded.state.contracts())} in force')
        for row in _zone_rows(loaded.state):
            self.print(row)
        for item in lists:
            found = service_list.ServiceList.from_json(
                item.key.removeprefix(LISTS), item.version, item.value)
            self._show_list(found, loaded.state.zones_out)
        for item in registries:
            self.print(f'balancers  {item.key.removeprefix(BALANCERS)}  '
                       f'version {item.version}  {_names(item.value)}')

    def _show_list(self, found: service_list.ServiceList,
                   zones_out: frozenset[str]) -> None:
        counts = collections.Counter(m.state.value for m in found.members)
        states = ', '.join(
            f'{count} {name}' for name, count in sorted(counts.items()))
        self.print(f'service  {found.service}  version {found.version}  '
                   f'{states or "empty"}')
        for member in found.members:
            host, port = member.address
            out = ' (zone is out)' if member.zone in zones_out else ''
            self.print(f'  {member.name}  {member.state.value}  {member.zone}'
                       f'{out}  {host}:{port}  incarnation '
                       f'{member.incarnation}')


def _zone_rows(state: state_lib.ContractState) -> list[str]:
    return [f'zone  {zone}  out' for zone in sorted(state.zones_out)]


def _names(text: str) -> str:
    """Returns the names in a registry's value.

    Examples
    ========

    >>> _names('{"balancers": [{"name": "b1"}, {"name": "b2"}]}')
    'b1, b2'
    """
    names: list[str] = []

    def collect(row: dict) -> dict:
        if isinstance(row.get('name'), str):
            names.append(row['name'])
        return row

    try:
        json.loads(text, object_hook=collect)
    except (ValueError, RecursionError):
        return 'unreadable'
    return ', '.join(names) or 'none'
