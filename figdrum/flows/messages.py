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
may_decline=False, is_idempotent=False, request_class=None, reads_rate=True)
>>> decode(encode(NotHeld(b'0123456789ab', ack=7, ended=True)))
NotHeld(key=b'0123456789ab', ack=7, ended=True)
"""

import functools
import struct
import typing

import msgpack
import xxhash

from figdrum.core import checks
from figdrum.core import errors
from figdrum.core import ids
from figdrum.flows import packed_flows
from figdrum.flows import routes
from figdrum.flows import target as target_module


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
      request_class: What the flow's callers need; None unless the packet is an
        opening packet.
      reads_rate: Whether the sender can decode reports with a rate.
    """
    tag: int
    wants_reply: bool
    raw: bytes
    may_decline: bool = False
    is_idempotent: bool = False
    request_class: routes.RequestClass | None = None
    reads_rate: bool = False


class Ask(typing.NamedTuple):
    """A balancer's query whether the agent's target holds these flows.

    Attributes:
      flows: Key and last client acknowledgement of each flow.
    """
    flows: tuple[tuple[bytes, int], ...]


class Denial(typing.NamedTuple):
    """An agent's answer to `Ask` for flows that its target may not hold.

    Flows have the key and acknowledgement number of the query.

    Attributes:
      not_held: Flows that the target does not hold.
      unsure: Flows for which the agent does not know. After the packet of a
        flow it means that the target, which does not seem to run, has not
        returned it.
    """
    not_held: tuple[tuple[bytes, int], ...]
    unsure: tuple[tuple[bytes, int], ...]


class Held(typing.NamedTuple):
    """The agent's target holds the flow.

    A client may use an address and port again, so that the key alone does not
    identify a flow.

    Attributes:
      key: Key of the flow.
      ack: The client's acknowledgement number in the packet or query.
    """
    key: bytes
    ack: int


class NotHeld(typing.NamedTuple):
    """The agent's target does not hold the flow.

    Attributes:
      key: Key of the flow.
      ack: The client's acknowledgement number in the packet or query.
      ended: Whether the target held the flow and it has ended.
    """
    key: bytes
    ack: int
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
      requests: Requests at the target that are in progress or about to be, and
        opening packets that wait at the agent.
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
      zone: The balancer's zone; None if the balancer or the agent is older than
        this field.
    """
    knowledge: Knowledge
    cold_limit: int | None
    agent_count: int
    zone: str | None = None


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
      rate_per_s: Requests per second that one slot completes, 0 if it is not
        known yet. It is None, and left out of the message, if the agent is
        older than this field, or does not know that the balancer can decode it.
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
    rate_per_s: float | None = None


class RecentFlows(typing.NamedTuple):
    """Flows that an agent has opened since its last record in the store.

    Attributes:
      target: Identity of the target's incarnation.
      replaces: Whether the balancer drops what it has of this agent, since the
        agent's record includes it or it was of another incarnation.
      packed_flows: `packed_flows.pack` of the flows.
    """
    target: str
    replaces: bool
    packed_flows: bytes


class RecentFlowsStored(typing.NamedTuple):
    """A collector's answer to `RecentFlows`, once the store has the flows.

    Attributes:
      target: Identity of the target's incarnation in the messages.
      digests: `recent_flows_digest` of each message since the last answer.
    """
    target: str
    digests: tuple[int, ...]


# Mean time in ms between two reports of one agent to any balancers; the more
# balancers there are, the fewer reports each gets. 25 reports of 90 bytes per
# second take 2.2 KB/s of the 5 KB/s allowed for control messages.
REPORT_SPACING_MS = 40

# Length in bytes of a flow's key: two addresses and two ports.
FLOW_KEY_BYTES = 12

# Largest number of requests, flows or slots that a node can report, and of
# agents; a deployment of the size to plan for has 11 million flows.
MAX_COUNT = 1_000_000_000

# Largest rate of a target, in requests per second and slot.
MAX_RATE_PER_S = 1_000_000

# Longest period of reports, in ms.
MAX_REPORT_PERIOD_MS = 3_600_000

# Version of the messages that this code can decode, which agents state in their
# registrations. Nodes of an earlier version refuse an array with more fields
# than they know, so a balancer sends them only to agents that know them.
VERSION = 3

# Version since which `Hello` has a zone.
HELLO_ZONE_VERSION = 2

# Version since which agents know `RecentFlowsStored`.
RECENT_FLOWS_STORED_VERSION = 3

# Digests in a `RecentFlowsStored` message at most. An agent sends one message a
# second, and an object is written within a few seconds.
MAX_DIGESTS = 64

# Flows in a `RecentFlows` message at most: 1,024 bytes, so that the message
# fits in one packet.
MAX_RECENT_FLOWS = 64

# Largest datagram of a client inside a message, in bytes.
_MAX_RAW_BYTES = 4_096

# Zones taken out at most; the deployment to plan for has 8 zones.
MAX_ZONES = 1_024


class CheckRegistration(typing.NamedTuple):
    """The agent's registration is missing or odd, or a balancer doubts it."""


