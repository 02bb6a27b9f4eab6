"""Encoding of agents' registrations in the store.

Examples
========

>>> one = target.Registration(('10.0.0.1', 7000), 'a', 'booking', 'i-1@5',
...                           target.TargetState.READY, False)
>>> decode(encode(one)) == one
True
>>> decode({'service': 'booking'}) is None
True
"""

import typing

from figdrum.core import ids
from figdrum.flows import target

KIND = 'figdrum-agents'


def object_name(agent: ids.Address) -> str:
    """Returns the name of an agent's object, formed from its address."""
    return f'{agent[0]}-{agent[1]}'


def encode(registration: target.Registration) -> dict[str, typing.Any]:
    """Returns the object that is stored for a registration."""
    return {
        'agent': list(registration.agent),
        'zone': registration.zone,
        'service': registration.service,
        'target': registration.target,
        'state': registration.state.value,
        'is_cold': registration.is_cold,
    }


def decode(value: typing.Any) -> target.Registration | None:
    """Returns the registration in a stored object, or None if malformed."""
    try:
        host, port = value['agent']
        return target.Registration((str(host), int(port)),
                                   ids.ZoneName(value['zone']),
                                   ids.ServiceName(value['service']),
                                   str(value['target']),
                                   target.TargetState(value['state']),
                                   bool(value['is_cold']))
    except (KeyError, TypeError, ValueError):
        return None
