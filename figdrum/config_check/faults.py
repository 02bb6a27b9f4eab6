"""Locates what the balancers' decoder refuses in a configuration.

Explanation
===========

The decoder returns no reason. A field is at fault if the decoder refuses an
entry that is accepted with any other value of this field: an accepted entry in
which only this field is replaced. So each fault of an entry is found, and the
decoder's rules are not repeated here.

A stored object reaches the decoder as None if it cannot be packed by msgpack,
which has no integer from 2^64 on, no lone surrogates and at most 511 levels.
"""

import collections.abc
import functools
import typing

import msgpack

from figdrum.config_check import document
from figdrum.config_check import entries
from figdrum.config_check import fields as fields_module
from figdrum.config_check import findings

Code = findings.Code

# Entries that are accepted. The address is one of RFC 5737, section 3.
_ROUTE = {
    'name': 'route',
    'hostname': '192.0.2.1',
    'pathPrefix': '/1/',
    'routeType': 'safe',
    'service': 'service'
}
_SHARE = {'service': 'service', 'weight': 1}
_SERVICE = {'name': 'service'}

# Returns whether the decoder accepts a field's value in an accepted entry.
_Accepts = collections.abc.Callable[[str, typing.Any], bool]


def locate(spec: typing.Any, decode: entries.Decode) -> list[findings.Finding]:
    """Returns the faults for which balancers refuse a configuration.

    Args:
      spec: The configuration object.
      decode: The balancers' decoder.

    Returns:
      At least one finding if the object cannot be stored or the decoder refuses
      it, otherwise none.
    """
    found = _unstorable(spec)
    if decode(spec) is None:
        found += _refused(spec, decode) or [
            findings.Finding(Code.REFUSED_VALUE, '',
                             'the balancers refuse the configuration')
        ]
    return found


def _unstorable(spec: typing.Any) -> list[findings.Finding]:
    if _can_pack(spec):
        return []
    found = []
    pending = [('', spec)]
    while pending:
        place, value = pending.pop()
        parts = [(inner, item)
                 for inner, item in document.members(place, value)
                 if not _can_pack(item)]
        pending.extend(parts)
        if not parts:
            found.append(
                findings.Finding(
                    Code.NOT_STORABLE, place,
                    f'{findings.show(value)} cannot be stored: balancers '
                    'cannot read the whole object'))
    return found


def _can_pack(value: typing.Any) -> bool:
    try:
        msgpack.packb(value)
    except (ValueError, OverflowError, TypeError, RecursionError):
        return False
    return True


def _refused(spec: typing.Any,
             decode: entries.Decode) -> list[findings.Finding]:

    def accepts(name: str, value: typing.Any) -> bool:
        # The entries of a list are examined one by one.
        return (isinstance(value, list) and name in ('routes', 'services') or
                decode({
                    **entries.EMPTY, name: value
                }) is not None)

    found = _object_faults('', spec, fields_module.CONFIGURATION, accepts)
    for place, route in entries.listed(spec, 'routes'):
        if entries.decode_route(route, decode) is None:
            found += _or_whole(place, _route_faults(place, route, decode))
    for place, service in entries.listed(spec, 'services'):
        if entries.decode_service(service, decode) is None:
            found += _or_whole(
                place,
                _object_faults(place, service, fields_module.SERVICE,
                               functools.partial(_accepts_service, decode)))
    return found


def _accepts_service(decode: entries.Decode, name: str,
                     value: typing.Any) -> bool:
    return entries.decode_service({**_SERVICE, name: value}, decode) is not None


def _route_faults(place: str, route: typing.Any,
                  decode: entries.Decode) -> list[findings.Finding]:

    def accepts_route(name: str, value: typing.Any) -> bool:
        return entries.decode_route({**_ROUTE, name: value}, decode) is not None

    def accepts(name: str, value: typing.Any) -> bool:
        # Shares are examined one by one.
        return (isinstance(value, list) and name == 'trafficSplit' or
                accepts_route(name, value))

    def accepts_share(name: str, value: typing.Any) -> bool:
        return accepts_route('trafficSplit', [{**_SHARE, name: value}])

    known = dict(fields_module.ROUTE)
    split = route.get('trafficSplit') if isinstance(route, dict) else None
    if split:
        # The decoder does not read `service` then.
        del known['service']
    found = _object_faults(place, route, known, accepts)
    if isinstance(split, list):
        split_place = document.join(place, 'trafficSplit')
        for share_place, share in document.members(split_place, split):
            if not accepts_route('trafficSplit', [share]):
                found += _or_whole(
                    share_place,
                    _object_faults(share_place, share, fields_module.SHARE,
                                   accepts_share))
    return found


def _object_faults(place: str, value: typing.Any, known: fields_module.Fields,
                   accepts: _Accepts) -> list[findings.Finding]:
    """Returns the faults of the fields of one object.

    >>> for fault in _object_faults('routes[0].trafficSplit[1]',
    ...                             {'weight': 'x'}, fields_module.SHARE,
    ...                             lambda name, value: value != 'x'):
    ...     print(fault)
    error routes[0].trafficSplit[1].service: the field is missing; expected a \
name of 1 to 256 characters [missing-field]
    error routes[0].trafficSplit[1].weight: "x" is not a number from 0 to 1e9 \
[refused-value]
    """
    if not isinstance(value, dict):
        return [
            findings.Finding(Code.REFUSED_VALUE, place,
                             f'{findings.show(value)} is not an object')
        ]
    found = []
    for name, field in known.items():
        if name not in value:
            if field.is_required:
                found.append(
                    findings.Finding(
                        Code.MISSING_FIELD, document.join(place, name),
                        f'the field is missing; expected {field.expected}'))
        elif not accepts(name, value[name]):
            found.append(
                findings.Finding(
                    Code.REFUSED_VALUE, document.join(place, name),
                    f'{findings.show(value[name])} is not {field.expected}'))
    return found


def _or_whole(place: str,
              found: list[findings.Finding]) -> list[findings.Finding]:
    """Returns a finding about a refused entry if no field is at fault."""
    return found or [
        findings.Finding(Code.REFUSED_VALUE, place,
                         'the balancers refuse this entry')
    ]
