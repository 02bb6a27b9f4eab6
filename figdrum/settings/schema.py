"""Typed sections of a settings file.

Explanation
===========

Each section is a pydantic model that rejects unknown keys and parses its values
with the functions of `values`. Keys that end in `_ms` are durations in ms, keys
that end in `_rate` or `_per_s` are rates per second. The default values
are those of docs/design.md.
"""

import typing

import pydantic

from figdrum.core import ids
from figdrum.core import limits
from figdrum.settings import values


def _with_parser(base: typing.Any, parser: typing.Callable) -> typing.Any:

    def parse(value):
        return parser(value) if isinstance(value, str) else value

    return typing.Annotated[base, pydantic.BeforeValidator(parse)]


Name = _with_parser(str, values.parse_name)
OptionalName = _with_parser(str, values.parse_optional_name)
Host = _with_parser(str, values.parse_host)
Url = _with_parser(str, values.parse_url)
Prefix = _with_parser(str, values.parse_prefix)
RemoteAddress = _with_parser(ids.Address, values.parse_address)
RemoteAddresses = _with_parser(tuple[ids.Address, ...], values.parse_addresses)
Port = typing.Annotated[_with_parser(int, values.parse_int),
                        pydantic.Field(ge=0, le=values.MAX_PORT)]
RemotePort = typing.Annotated[_with_parser(int, values.parse_int),
                              pydantic.Field(ge=1, le=values.MAX_PORT)]
DurationMs = typing.Annotated[_with_parser(int, values.parse_int),
                              pydantic.Field(ge=1, le=86_400_000)]
KeyLifetimeMs = typing.Annotated[
    _with_parser(int, values.parse_int),
    pydantic.Field(gt=limits.EXCHANGE_LIFETIME_MS, le=86_400_000)]
Count = typing.Annotated[_with_parser(int, values.parse_int),
                         pydantic.Field(ge=1, le=1_000_000_000)]
Percent = typing.Annotated[_with_parser(int, values.parse_int),
                           pydantic.Field(ge=0, le=100)]
Rate = _with_parser(float, values.parse_rate)


def _key_field(text: str, **kwargs: typing.Any) -> typing.Any:
    return pydantic.Field(description=text, **kwargs)


class Section(pydantic.BaseModel):
    """Base of all sections: immutable, without unknown keys."""
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Process(Section):
    """Identity, logging and recording of the process."""
    name: Name = _key_field('Unique name of the process or operator.')
    zone: OptionalName = _key_field(
        'Availability zone; required for a balancer or agent.', default='')
    region: OptionalName = _key_field(
        'Region of the zone; required for a balancer or agent.', default='')
    log_level: typing.Literal['debug', 'info', 'warning', 'error'] = _key_field(
        'Lowest level that is logged.', default='info')
    log_format: typing.Literal['text',
                               'json'] = _key_field('Format of log lines.',
                                                    default='text')
    record: str = _key_field(
        'File to which decisions are recorded for replay; not recorded if '
        'empty.',
        default='')
    record_limit_bytes: Count = _key_field(
        'File size at which recording stops.', default=64_000_000)


class Balancer(Section):
    """Addresses, intervals and limits of a balancer."""
    packet_host: Host = _key_field('IPv4 address of all ports of the balancer.')
    packet_port: Port = _key_field('UDP port for packets from the fabric.')
    frame_port: Port = _key_field('UDP port for frames from and to agents.')
    control_port: Port = _key_field('TCP port for gossip and subscriptions.')
    fabric: RemoteAddress = _key_field(
        'Address of the fabric, to which replies are sent.')
    peers: RemoteAddresses = _key_field(
        'Control addresses of other balancers that are contacted first.',
        default=())
    linger_ms: DurationMs = _key_field(
        'Time for which a stopping balancer continues to forward.',
        default=10_000)
    ping_after_ms: DurationMs = _key_field(
        'Silence of an agent after which it is pinged.', default=500)
    suspect_after_ms: DurationMs = _key_field(
        'Silence of an agent after which it is suspected.',
        default=limits.SUSPECT_AFTER_MS)
    suspect_ping_ms: DurationMs = _key_field(
        'Time between pings of a suspected agent.', default=1_000)
    pings_per_s: Count = _key_field('Maximum number of pings per second.',
                                    default=10)
    gossip_ms: DurationMs = _key_field(
        'Interval at which a digest is sent to a random peer.', default=1_000)
    control_bytes_per_s: Count = _key_field('Maximum rate of control traffic.',
                                            default=5_000)
    control_burst_bytes: Count = _key_field('Maximum burst of control traffic.',
                                            default=65_536)


