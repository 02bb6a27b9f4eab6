"""A day of planned changes, or of failures, compressed into minutes."""

import enum
import random
import typing

from bench import sites

START_MS = 120_000
SPACING_MS = 30_000
JOIN_BEFORE_LEAVE_MS = 10_000
BALANCER_SPACING_MS = 75_000
CONTRACT_SPACING_MS = 25_000
ZONE_OUT_MS = 90_000
CRASH_SPACING_MS = 80_000
CRASHES = 4
RESTART_MS = 30_000
SETTLE_MS = 60_000


class Kind(enum.Enum):
    """What happens."""
    JOIN = 'join'
    LEAVE = 'leave'
    CRASH = 'crash'
    BALANCER = 'replace balancer'
    BALANCER_CRASH = 'balancer crash'
    CONTRACT = 'contract change'
    ZONE_OUT = 'zone out'
    ZONE_IN = 'zone in'


class Event(typing.NamedTuple):
    """One event.

    Attributes:
      at_ms: When.
      kind: What.
      subject: Server, zone, customer, or number of the balancer.
      service: Service of a server.
      zone: Zone of a server.
    """
    at_ms: int
    kind: Kind
    subject: str
    service: str = ''
    zone: str = ''


class Day(typing.NamedTuple):
    """Events in order of time and the end of the last one's effects."""
    events: tuple[Event, ...]
    end_ms: int

    def count(self, *kinds: Kind) -> int:
        """Returns the number of events of these kinds."""
        return sum(event.kind in kinds for event in self.events)


def servers(site: sites.Site) -> list[tuple[str, str, str]]:
    """Returns (name, service, zone) of each server at the start."""
    return [(f'{s.name}-{n}', s.name, site.zone_of(n))
            for s in site.services
            for n in range(s.servers)]


def planned(site: sites.Site, seed: int, replaced: int | None = None) -> Day:
    """Returns a day on which servers and balancers are replaced, contracts
    change, and a zone goes out and returns.

    Args:
      site: The site.
      seed: Seed of the order.
      replaced: Servers to replace, or all.
    """
    rng = random.Random(seed)
    order = servers(site)
    rng.shuffle(order)
    order = order[:replaced]
    events = []
    for i, (name, service, zone) in enumerate(order):
        at_ms = START_MS + i * SPACING_MS
        events += [
            Event(at_ms, Kind.JOIN, f'{name}-new', service, zone),
            Event(at_ms + JOIN_BEFORE_LEAVE_MS, Kind.LEAVE, name)
        ]
    replaced_ms = START_MS + len(order) * SPACING_MS
    zone = rng.choice(site.zones)
    events += [
        Event(replaced_ms + SETTLE_MS, Kind.ZONE_OUT, zone),
        Event(replaced_ms + SETTLE_MS + ZONE_OUT_MS, Kind.ZONE_IN, zone)
    ]
    end_ms = replaced_ms + 2 * SETTLE_MS + ZONE_OUT_MS
    events += [
        Event(at_ms, Kind.BALANCER, '0')
        for at_ms in range(START_MS, end_ms, BALANCER_SPACING_MS)
    ]
    events += [
        Event(at_ms, Kind.CONTRACT, rng.choice(site.customers))
        for at_ms in range(START_MS, end_ms, CONTRACT_SPACING_MS)
    ]
    return Day(tuple(sorted(events, key=lambda e: e.at_ms)), end_ms)


def failures(site: sites.Site, seed: int, crashes: int = CRASHES) -> Day:
    """Returns a day on which servers and balancers crash; servers restart."""
    rng = random.Random(seed)
    events = []
    for i, (name, service,
            zone) in enumerate(rng.sample(servers(site), crashes)):
        at_ms = START_MS + i * CRASH_SPACING_MS
        events += [
            Event(at_ms, Kind.CRASH, name),
            Event(at_ms + RESTART_MS, Kind.JOIN, name, service, zone),
            Event(at_ms + CRASH_SPACING_MS // 2, Kind.BALANCER_CRASH, '0'),
        ]
    end_ms = START_MS + crashes * CRASH_SPACING_MS + SETTLE_MS
    return Day(tuple(sorted(events, key=lambda e: e.at_ms)), end_ms)
