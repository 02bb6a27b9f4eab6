"""`figdrum status`: shows zones, services and balancers."""

import collections
import typing

from cleo.io.inputs import option as cleo_option
from twisted.internet import defer

from figdrum.cli import node_query
from figdrum.cli import operator
from figdrum.cli import remedies
from figdrum.core import clock
from figdrum.core import errors
from figdrum.membership import service_list
from figdrum.messages import control
from figdrum.settings import values
from figdrum.sync import registry

LISTS_PREFIX = 'lists/'


class StatusCommand(operator.OperatorCommand):
    """Shows the platform's state, and the age of each balancer's copy of it."""
    name = 'status'
    description = ('Shows the last change, zones, back ends and balancers, or '
                   'queries one balancer.')
    options = operator.OperatorCommand.options + [
        cleo_option.Option('node',
                           flag=False,
                           description='Control address (host:port) of one '
                           'balancer; the platform is not needed.')
    ]

    def run_command(self) -> remedies.ExitCode:
        node = self.option('node')
        if not node:
            return super().run_command()
        try:
            address = values.parse_address(node)
        except ValueError as exc:
            raise errors.SettingsError('read options', '--node',
                                       str(exc)) from exc
        digest = operator.run_reactor(
            lambda reactor: node_query.query_balancer(reactor, address))
        self.print(digest_row(digest, digest.change))
        return remedies.ExitCode.OK

    def make_work(self):
        return self._print_status

    @defer.inlineCallbacks
    def _print_status(self, session: operator.Session):
        loaded = yield session.log.load()
        lists, revision = yield session.store.list(LISTS_PREFIX)
        registries, _ = yield session.store.list(registry.PREFIX)
        self.print(f'platform  revision {revision}')
        self.print(f'contracts  change {loaded.state.change}, '
                   f'{len(loaded.state.contracts())} in force')
        for zone in sorted(loaded.state.zones_out):
            self.print(f'zone  {zone}  out')
        for item in lists:
            found = service_list.ServiceList.from_json(
                item.key.removeprefix(LISTS_PREFIX), item.version, item.value)
            self._show_list(found, loaded.state.zones_out)
        yield self._show_balancers(session, registries, loaded.state.change)

    def _show_list(self, found: service_list.ServiceList,
                   zones_out: frozenset) -> None:
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

    @defer.inlineCallbacks
    def _show_balancers(self, session: operator.Session, items: typing.Any,
                        change: int):
        balancers = [
            balancer for item in items
            for balancer in registry.Registry.from_json(
                item.key.removeprefix(registry.PREFIX), item.version,
                item.value).balancers
        ]
        replies = yield node_query.query_balancers(
            session.reactor, [b.address for b in balancers])
        for balancer, reply in zip(balancers, replies):
            if isinstance(reply, errors.FigdrumError):
                self.print(f'balancer  {balancer.name}  {balancer.zone}  '
                           f'no answer: {reply}')
            else:
                self.print(digest_row(reply, change))


def digest_row(digest: control.Digest, change: int) -> str:
    """Returns a line that describes the state of a balancer.

    Args:
      digest: Digest that the balancer sent.
      change: Number of the last contract change in the platform.

    Examples
    ========

    >>> digest_row(control.Digest('b1', 'muscat-a', '10.0.0.1', 7003, 90, 1500,
    ...                           True, 7), 9)
    'balancer  b1  muscat-a  change 7 (2 behind)  revision 90  confirmed 1.5 s \
ago  platform up'
    """
    behind = change - digest.change
    age = ('never confirmed' if digest.confirmed_age_ms < 0 else
           f'confirmed {digest.confirmed_age_ms / clock.MS_PER_S:.1f} s ago')
    return (f'balancer  {digest.name}  {digest.zone}  change {digest.change}'
            f'{f" ({behind} behind)" if behind > 0 else ""}  revision '
            f'{digest.revision}  {age}  platform '
            f'{"up" if digest.platform_up else "down"}')
