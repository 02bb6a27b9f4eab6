"""Lists the differences of a configuration from the version in force.

Each difference says what it means for callers.
"""

import typing

from figdrum.config_check import document
from figdrum.config_check import entries as entries_module
from figdrum.config_check import findings
from figdrum.flows import cold_limit
from figdrum.flows import routes

Code = findings.Code
Finding = findings.Finding

_NOT_READ = 'balancers and agents do not read it'
_NEW_FLOWS = 'it counts for new flows; open flows keep the former value'

_ROUTE_EFFECTS = {
    'routeType': 'it counts for the packets that follow',
    'timeoutMs': _NEW_FLOWS,
    'targetLatencyMs': _NEW_FLOWS,
    'priority': _NEW_FLOWS,
}
_SERVICE_EFFECTS = {
    'coldPerS': 'cold targets get the new limit, warm ones are not affected',
}

# Fields that are compared by what balancers decode them to.
_DECODED_FIELDS = frozenset(
    ('name', 'hostname', 'pathPrefix', 'service', 'trafficSplit'))

_ABSENT = object()


def compare(spec: dict[str, typing.Any], new: entries_module.Entries,
            spec_in_force: dict[str, typing.Any],
            in_force: entries_module.Entries) -> list[Finding]:
    """Returns the differences between two accepted configurations.

    Args:
      spec: The new configuration object.
      new: Its entries.
      spec_in_force: The configuration object in force.
      in_force: Its entries.
    """
    found = (_compare_routes(new, in_force) + _compare_services(new, in_force) +
             _compare_fields(Code.LIMIT_CHANGED, '', _others(spec),
                             _others(spec_in_force), {}))
    version, current = spec['version'], spec_in_force['version']
    if version > current:
        return found
    if version == current and not found:
        return [
            Finding(
                Code.SAME_AS_IN_FORCE, '',
                f'the configuration is the one in force, version {version}')
        ]
    return [
        Finding(
            Code.VERSION_NOT_HIGHER, 'version',
            f'all balancers ignore version {version}, since version {current} '
            'is in force')
    ] + found


def _others(spec: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Returns the fields beside version and entries, those of limits by path.

    >>> _others({'version': 1, 'limits': {'idleTimeoutMs': 2}, 'note': 'x'})
    {'note': 'x', 'limits.idleTimeoutMs': 2}
    """
    result = {
        name: value
        for name, value in spec.items()
        if name not in ('version', 'routes', 'services')
    }
    if isinstance(result.get('limits'), dict):
        result.update(document.members('limits', result.pop('limits')))
    return result


def _compare_routes(new: entries_module.Entries,
                    in_force: entries_module.Entries) -> list[Finding]:
    found = []
    current = in_force.effective_routes()
    following = new.effective_routes()
    for address, entry in following.items():
        former = current.get(address)
        if former is None:
            found.append(
                Finding(
                    Code.ROUTE_ADDED, entry.place,
                    f'{entry.address_text} is new; its flows go to '
                    f'{_show_shares(entry.route)}'))
        else:
            found += _compare_route(entry, former)
    found += [
        Finding(
            Code.ROUTE_REMOVED, '',
            f'{former.address_text} ({findings.show(former.route.name)}) is '
            'removed; its open flows are reset, and new ones are refused')
        for address, former in current.items()
        if address not in following
    ]
    return found


def _compare_route(entry: entries_module.RouteEntry,
                   former: entries_module.RouteEntry) -> list[Finding]:
    found = []
    if entry.route.name != former.route.name:
        found.append(
            Finding(
                Code.ROUTE_RENAMED, f'{entry.place}.name',
                f'{entry.address_text}: {findings.show(former.route.name)} is '
                f'now {findings.show(entry.route.name)}; callers are not '
                'affected'))
    if _effective_shares(entry.route) != _effective_shares(former.route):
        name = 'trafficSplit' if entry.fields.get('trafficSplit') else 'service'
        found.append(
            Finding(
                Code.SPLIT_CHANGED, f'{entry.place}.{name}',
                f'{entry.address_text}: {_show_shares(former.route)} is now '
                f'{_show_shares(entry.route)}; only new flows follow, open '
                'ones stay at their targets'))
    return found + _compare_fields(
        Code.ROUTE_CHANGED, entry.place, _without_decoded(entry.fields),
        _without_decoded(former.fields), _ROUTE_EFFECTS)


def _compare_services(new: entries_module.Entries,
                      in_force: entries_module.Entries) -> list[Finding]:
    found = []
    current = in_force.effective_services()
    following = new.effective_services()
    for name, entry in following.items():
        former = current.get(name)
        if former is None:
            found.append(
                Finding(
                    Code.SERVICE_ADDED, entry.place,
                    f'{findings.show(name)} is new; routes to it say which '
                    'callers reach it'))
        else:
            found += _compare_fields(Code.SERVICE_CHANGED, entry.place,
                                     entry.fields, former.fields,
                                     _SERVICE_EFFECTS)
    found += [
        Finding(
            Code.SERVICE_REMOVED, '',
            f'{findings.show(name)} is removed; each of its cold targets gets '
            f'{cold_limit.DEFAULT_PER_S} new flows a second, as far as routes '
            'lead to it') for name in current if name not in following
    ]
    return found


def _compare_fields(code: Code, place: str, new: dict[str, typing.Any],
                    former: dict[str, typing.Any],
                    effects: dict[str, str]) -> list[Finding]:
    """Returns the differences between the fields of two objects.

    >>> print(*_compare_fields(Code.ROUTE_CHANGED, 'routes[0]',
    ...                        {'timeoutMs': 900}, {'timeoutMs': 1200},
    ...                        _ROUTE_EFFECTS))
    hint routes[0].timeoutMs: 1200 is now 900; it counts for new flows; open \
flows keep the former value [route-changed]
    """
    found = []
    for name in dict.fromkeys((*former, *new)):
        before, after = former.get(name, _ABSENT), new.get(name, _ABSENT)
        if before != after:
            found.append(
                Finding(
                    code, document.join(place, name),
                    f'{_show(before)} is now {_show(after)}; '
                    f'{effects.get(name, _NOT_READ)}'))
    return found


def _without_decoded(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {
        name: value
        for name, value in fields.items()
        if name not in _DECODED_FIELDS
    }


def _effective_shares(route: routes.Route) -> tuple[routes.Share, ...]:
    """Returns the shares; the weight of a single one has no effect."""
    if len(route.shares) > 1:
        return route.shares
    return (route.shares[0]._replace(weight=1),)


def _show_shares(route: routes.Route) -> str:
    """Returns the services of a route and their weights as text.

    >>> _show_shares(routes.Route('r', 'safe', (routes.Share('a', 9.0),
    ...                                         routes.Share('b', 0.5))))
    '"a" with weight 9, "b" with weight 0.5'
    """
    if len(route.shares) == 1:
        return findings.show(route.shares[0].service)
    return ', '.join(
        f'{findings.show(share.service)} with weight {share.weight:g}'
        for share in route.shares)


def _show(value: typing.Any) -> str:
    return 'no value' if value is _ABSENT else findings.show(value)
