"""Typed sections of a settings file.

Explanation
===========

One model per section. A model refuses unknown keys, and every value is checked
by a parser of `values`. Keys that end in `_ms` are durations in ms, keys that
end in `_rate` or `_per_s` count per second. A default is the figure of
docs/design.md.
"""

import typing

import pydantic

from figdrum.core import ids
from figdrum.core import limits
from figdrum.settings import values


def _parsed(base: typing.Any, parser: typing.Callable) -> typing.Any:

    def parse(value):
        return parser(value) if isinstance(value, str) else value

    return typing.Annotated[base, pydantic.BeforeValidator(parse)]


Name = _parsed(str, values.parse_name)
OptionalName = _parsed(str, values.parse_optional_name)
Host = _parsed(str, values.parse_host)
Url = _parsed(str, values.parse_url)
Prefix = _parsed(str, values.parse_prefix)
RemoteAddress = _parsed(ids.Address, values.parse_address)
RemoteAddresses = _parsed(tuple[ids.Address, ...], values.parse_addresses)
Port = typing.Annotated[_parsed(int, values.parse_int),
                        pydantic.Field(ge=0, le=values.MAX_PORT)]
RemotePort = typing.Annotated[_parsed(int, values.parse_int),
                              pydantic.Field(ge=1, le=values.MAX_PORT)]
Ms = typing.Annotated[_parsed(int, values.parse_int),
                      pydantic.Field(ge=1, le=86_400_000)]
KeyMs = typing.Annotated[
    _parsed(int, values.parse_int),
    pydantic.Field(gt=limits.EXCHANGE_LIFETIME_MS, le=86_400_000)]
Count = typing.Annotated[_parsed(int, values.parse_int),
                         pydantic.Field(ge=1, le=1_000_000_000)]
Percent = typing.Annotated[_parsed(int, values.parse_int),
                           pydantic.Field(ge=0, le=100)]
Rate = _parsed(float, values.parse_rate)


def _key(text: str, **kwargs: typing.Any) -> typing.Any:
    return pydantic.Field(description=text, **kwargs)


class Section(pydantic.BaseModel):
    """Base of all sections: immutable, unknown keys refused."""
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Process(Section):
    """Who this process is and how it reports."""
    name: Name = _key('Name of the process or of the operator, unique.')
    zone: OptionalName = _key(
        'Availability zone; required for a balancer or agent.', default='')
    region: OptionalName = _key(
        'Region of the zone; required for a balancer or agent.', default='')
    log_level: typing.Literal['debug', 'info', 'warning',
                              'error'] = _key('Lowest level that is logged.',
                                              default='info')
    log_format: typing.Literal['text', 'json'] = _key('Form of a log line.',
                                                      default='text')
    record: str = _key(
        'File to which decisions are recorded for replay; empty for none.',
        default='')
    record_limit_bytes: Count = _key('Size at which recording stops.',
                                     default=64_000_000)


class Balancer(Section):
    """A balancer's addresses and periods."""
    packet_host: Host = _key('IPv4 address of all ports of this balancer.')
    packet_port: Port = _key('UDP port for packets from the fabric.')
    frame_port: Port = _key('UDP port for frames from and to agents.')
    control_port: Port = _key('TCP port for gossip and subscriptions.')
    fabric: RemoteAddress = _key('Address of the fabric for replies.')
    peers: RemoteAddresses = _key(
        'Control addresses of other balancers to start from.', default=())
    linger_ms: Ms = _key('Time a stopping balancer goes on forwarding.',
                         default=10_000)
    ping_after_ms: Ms = _key('Silence of an agent after which it is pinged.',
                             default=500)
    suspect_after_ms: Ms = _key(
        'Silence of an agent after which it is suspected.',
        default=limits.SUSPECT_AFTER_MS)
    suspect_ping_ms: Ms = _key('Time between pings of a suspected agent.',
                               default=1_000)
    pings_per_s: Count = _key('Most pings a second.', default=10)
    gossip_ms: Ms = _key('Time between digests to a random peer.',
                         default=1_000)
    control_bytes_per_s: Count = _key('Bound on control traffic.',
                                      default=5_000)
    control_burst_bytes: Count = _key('Burst of control traffic.',
                                      default=65_536)


