"""Finds entries of a configuration that have no effect, or not all of it."""

import collections
import typing

from figdrum.config_check import document
from figdrum.config_check import entries as entries_module
from figdrum.config_check import fields
from figdrum.config_check import findings
from figdrum.flows import cold_limit

Code = findings.Code
Finding = findings.Finding


def find(spec: typing.Any,
         entries: entries_module.Entries) -> list[findings.Finding]:
    """Returns findings about entries and fields without an effect.

    Args:
      spec: The configuration object.
      entries: Its entries that the decoder accepts.
    """
    found = _shadowed(entries)
    for entry in entries.routes:
        found += _of_split(entry)
        if entry.route.kind not in fields.ROUTE_TYPES:
            found.append(
                Finding(
                    Code.UNKNOWN_ROUTE_TYPE, f'{entry.place}.routeType',
                    f'{findings.show(entry.route.kind)} counts as "unsafe"; '
                    f'known are {", ".join(fields.ROUTE_TYPES)}'))
    return found + _unmatched_services(entries) + _unknown_fields(spec)


def _shadowed(entries: entries_module.Entries) -> list[Finding]:
    found = []
    effective = entries.effective_routes()
    for entry in entries.routes:
        winner = effective[entry.address]
        if winner is not entry:
            found.append(
                Finding(
                    Code.ROUTE_SHADOWED, entry.place,
                    f'the route has no effect: {winner.place} has the same '
                    f'address {winner.address_text} and comes later'))
    effective_services = entries.effective_services()
    for service in entries.services:
        later = effective_services[service.name]
        if later is not service:
            found.append(
                Finding(
                    Code.SERVICE_SHADOWED, service.place,
                    f'the entry has no effect: {later.place} has the same '
                    'name and comes later'))
    return found


def _of_split(entry: entries_module.RouteEntry) -> list[Finding]:
    """Returns findings about the shares of a route."""
    split = entry.fields.get('trafficSplit')
    if not split:
        return []
    found = []
    place = f'{entry.place}.trafficSplit'
    if 'service' in entry.fields:
        found.append(
            Finding(Code.SERVICE_IGNORED, f'{entry.place}.service',
                    'the field has no effect beside trafficSplit'))
    first_places: dict[str, str] = {}
    for i, share in enumerate(entry.route.shares):
        first = first_places.setdefault(share.service, f'{place}[{i}]')
        if first != f'{place}[{i}]':
            found.append(
                Finding(
                    Code.SERVICE_SPLIT_TWICE, f'{place}[{i}].service',
                    f'{findings.show(share.service)} is also in {first}; the '
                    'weights are added'))
    if not any(share.weight for share in entry.route.shares):
        last = entry.route.shares[-1].service
        return found + [
            Finding(
                Code.SHARES_ALL_ZERO, place,
                'all weights are 0; all new flows go to the last service, '
                f'{findings.show(last)}')
        ]
    return found + [
        Finding(
            Code.SHARE_OF_ZERO, f'{place}[{i}].weight',
            f'{findings.show(share.service)} gets no new flows by this '
            'share')
        for i, share in enumerate(entry.route.shares)
        if not share.weight
    ]


def _unmatched_services(entries: entries_module.Entries) -> list[Finding]:
    """Returns findings about services that only a route or a list names.

    They are left out where the refused entries might have the other name.
    """
    found = []
    known = entries.effective_services()
    routed: collections.Counter[str] = collections.Counter()
    for entry in entries.effective_routes().values():
        for i, share in enumerate(entry.route.shares):
            routed[share.service] += 1
            if share.service in known or not entries.has_all_services:
                continue
            place = entry.place
            if entry.fields.get('trafficSplit'):
                place += f'.trafficSplit[{i}]'
            found.append(
                Finding(
                    Code.SERVICE_NOT_LISTED, f'{place}.service',
                    f'{findings.show(share.service)} is not among the '
                    'services; if it has targets, each gets '
                    f'{cold_limit.DEFAULT_PER_S} new flows a second while it '
                    'is cold'))
    if entries.has_all_routes:
        found += [
            Finding(Code.SERVICE_WITHOUT_ROUTE, service.place,
                    f'no route leads to {findings.show(name)}')
            for name, service in known.items()
            if not routed[name]
        ]
    return found


def _unknown_fields(spec: typing.Any) -> list[Finding]:
    found = _unknown('', spec, fields.CONFIGURATION)
    for place, route in entries_module.listed(spec, 'routes'):
        found += _unknown(place, route, fields.ROUTE)
        split = route.get('trafficSplit') if isinstance(route, dict) else None
        if isinstance(split, list):
            for share_place, share in document.members(f'{place}.trafficSplit',
                                                       split):
                found += _unknown(share_place, share, fields.SHARE)
    for place, service in entries_module.listed(spec, 'services'):
        found += _unknown(place, service, fields.SERVICE)
    if isinstance(spec, dict):
        found += _unknown('limits', spec.get('limits'), fields.LIMITS)
    return found


def _unknown(place: str, value: typing.Any,
             known: fields.Fields) -> list[Finding]:
    """Returns findings about the unknown fields of an object.

    >>> print(*_unknown('routes[0]', {'hostname': 1, 'hostName': 2},
    ...                 fields.ROUTE))
    hint routes[0].hostName: the field is not known; did you mean hostname? \
[unknown-field]
    """
    if not isinstance(value, dict):
        return []
    return [
        Finding(Code.UNKNOWN_FIELD, document.join(place, name),
                f'the field is not known{fields.suggest(name, known)}')
        for name in value
        if name not in known
    ]
