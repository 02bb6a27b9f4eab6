"""The published list of a service's back ends.

Explanation
===========

The platform holds one object `lists/<service>` per service. Its version is the
list's version. A `ServiceList` is immutable; every change returns a new one.

Examples
========

>>> empty = ServiceList.empty('fieldbook')
>>> one = empty.with_member(Member('fieldbook-1', ('10.0.0.1', 7000),
...                                'muscat-a', 1, states.MemberState.ACTIVE))
>>> [member.name for member in one.members]
['fieldbook-1']
>>> ServiceList.from_json('fieldbook', 1, one.to_json()).members == one.members
True
"""

import json
import typing

from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import states
from figdrum.routing import rendezvous


class Member(typing.NamedTuple):
    """One back end and the agent beside it.

    Attributes:
      name: The agent's name, unique in the service.
      address: The agent's UDP address.
      zone: Availability zone.
      incarnation: List version at which this process joined.
      state: Published state.
      rejoined: True if the same name was in the list before, so that the
        records of its earlier incarnation are lost.
    """
    name: ids.AgentName
    address: ids.Address
    zone: ids.ZoneName
    incarnation: ids.Incarnation
    state: states.MemberState
    rejoined: bool = False


class ServiceList(typing.NamedTuple):
    """A service's members at one version of its list.

    Attributes:
      service: The service's name.
      version: Version of the platform's object; 0 before it exists.
      members: Members sorted by name, including lost and left ones until they
        are pruned.
    """
    service: ids.ServiceName
    version: int
    members: tuple[Member, ...]

    @classmethod
    def empty(cls, service: str) -> 'ServiceList':
        """Returns the list of a service that has no object yet."""
        return cls(ids.ServiceName(service), 0, ())

    @classmethod
    def from_json(cls, service: str, version: int, text: str) -> 'ServiceList':
        """Parses the value of `lists/<service>`.

        Raises:
          errors.MessageError: if the text is not a list of members.
        """
        try:
            members = tuple(
                _read_member(row) for row in json.loads(text)['members'])
        except (KeyError, TypeError, ValueError) as exc:
            raise errors.MessageError('read list', f'lists/{service}',
                                      repr(exc)) from exc
        return cls(ids.ServiceName(service), version, members)

    def to_json(self) -> str:
        """Returns the value to store under `lists/<service>`."""
        rows = [{
            'name': member.name,
            'host': member.address[0],
            'port': member.address[1],
            'zone': member.zone,
            'incarnation': member.incarnation,
            'state': member.state.value,
            'rejoined': member.rejoined,
        } for member in self.members]
        return json.dumps({'members': rows}, sort_keys=True)

    def find(self, name: str) -> Member | None:
        """Returns the member called `name`, in any state, or None."""
        return next((m for m in self.members if m.name == name), None)

    def with_member(self, member: Member) -> 'ServiceList':
        """Returns the list with `member` added or replaced."""
        rest = [m for m in self.members if m.name != member.name]
        return self._replace(
            members=tuple(sorted(rest + [member], key=lambda m: m.name)))

    def without(self, name: str) -> 'ServiceList':
        """Returns the list without the member called `name`."""
        return self._replace(members=tuple(
            m for m in self.members if m.name != name))

    def routable(
        self, zones_out: frozenset[str] = frozenset()) -> tuple[Member, ...]:
        """Returns the members that may hold flows: active or draining ones
        outside `zones_out`."""
        alive = (states.MemberState.ACTIVE, states.MemberState.DRAINING)
        return tuple(m for m in self.members
                     if m.state in alive and m.zone not in zones_out)

    def order(
        self, key: bytes,
        zones_out: frozenset[str] = frozenset()) -> tuple[Member, ...]:
        """Returns the routable members in rendezvous order of `key`."""
        by_name = {m.name: m for m in self.routable(zones_out)}
        return tuple(by_name[name] for name in rendezvous.order(key, by_name))


_FIELD_TYPES = {
    'name': str,
    'host': str,
    'port': int,
    'zone': str,
    'incarnation': int,
    'rejoined': bool,
}


def _read_member(row: dict) -> Member:
    for field, wanted in _FIELD_TYPES.items():
        if type(row[field]) is not wanted:  # pylint: disable=unidiomatic-typecheck
            raise TypeError(f'{field} is {row[field]!r:.40}')
    return Member(row['name'], (row['host'], row['port']),
                  row['zone'], row['incarnation'],
                  states.MemberState(row['state']), row['rejoined'])
