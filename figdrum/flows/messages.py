"""Messages between balancers and agents.

Explanation
===========

A packet goes with a fixed head, since there are many and each byte between
zones counts. All other messages are msgpack arrays behind their type.

Examples
========

>>> decode(encode_carry(service_tag('fieldbook'), True, b'datagram'))
Carry(tag=3219963083, asks=True, raw=b'datagram')
>>> decode(encode(NotHeld(b'key', ended=True)))
NotHeld(key=b'key', ended=True)
"""

import functools
import struct
import typing

import msgpack
import xxhash

from figdrum.core import errors


class Carry(typing.NamedTuple):
    """A client's packet on its way to a target.

    Attributes:
      tag: `service_tag` of the service that the packet is for.
      asks: Whether the balancer wants `Held` or `NotHeld` in return.
      raw: The datagram.
    """
    tag: int
    asks: bool
    raw: bytes


class Ask(typing.NamedTuple):
    """Does the agent's target hold these flows?

    Attributes:
      flows: Key of each flow and the client's last acknowledgement.
    """
    flows: tuple[tuple[bytes, int], ...]


class Denial(typing.NamedTuple):
    """The agent's target holds none of these flows, or the agent cannot tell.

    Attributes:
      not_held: Keys of flows that it does not hold.
      unsure: Keys of flows of which the agent cannot tell.
    """
    not_held: tuple[bytes, ...]
    unsure: tuple[bytes, ...]


class Held(typing.NamedTuple):
    """The agent's target holds the flow.

    Attributes:
      key: Key of the flow.
    """
    key: bytes


class NotHeld(typing.NamedTuple):
    """The agent's target does not hold the flow.

    Attributes:
      key: Key of the flow.
      ended: The flow was the target's and has ended with it.
    """
    key: bytes
    ended: bool


class Refused(typing.NamedTuple):
    """An opening packet that no target has taken.

    Attributes:
      reason: `RefusalReason` value.
      raw: The datagram.
    """
    reason: str
    raw: bytes


class Knowledge(typing.NamedTuple):
    """What a node knows of the operators' wishes.

    Explanation
    ===========

    Agents pass the newest that they have heard on to all balancers, so that one
    whose watch has gone deaf notices.

    Attributes:
      version: Version of the configuration, or -1.
      revision: Store revision at which the zones taken out were read, or -1.
      zones_out: Zones taken out then, sorted.
    """
    version: int
    revision: int
    zones_out: tuple[str, ...]


NO_KNOWLEDGE = Knowledge(-1, -1, ())


def merge_knowledge(one: Knowledge, other: Knowledge) -> Knowledge:
    """Returns the newer of each part.

    >>> merge_knowledge(Knowledge(3, 9, ('a',)), Knowledge(4, 8, ()))
    Knowledge(version=4, revision=9, zones_out=('a',))
    """
    zones = one if one.revision >= other.revision else other
    return Knowledge(max(one.version, other.version), zones.revision,
                     zones.zones_out)


class Hello(typing.NamedTuple):
    """A balancer asks an agent for reports.

    Attributes:
      knowledge: What the balancer knows.
      cold_limit: Opening packets that a cold target of the agent's service may
        get within a second; None for no limit.
      agents: Agents that the balancer knows.
    """
    knowledge: Knowledge
    cold_limit: int | None
    agents: int


class Report(typing.NamedTuple):
    """State and load of an agent's target.

    Attributes:
      tag: `service_tag` of the target's service.
      target: Identity of the target's incarnation, empty if unknown.
      state: `target.TargetState` value.
      is_cold: The target has started a short time ago.
      busy: Requests in progress, averaged over about two seconds.
      flows: Open flows.
      slots: Requests that the target runs at once.
      period_ms: Time until the next report, unless something changes.
      knowledge: The newest that the agent has heard from balancers.
    """
    tag: int
    target: str
    state: str
    is_cold: bool
    busy: float
    flows: int
    slots: int
    period_ms: int
    knowledge: Knowledge


Message = Carry | Ask | Denial | Held | NotHeld | Refused | Hello | Report

_CARRY = struct.Struct('!BBI')
_CARRY_TYPE = 1
_TYPES: dict[int, typing.Any] = {
    2: Held,
    3: NotHeld,
    4: Refused,
    5: Hello,
    6: Report,
    7: Ask,
    8: Denial
}
_CODES = {kind: code for code, kind in _TYPES.items()}


@functools.lru_cache(maxsize=4_096)
def service_tag(service: str) -> int:
    """Returns the number that stands for a service in messages."""
    return xxhash.xxh32_intdigest(service.encode())


def encode_carry(tag: int, asks: bool, raw: bytes) -> bytes:
    """Returns the datagram that carries a client's packet to an agent."""
    return _CARRY.pack(_CARRY_TYPE, asks, tag) + raw


def encode(message: Message) -> bytes:
    """Returns the datagram of a message other than `Carry`."""
    return bytes((_CODES[type(message)],)) + msgpack.packb(tuple(message))


def decode(data: bytes) -> Message:
    """Returns the message in `data`.

    Raises:
      errors.MessageError: if `data` is no message.
    """
    if data[:1] == b'\x01' and len(data) >= _CARRY.size:
        _, asks, tag = _CARRY.unpack_from(data)
        return Carry(tag, bool(asks), data[_CARRY.size:])
    kind = _TYPES.get(data[0]) if data else None
    if kind is None:
        raise errors.MessageError('decode', 'peer', 'unknown message type')
    try:
        fields = msgpack.unpackb(data[1:], use_list=False)
        if kind in (Hello, Report):
            position = kind._fields.index('knowledge')
            knowledge = Knowledge(*fields[position])
            fields = (*fields[:position], knowledge, *fields[position + 1:])
        return kind(*fields)
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise errors.MessageError('decode', 'peer',
                                  f'not a {kind.__name__}: {exc}') from exc
