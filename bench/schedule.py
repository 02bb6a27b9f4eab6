"""Schedules of a day's planned changes or failures, compressed to minutes."""

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
    """Kind of a scheduled event."""
    JOIN = 'join'
    LEAVE = 'leave'
    CRASH = 'crash'
    BALANCER = 'replace balancer'
    BALANCER_CRASH = 'balancer crash'
    CONTRACT = 'contract change'
    ZONE_OUT = 'zone out'
    ZONE_IN = 'zone in'


class Event(typing.NamedTuple):
    """A scheduled event.

    Attributes:
      at_ms: Virtual time of the event.
      kind: Kind of the event.
      subject: Name of the server, zone or customer; unused for balancers.
      service: Service of the server that joins, otherwise empty.
      zone: Zone of the server that joins, otherwise empty.
    """
    at_ms: int
    kind: Kind
    subject: str
    service: str = ''
    zone: str = ''


class Day(typing.NamedTuple):
    """Events in order of time, and the time at which the run ends."""
    events: tuple[Event, ...]
    end_ms: int

    def count(self, *kinds: Kind) -> int:
        """Returns the number of events of these kinds."""
        return sum(event.kind in kinds for event in self.events)


def list_servers(site: sites.Site) -> list[tuple[str, str, str]]:
    """Returns (name, service, zone) of each server at the start."""
    return [(f'{s.name}-{n}', s.name, site.zone_of(n))
            for s in site.services
            for n in range(s.servers)]


def make_planned_day(site: sites.Site,
                     seed: int,
                     replaced: int | None = None) -> Day:
    """Returns a day of planned changes.

    Servers and balancers are replaced, contracts change, and a zone is taken
    out and back in.

    Args:
      site: The site.
      seed: Seed of the order of servers and the choice of zone and customers.
      replaced: Number of servers to replace, or None for all.
    """
    rng = random.Random(seed)
    order = list_servers(site)
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


def make_failure_day(site: sites.Site,
                     seed: int,
                     crashes: int = CRASHES) -> Day:
    """Returns a day on which servers and balancers crash.

    Each server restarts `RESTART_MS` after its crash.
    """
    rng = random.Random(seed)
    events = []
    for i, (name, service,
            zone) in enumerate(rng.sample(list_servers(site), crashes)):
        at_ms = START_MS + i * CRASH_SPACING_MS
        events += [
            Event(at_ms, Kind.CRASH, name),
            Event(at_ms + RESTART_MS, Kind.JOIN, name, service, zone),
            Event(at_ms + CRASH_SPACING_MS // 2, Kind.BALANCER_CRASH, '0'),
        ]
    end_ms = START_MS + crashes * CRASH_SPACING_MS + SETTLE_MS
    return Day(tuple(sorted(events, key=lambda e: e.at_ms)), end_ms)