Message = (ForwardedPacket | Ask | Denial | Held | NotHeld | Refused |
           Declined | Hello | Report | CheckRegistration | RecentFlows |
           RecentFlowsStored)

_FORWARDED_PACKET = struct.Struct('!BBI')
_FORWARDED_PACKET_TYPE = 1
_WANTS_REPLY = 1
_MAY_DECLINE = 2
_IS_IDEMPOTENT = 4
_HAS_CLASS = 8
# Older agents ignore this bit, while older balancers refuse reports with more
# fields than they know. Without a report they take an agent for silent.
_READS_RATE = 16

# Priority, latency target and timeout in ms; 0 stands for an unknown time.
_REQUEST_CLASS = struct.Struct('!BII')

_TYPES: dict[int, typing.Any] = {
    2: Held,
    3: NotHeld,
    4: Refused,
    5: Hello,
    6: Report,
    7: Ask,
    8: Denial,
    9: Declined,
    10: CheckRegistration,
    11: RecentFlows,
    12: RecentFlowsStored
}
_CODES = {message_type: code for code, message_type in _TYPES.items()}


@functools.lru_cache(maxsize=4_096)
def service_tag(service: str) -> int:
    """Returns the 32-bit hash that identifies a service in messages."""
    return xxhash.xxh32_intdigest(service.encode())


def recent_flows_digest(message: RecentFlows) -> int:
    """Returns the number by which a collector confirms a message."""
    return xxhash.xxh32_intdigest(message.packed_flows, int(message.replaces))


def encode_forwarded_packet(
        tag: int,
        wants_reply: bool,
        raw: bytes,
        may_decline: bool = False,
        is_idempotent: bool = False,
        request_class: routes.RequestClass | None = None) -> bytes:
    """Returns the datagram that forwards a client's packet to an agent."""
    options = (_WANTS_REPLY * wants_reply | _MAY_DECLINE * may_decline |
               _IS_IDEMPOTENT * is_idempotent | _HAS_CLASS *
               (request_class is not None) | _READS_RATE)
    head = _FORWARDED_PACKET.pack(_FORWARDED_PACKET_TYPE, options, tag)
    if request_class is None:
        return head + raw
    return head + _REQUEST_CLASS.pack(request_class.priority,
                                      request_class.latency_target_ms or 0,
                                      request_class.timeout_ms or 0) + raw


def _decode_forwarded_packet(data: bytes) -> ForwardedPacket:
    _, options, tag = _FORWARDED_PACKET.unpack_from(data)
    start = _FORWARDED_PACKET.size
    request_class = None
    if options & _HAS_CLASS:
        if len(data) < start + _REQUEST_CLASS.size:
            raise errors.MessageError('decode', 'peer',
                                      'truncated request class')
        priority, latency_target_ms, timeout_ms = _REQUEST_CLASS.unpack_from(
            data, start)
        request_class = routes.RequestClass(
            min(priority, routes.DEFAULT_PRIORITY), latency_target_ms or None,
            timeout_ms or None)
        start += _REQUEST_CLASS.size
    return ForwardedPacket(tag, bool(options & _WANTS_REPLY), data[start:],
                           bool(options & _MAY_DECLINE),
                           bool(options & _IS_IDEMPOTENT), request_class,
                           bool(options & _READS_RATE))


def encode(message: Message) -> bytes:
    """Encodes a message other than `ForwardedPacket`."""
    fields = tuple(message)
    if (isinstance(message, Hello) and message.zone is None or
            isinstance(message, Report) and message.rate_per_s is None):
        # Nodes of versions without the field refuse a longer array.
        fields = fields[:-1]
    return bytes((_CODES[type(message)],)) + msgpack.packb(fields)


def decode(data: bytes) -> Message:
    """Decodes a datagram.

    Raises:
      errors.MessageError: if `data` is not a valid message.
    """
    if data[:1] == b'\x01' and len(data) >= _FORWARDED_PACKET.size:
        return _decode_forwarded_packet(data)
    message_type = _TYPES.get(data[0]) if data else None
    if message_type is None:
        raise errors.MessageError('decode', 'peer', 'unknown message type')
    try:
        fields = msgpack.unpackb(data[1:], use_list=False)
        return _CHECKS[message_type](*checks.sequence(fields))
    except (ValueError, TypeError, RecursionError,
            msgpack.UnpackException) as exc:
        raise errors.MessageError(
            'decode', 'peer', f'malformed {message_type.__name__} message: '
            f'{checks.show(exc)}') from exc