class Agent(Section):
    """Addresses of an agent, capacity of its target, intervals and limits."""
    service: Name = _key_field('Service that the target serves.')
    frame_host: Host = _key_field('IPv4 address of the frame port.')
    frame_port: Port = _key_field('UDP port for frames.')
    balancers: RemoteAddresses = _key_field(
        'Control addresses of balancers in the zone of the agent.',
        min_length=1)
    target: RemoteAddress = _key_field('HTTP address of the target.')
    slots: Count = _key_field(
        'Number of requests that the target handles at once.', default=1)
    connections: Count = _key_field('Maximum number of flows of the agent.',
                                    default=2_000)
    queue: Count = _key_field(
        'Maximum number of requests that wait for a slot.', default=64)
    cold_rate: Rate = _key_field(
        'Request starts per second that a cold target can handle.', default=2.0)
    full_rate: Rate = _key_field(
        'Request starts per second that a warm target can handle.',
        default=200.0)
    drain_ms: DurationMs = _key_field(
        'Time in which a leaving agent must hand over its flows.',
        default=30_000)
    linger_ms: DurationMs = _key_field(
        'Time for which a drained agent continues to forward packets.',
        default=10_000)
    tick_ms: DurationMs = _key_field('Interval between ticks.', default=100)
    wake_gap_ms: DurationMs = _key_field(
        'Gap between ticks after which the agent counts as resumed.',
        default=limits.WAKE_GAP_MS)
    skip_after_ms: DurationMs = _key_field(
        'Silence after which a member is skipped.',
        default=limits.SUSPECT_AFTER_MS)
    heartbeat_ms: DurationMs = _key_field(
        'Interval at which leases are sent to the other members.',
        default=limits.HEARTBEAT_MS)
    lost_after_ms: DurationMs = _key_field(
        'Silence after which a member is marked lost.',
        default=limits.LOST_AFTER_MS)
    lost_window_ms: DurationMs = _key_field(
        'Window in which one observer marks at most a third of a list as lost.',
        default=limits.LOST_WINDOW_MS)
    tombstone_ms: DurationMs = _key_field(
        'Time for which a member that is marked lost stays in the list.',
        default=limits.IDEMPOTENCY_KEY_LIFETIME_MS)
    key_ms: KeyLifetimeMs = _key_field(
        'Lifetime of an idempotency key, longer than that of copies of a '
        'request.',
        default=limits.IDEMPOTENCY_KEY_LIFETIME_MS)
    claim_answer_ms: DurationMs = _key_field(
        'Time limit for the reply to a claim.', default=300)
    repeat_ms: DurationMs = _key_field(
        'Interval at which an unanswered query is repeated.', default=100)
    park_ms: DurationMs = _key_field(
        'Time for which a packet waits for a newer list.', default=1_000)
    stale_ms: DurationMs = _key_field(
        'Interval between reports of staleness to one balancer.', default=1_000)
    notify_ms: DurationMs = _key_field(
        'Maximum time between confirmable notifications of a feed.',
        default=limits.MAX_NOTIFY_INTERVAL_MS)
    retry_percent: Percent = _key_field(
        'Maximum number of retries per 100 requests.', default=10)
    retry_window_ms: DurationMs = _key_field('Time window of the retry budget.',
                                             default=limits.RETRY_WINDOW_MS)
    deadline_ms: DurationMs = _key_field(
        'Deadline of a request that does not state one.',
        default=limits.DEFAULT_DEADLINE_MS)


class Platform(Section):
    """Access to the platform's object API."""
    url: Url = _key_field('Base URL of the object API, http://host:port.')
    timeout_ms: DurationMs = _key_field('Time limit of a call.', default=2_000)
    watch_ms: DurationMs = _key_field(
        'Time for which a watch waits for a change.', default=2_000)


class Statsd(Section):
    """Statsd server that receives the metrics."""
    host: Host = _key_field('IPv4 address of the statsd server.')
    port: RemotePort = _key_field('UDP port of the statsd server.',
                                  default=8125)
    prefix: Prefix = _key_field('Prefix of metric names.', default='figdrum')


class Settings(Section):
    """Contents of a settings file.

    Optional sections that the file does not have are None.
    """
    process: Process
    platform: Platform
    balancer: Balancer | None = None
    agent: Agent | None = None
    statsd: Statsd | None = None


SECTIONS: dict[str, type[Section]] = {
    'process': Process,
    'balancer': Balancer,
    'agent': Agent,
    'platform': Platform,
    'statsd': Statsd,
}
ROLES = ('balancer', 'agent')


class OrderRule(typing.NamedTuple):
    """Rule that one value of a section must be less than another one.

    Attributes:
      section: Section with both keys.
      low: Key of the smaller value.
      high: Key of the greater value.
      reason: Reason for the rule, shown to operators.
    """
    section: str
    low: str
    high: str
    reason: str


ORDER_RULES = (
    OrderRule('balancer', 'ping_after_ms', 'suspect_after_ms',
              'an agent must be pinged before it is suspected'),
    OrderRule('agent', 'tick_ms', 'wake_gap_ms',
              'a gap is detected as the time between two ticks'),
    OrderRule('agent', 'wake_gap_ms', 'skip_after_ms',
              'a member must detect its own pause before others skip it (R6)'),
    OrderRule('agent', 'heartbeat_ms', 'lost_after_ms',
              'a member that sends its leases must not be marked lost'),
    OrderRule('agent', 'repeat_ms', 'claim_answer_ms',
              'a claim must be repeated before its member counts as lost'),
)
