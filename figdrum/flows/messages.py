"""Messages between balancers and agents.

Explanation
===========

A forwarded packet has a fixed binary header, since there are many of them and
each byte between zones counts. All other messages are a type byte followed by a
msgpack array.

Examples
========

>>> decode(encode_forwarded_packet(service_tag('fieldbook'), True, b'datagram'))
ForwardedPacket(tag=3219963083, wants_reply=True, raw=b'datagram', \
may_decline=False, is_idempotent=False)
>>> decode(encode(NotHeld(b'key', ended=True)))
NotHeld(key=b'key', ended=True)
"""

import functools
import struct
import typing

import msgpack
import xxhash

from figdrum.core import errors
from figdrum.core import ids


class ForwardedPacket(typing.NamedTuple):
    """A client's packet that a balancer forwards to an agent.

    Attributes:
      tag: `service_tag` of the service that the packet is for.
      wants_reply: Whether the agent answers with `Held` or `NotHeld`.
      raw: The datagram.
      may_decline: Whether an agent with a busy target may send an opening
        packet back with `Declined`.
      is_idempotent: Whether clients may repeat a request of the flow that had
        no answer.
    """
    tag: int
    wants_reply: bool
    raw: bytes
    may_decline: bool = False
    is_idempotent: bool = False


class Ask(typing.NamedTuple):
    """A balancer's query whether the agent's target holds these flows.

    Attributes:
      flows: Key and last client acknowledgement of each flow.
    """
    flows: tuple[tuple[bytes, int], ...]


class Denial(typing.NamedTuple):
    """An agent's answer to `Ask` for flows that its target may not hold.

    Attributes:
      not_held: Keys of flows that the target does not hold.
      unsure: Keys of flows for which the agent does not know.
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
      ended: Whether the target held the flow and it has ended.
    """
    key: bytes
    ended: bool


class Refused(typing.NamedTuple):
    """An opening packet that the agent or its target has refused.

    Attributes:
      reason: `target.RefusalReason` value.
      raw: The datagram, which the balancer can send to another target.
    """
    reason: str
    raw: bytes


class Declined(typing.NamedTuple):
    """An opening packet that the agent sent back because its target is busy.

    Attributes:
      requests: Requests at the target that are in progress or about to be.
      raw: The datagram.
    """
    requests: int
    raw: bytes


class Knowledge(typing.NamedTuple):
    """The versions of the operators' settings that a node has.

    Explanation
    ===========

    Agents report the newest versions that they have received to all balancers,
    so that a balancer whose watch of the store has failed notices it.

    Attributes:
      version: Version of the configuration, or -1.
      revision: Store revision at which the zones taken out were read, or -1.
      zones_out: Zones taken out at `revision`, sorted.
    """
    version: int
    revision: ids.StoreRevision
    zones_out: tuple[str, ...]


NO_KNOWLEDGE = Knowledge(-1, ids.StoreRevision(-1), ())


def merge_knowledge(one: Knowledge, other: Knowledge) -> Knowledge:
    """Returns the newer configuration version and the newer set of zones.

    >>> merge_knowledge(Knowledge(3, 9, ('a',)), Knowledge(4, 8, ()))
    Knowledge(version=4, revision=9, zones_out=('a',))
    """
    zones = one if one.revision >= other.revision else other
    return Knowledge(max(one.version, other.version), zones.revision,
                     zones.zones_out)


class Hello(typing.NamedTuple):
    """Periodic message of a balancer that subscribes it to reports.

    Attributes:
      knowledge: The balancer's versions.
      cold_limit: Opening packets per second that a cold target of the agent's
        service may get; None for no limit.
      agent_count: Number of agents that the balancer knows.
    """
    knowledge: Knowledge
    cold_limit: int | None
    agent_count: int


class Report(typing.NamedTuple):
    """State and load of an agent's target.

    Attributes:
      tag: `service_tag` of the target's service.
      target: Identity of the target's incarnation, empty if unknown.
      state: `target.TargetState` value.
      is_cold: Whether the target is still warming up after its start.
      busy: Requests in progress, averaged over about two seconds.
      flows: Number of flows in the agent's table.
      slots: Requests that the target processes in parallel.
      period_ms: Time in ms until the next report, unless something changes.
      knowledge: The newest versions that the agent has received.
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


Message = (ForwardedPacket | Ask | Denial | Held | NotHeld | Refused |
           Declined | Hello | Report)

_FORWARDED_PACKET = struct.Struct('!BBI')
_FORWARDED_PACKET_TYPE = 1
_WANTS_REPLY = 1
_MAY_DECLINE = 2
_IS_IDEMPOTENT = 4
_TYPES: dict[int, typing.Any] = {
    2: Held,
    3: NotHeld,
    4: Refused,
    5: Hello,
    6: Report,
    7: Ask,
    8: Denial,
    9: Declined
}
_CODES = {message_type: code for code, message_type in _TYPES.items()}


@functools.lru_cache(maxsize=4_096)
def service_tag(service: str) -> int:
    """Returns the 32-bit hash that identifies a service in messages."""
    return xxhash.xxh32_intdigest(service.encode())


def encode_forwarded_packet(tag: int,
                            wants_reply: bool,
                            raw: bytes,
                            may_decline: bool = False,
                            is_idempotent: bool = False) -> bytes:
    """Returns the datagram that forwards a client's packet to an agent."""
    options = (_WANTS_REPLY * wants_reply | _MAY_DECLINE * may_decline |
               _IS_IDEMPOTENT * is_idempotent)
    return _FORWARDED_PACKET.pack(_FORWARDED_PACKET_TYPE, options, tag) + raw


def encode(message: Message) -> bytes:
    """Encodes a message other than `ForwardedPacket`."""
    return bytes((_CODES[type(message)],)) + msgpack.packb(tuple(message))


def decode(data: bytes) -> Message:
    """Decodes a datagram.

    Raises:
      errors.MessageError: if `data` is not a valid message.
    """
    if data[:1] == b'\x01' and len(data) >= _FORWARDED_PACKET.size:
        _, options, tag = _FORWARDED_PACKET.unpack_from(data)
        return ForwardedPacket(tag, bool(options & _WANTS_REPLY),
                               data[_FORWARDED_PACKET.size:],
                               bool(options & _MAY_DECLINE),
                               bool(options & _IS_IDEMPOTENT))
    message_type = _TYPES.get(data[0]) if data else None
    if message_type is None:
        raise errors.MessageError('decode', 'peer', 'unknown message type')
    try:
        fields = msgpack.unpackb(data[1:], use_list=False)
        if message_type in (Hello, Report):
            position = message_type._fields.index('knowledge')
            knowledge = Knowledge(*fields[position])
            fields = (*fields[:position], knowledge, *fields[position + 1:])
        return message_type(*fields)
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise errors.MessageError(
            'decode', 'peer',
            f'malformed {message_type.__name__} message: {exc}') from exc