def _key(value: object) -> bytes:
    return checks.octets(value, FLOW_KEY_BYTES, FLOW_KEY_BYTES)


def _ack(value: object) -> int:
    return checks.integer(value, 0, checks.MAX_UINT32)


def _flows(value: object) -> tuple[tuple[bytes, int], ...]:
    return tuple((_key(key), _ack(ack))
                 for key, ack in map(checks.sequence, checks.sequence(value)))


def _raw(value: object) -> bytes:
    return checks.octets(value, 0, _MAX_RAW_BYTES)


def _count(value: object) -> int:
    return checks.integer(value, 0, MAX_COUNT)


def _check_ask(flows: object) -> Ask:
    return Ask(_flows(flows))


def _check_denial(not_held: object, unsure: object) -> Denial:
    return Denial(_flows(not_held), _flows(unsure))


def _check_held(key: object, ack: object) -> Held:
    return Held(_key(key), _ack(ack))


def _check_not_held(key: object, ack: object, ended: object) -> NotHeld:
    return NotHeld(_key(key), _ack(ack), checks.boolean(ended))


def _check_refused(reason: object, raw: object) -> Refused:
    return Refused(checks.text(reason), _raw(raw))


def _check_declined(requests: object, raw: object) -> Declined:
    return Declined(_count(requests), _raw(raw))


def _check_knowledge(value: object) -> Knowledge:
    version, revision, zones_out = checks.sequence(value)
    names = checks.sequence(zones_out)
    checks.integer(len(names), 0, MAX_ZONES)
    return Knowledge(
        checks.integer(version, -1, checks.MAX_INT64),
        ids.StoreRevision(checks.integer(revision, -1, checks.MAX_INT64)),
        tuple(checks.name(zone) for zone in names))


def _check_hello(knowledge: object,
                 limit: object,
                 agents: object,
                 zone: object = None) -> Hello:
    return Hello(_check_knowledge(knowledge),
                 None if limit is None else _count(limit), _count(agents),
                 None if zone is None else checks.name(zone))


def _check_recent_flows(target: object, replaces: object,
                        flows: object) -> RecentFlows:
    packed = checks.octets(flows, 0, MAX_RECENT_FLOWS * packed_flows.FLOW_BYTES)
    if len(packed) % packed_flows.FLOW_BYTES:
        raise checks.MalformedError('the last flow is cut off')
    return RecentFlows(checks.name(target), checks.boolean(replaces), packed)


def _check_recent_flows_stored(target: object,
                               digests: object) -> RecentFlowsStored:
    values = checks.sequence(digests)
    checks.integer(len(values), 0, MAX_DIGESTS)
    return RecentFlowsStored(
        checks.name(target),
        tuple(checks.integer(value, 0, checks.MAX_UINT32) for value in values))


# One parameter for each field of the message.
# pylint: disable-next=too-many-positional-arguments
def _check_report(tag: object, target: object, state: object, is_cold: object,
                  busy: object, flows: object, slots: object, period_ms: object,
                  knowledge: object, *later: object) -> Report:
    # Fields after the rate are those of newer agents.
    rate_per_s = later[0] if later else None
    return Report(checks.integer(tag, 0,
                                 checks.MAX_UINT32), checks.text(target),
                  target_module.TargetState(state).value,
                  checks.boolean(is_cold),
                  max(0.0, checks.number(busy, -MAX_COUNT, MAX_COUNT)),
                  _count(flows), checks.integer(slots, 1, MAX_COUNT),
                  checks.integer(period_ms, 0, MAX_REPORT_PERIOD_MS),
                  _check_knowledge(knowledge), _check_rate(rate_per_s))


def _check_rate(value: object) -> float | None:
    return None if value is None else checks.number(value, 0, MAX_RATE_PER_S)


_CHECKS: dict[typing.Any, typing.Callable[..., Message]] = {
    Ask: _check_ask,
    Denial: _check_denial,
    Held: _check_held,
    NotHeld: _check_not_held,
    Refused: _check_refused,
    Declined: _check_declined,
    Hello: _check_hello,
    Report: _check_report,
    CheckRegistration: CheckRegistration,
    RecentFlows: _check_recent_flows,
    RecentFlowsStored: _check_recent_flows_stored,
}