class Agent(Section):
    """An agent's addresses, its target's capacity and its periods."""
    service: Name = _key('Service that the target serves.')
    frame_host: Host = _key('IPv4 address of the frame port.')
    frame_port: Port = _key('UDP port for frames.')
    balancers: RemoteAddresses = _key(
        'Control addresses of balancers of the own zone.', min_length=1)
    target: RemoteAddress = _key('HTTP address of the target.')
    slots: Count = _key('Requests that the target runs at once.', default=1)
    connections: Count = _key('Flows that the agent holds at most.',
                              default=2_000)
    queue: Count = _key('Requests that wait for a slot at most.', default=64)
    cold_rate: Rate = _key('Starts a second that a cold target bears.',
                           default=2.0)
    full_rate: Rate = _key('Starts a second that a warm target bears.',
                           default=200.0)
    drain_ms: Ms = _key('Time in which a leaving agent hands over its flows.',
                        default=30_000)
    linger_ms: Ms = _key('Time a drained agent goes on passing packets.',
                         default=10_000)
    tick_ms: Ms = _key('Time between ticks.', default=100)
    wake_gap_ms: Ms = _key(
        'Gap between ticks after which the agent counts as woken.',
        default=limits.WAKE_GAP_MS)
    skip_after_ms: Ms = _key('Silence after which a member is skipped.',
                             default=limits.SUSPECT_AFTER_MS)
    heartbeat_ms: Ms = _key('Time between leases to the other members.',
                            default=limits.HEARTBEAT_MS)
    lost_after_ms: Ms = _key('Silence after which a member is marked lost.',
                             default=limits.LOST_AFTER_MS)
    lost_window_ms: Ms = _key(
        'Window in which one observer marks a third of a list at most.',
        default=limits.LOST_WINDOW_MS)
    tombstone_ms: Ms = _key('Time a lost mark stays in the list.',
                            default=limits.IDEMPOTENCY_KEY_LIFETIME_MS)
    key_ms: KeyMs = _key(
        'Lifetime of an idempotency key, above that of copies of a request.',
        default=limits.IDEMPOTENCY_KEY_LIFETIME_MS)
    claim_answer_ms: Ms = _key('Time in which a claim is answered.',
                               default=300)
    repeat_ms: Ms = _key('Time between repeats of an unanswered question.',
                         default=100)
    park_ms: Ms = _key('Time a packet waits for a newer list.', default=1_000)
    stale_ms: Ms = _key('Time between reports of staleness to one balancer.',
                        default=1_000)
    notify_ms: Ms = _key(
        'Longest time between confirmable notifications of a feed.',
        default=limits.MAX_NOTIFY_INTERVAL_MS)
    retry_percent: Percent = _key('Most retries in 100 requests.', default=10)
    retry_window_ms: Ms = _key('Window of the retry budget.',
                               default=limits.RETRY_WINDOW_MS)
    deadline_ms: Ms = _key('Deadline of a request that names none.',
                           default=limits.DEFAULT_DEADLINE_MS)


class Platform(Section):
    """How the platform's object API is reached."""
    url: Url = _key('Base of the object API, http://host:port.')
    timeout_ms: Ms = _key('Time in which a call is answered.', default=2_000)
    watch_ms: Ms = _key('Time a watch waits for a change.', default=2_000)


class Statsd(Section):
    """Where metrics go."""
    host: Host = _key('IPv4 address of the statsd server.')
    port: RemotePort = _key('UDP port of the statsd server.', default=8125)
    prefix: Prefix = _key('Prefix of metric names.', default='figdrum')


class Settings(Section):
    """A whole settings file.

    The sections of roles that the file does not have are None.
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
    """Rule that one value of a section is below another one."""
    section: str
    low: str
    high: str
    reason: str


ORDER_RULES = (
    OrderRule('balancer', 'ping_after_ms', 'suspect_after_ms',
              'an agent is pinged before it is suspected'),
    OrderRule('agent', 'tick_ms', 'wake_gap_ms',
              'a gap is only seen between two ticks'),
    OrderRule('agent', 'wake_gap_ms', 'skip_after_ms',
              'a member that others skip must see its own pause (R6)'),
    OrderRule('agent', 'heartbeat_ms', 'lost_after_ms',
              'a member that sends its leases must not be marked lost'),
    OrderRule('agent', 'repeat_ms', 'claim_answer_ms',
              'a claim is asked again before its member counts as lost'),
)
