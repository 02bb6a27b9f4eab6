"""Encoding of agents' registrations in the store.

Examples
========

>>> one = target.Registration(('10.0.0.1', 7000), 'a', 'booking', 'i-1@5',
...                           target.TargetState.READY, False)
>>> decode('10.0.0.1-7000', encode(one)) == one
True
>>> decode('10.0.0.1-7000', {'service': 'booking'}) is None
True
>>> gone = one._replace(state=target.TargetState.LEFT)
>>> decode('10.0.0.1-7000', encode(gone)) == gone, encode(gone)['state']
(True, 'down')
"""

import typing

from figdrum.core import checks
from figdrum.core import ids
from figdrum.flows import target

KIND = 'figdrum-agents'

# Balancers of earlier versions cannot decode the state LEFT, and would not look
# for flows at an agent whose entry they cannot read.
_STORED_STATES = {target.TargetState.LEFT: target.TargetState.DOWN}


def object_name(agent: ids.Address) -> str:
    """Returns the name of an agent's object, formed from its address."""
    return f'{agent[0]}-{agent[1]}'


def encode(registration: target.Registration) -> dict[str, typing.Any]:
    """Returns the object that is stored for a registration."""
    value = {
        'agent':
            list(registration.agent),
        'zone':
            registration.zone,
        'service':
            registration.service,
        'target':
            registration.target,
        'state':
            _STORED_STATES.get(registration.state, registration.state).value,
        'is_cold':
            registration.is_cold,
    }
    if registration.state is target.TargetState.LEFT:
        value['has_left'] = True
    if registration.is_doubted:
        value['is_doubted'] = True
    if registration.message_version > 1:
        value['message_version'] = registration.message_version
    return value


def _decode_state(value: typing.Any) -> target.TargetState:
    state = target.TargetState(value['state'])
    if checks.boolean(value.get('has_left', False)):
        return (target.TargetState.LEFT
                if state is target.TargetState.DOWN else state)
    # Only the separate field says so, since other writers may not know it.
    return _STORED_STATES.get(state, state)


def decode(name: str, value: typing.Any) -> target.Registration | None:
    """Returns the registration in a stored object, or None if malformed.

    The object of an agent has the name of its address, so that no other object
    can take the place of that agent.
    """
    try:
        host, port = checks.sequence(value['agent'])
        registration = target.Registration(
            checks.address(host, port),
            ids.ZoneName(checks.name(value['zone'])),
            ids.ServiceName(checks.name(value['service'])),
            checks.text(value['target']), _decode_state(value),
            checks.boolean(value['is_cold']),
            checks.boolean(value.get('is_doubted', False)),
            checks.integer(value.get('message_version', 1), 1,
                           checks.MAX_INT32))
    except (KeyError, TypeError, ValueError):
        return None
    return registration if object_name(registration.agent) == name else None
