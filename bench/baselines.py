"""Simple balancing schemes to compare figdrum with.

Explanation
===========

A balancer sends each packet to the target that its scheme chooses from the list
that the balancer knows. A target has only its own sessions: a packet of an
established flow that reaches another target breaks the flow, which starts again
there. Targets don't hand flows over. A target that leaves is first removed from
the list and then serves its sessions for the same drain and linger times as in
figdrum.

References
==========

Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load Balancer",
NSDI 2016, for the lookup table and connection tracking. The table here gives
each slot to the target with the highest hash of slot and name. When the list
changes, this moves as few slots as possible, fewer than Maglev's own method.
"""

import abc
import functools
import random

import xxhash

from bench import agents as agents_lib
from bench import callers as callers_lib
from bench import events as events_lib
from bench import fleet as fleet_lib
from bench import schedule as schedule_lib
from bench import sites

# A prime more than a hundred times the number of targets, as in the paper.
TABLE_SIZE = 4_099

Targets = tuple[str, ...]


class Scheme(abc.ABC):
    """The scheme by which one balancer chooses targets.

    Attributes:
      name: Name of the scheme in tables.
    """
    name: str

    @abc.abstractmethod
    def choose(self, flow: bytes, listed: Targets, up: Targets) -> str:
        """Returns the target of a packet.

        Args:
          flow: Bytes of the flow key.
          listed: Names of the targets for new flows, sorted.
          up: Names of the targets that still serve sessions.
        """


class HashModulo(Scheme):
    """Chooses by the hash of the flow modulo the length of the list."""
    name = 'hash modulo'

    def choose(self, flow: bytes, listed: Targets, up: Targets) -> str:
        return listed[xxhash.xxh3_64_intdigest(flow) % len(listed)]


class LookupTable(Scheme):
    """Chooses from a Maglev-style lookup table without connection tracking."""
    name = 'lookup table'

    def choose(self, flow: bytes, listed: Targets, up: Targets) -> str:
        return build_table(listed)[xxhash.xxh3_64_intdigest(flow) % TABLE_SIZE]


class TrackedTable(LookupTable):
    """A lookup table with connection tracking in each balancer."""
    name = 'table and tracking'

    def __init__(self):
        self._tracked: dict[bytes, str] = {}

    def choose(self, flow: bytes, listed: Targets, up: Targets) -> str:
        known = self._tracked.get(flow)
        if known in up:
            return known
        chosen = super().choose(flow, listed, up)
        self._tracked[flow] = chosen
        return chosen


SCHEMES = (HashModulo, LookupTable, TrackedTable)


@functools.lru_cache(maxsize=256)
def build_table(listed: Targets) -> Targets:
    """Returns the lookup table: the target of each slot.

    Examples
    ========

    >>> one, two = build_table(('a', 'b', 'c')), build_table(('a', 'c'))
    >>> all(x == y for x, y in zip(one, two) if x != 'b')
    True
    """
    return tuple(_slot_owner(n, listed) for n in range(TABLE_SIZE))


def _slot_owner(slot: int, listed: Targets) -> str:
    return max(
        listed,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{slot}/{name}'.encode()))


class _Balancer:
    """One balancer and its view of the targets."""

    def __init__(self, scheme: Scheme, zone: str, view: 'View'):
        self.scheme = scheme
        self.zone = zone
        self.view = view
        self.alive = True
        self.listed = True


class View:
    """Targets of each service at one version.

    Attributes:
      version: Version of the view.
      listed: Targets for new flows by service.
      up: Targets that serve sessions by service.
    """

    def __init__(self, version: int, listed: dict[str, Targets],
                 up: dict[str, Targets]):
        self.version = version
        self.listed = listed
        self.up = up


class BaselineFleet:
    """Simulates a site with one scheme through a day.

    Attributes:
      broken: First cause of each broken flow.
      given_up: Flows that ended because their zone was taken out.
      packets: Number of packets sent.
      misrouted: Number of packets that reached a target without the session.
    """

    def __init__(self, site: sites.Site, scheme: type[Scheme], seed: int):
        self.broken: dict = {}
        self.given_up: set = set()
        self.packets = 0
        self.misrouted = 0
        self._events = events_lib.EventQueue()
        self._rng = random.Random(seed)
        self._service: dict[str, str] = {}
        self._zone: dict[str, str] = {}
        self._listed: set[str] = set()
        self._up: set[str] = set()
        self._crashed: set[str] = set()
        self._zones_out: set[str] = set()
        self._version = 0
        self._holders: dict = {}
        self._view = View(0, {}, {})
        for name, service, zone in schedule_lib.list_servers(site):
            self._join(name, service, zone)
        self._balancers = [
            _Balancer(scheme(), site.zone_of(n), self._view)
            for n in range(len(site.zones) * site.balancers_per_zone)
        ]

    def run(self, day: schedule_lib.Day,
            plans: list[callers_lib.FlowPlan]) -> None:
        """Runs the events of the day with these flows."""
        for event in day.events:
            self._events.at(event.at_ms, self._apply_event, event)
        for plan in plans:
            self._events.at(plan.start_ms, self._packet, plan)
        self._events.run_until(day.end_ms)

    def _apply_event(self, event: schedule_lib.Event) -> None:
        kind = schedule_lib.Kind
        if event.kind is kind.JOIN:
            self._crashed.discard(event.subject)
            self._join(event.subject, event.service, event.zone)
        elif event.kind is kind.LEAVE:
            self._listed.discard(event.subject)
            self._events.after(
                agents_lib.DRAIN_TIMEOUT_MS + agents_lib.LINGER_MS,
                self._stop_serving, event.subject)
        elif event.kind is kind.CRASH:
            self._crashed.add(event.subject)
            self._up.discard(event.subject)
            self._events.after(fleet_lib.LOST_AFTER_MS, self._unlist,
                               event.subject)
        elif event.kind is kind.ZONE_OUT:
            self._zones_out.add(event.subject)
        elif event.kind is kind.ZONE_IN:
            self._zones_out.discard(event.subject)
        elif event.kind is not kind.CONTRACT:
            self._replace_balancer()
        self._propagate()

    def _replace_balancer(self) -> None:
        old = next(b for b in self._balancers if b.alive)
        old.alive = False
        self._balancers.append(
            _Balancer(type(old.scheme)(), old.zone, self._view))

    def _join(self, name: str, service: str, zone: str) -> None:
        self._service[name], self._zone[name] = service, zone
        self._listed.add(name)
        self._up.add(name)
        self._make_view()

    def _stop_serving(self, name: str) -> None:
        self._up.discard(name)
        self._propagate()

    def _unlist(self, name: str) -> None:
        if name in self._crashed:
            self._listed.discard(name)
            self._propagate()

    def _make_view(self) -> None:
        self._version += 1
        services = set(self._service.values())
        self._view = View(
            self._version,
            {s: self._select_targets(s, self._listed) for s in services},
            {s: self._select_targets(s, self._up) for s in services})

    def _select_targets(self, service: str, names: set[str]) -> Targets:
        return tuple(
            sorted(n for n in names if self._service[n] == service and
                   self._zone[n] not in self._zones_out))

    def _propagate(self) -> None:
        self._make_view()
        for balancer in self._balancers:
            delay_ms = self._rng.randint(fleet_lib.MIN_PROPAGATION_MS,
                                         fleet_lib.MAX_PROPAGATION_MS)
            self._events.after(delay_ms, self._apply_view, balancer, self._view)

    def _apply_view(self, balancer: _Balancer, view: View) -> None:
        if view.version > balancer.view.version:
            balancer.view = view

    def _packet(self, plan: callers_lib.FlowPlan) -> None:
        gap_ms = self._rng.expovariate(1 / plan.gap_ms)
        gap_ms = 1 + round(min(callers_lib.MAX_GAP_MS, gap_ms))
        if self._events.now_ms + gap_ms < plan.end_ms:
            self._events.after(gap_ms, self._packet, plan)
        balancer = self._rng.choice([
            b for b in self._balancers
            if b.alive and b.zone not in self._zones_out
        ])
        self.packets += 1
        view = balancer.view
        reached = balancer.scheme.choose(plan.key.to_bytes(),
                                         view.listed[plan.service],
                                         view.up[plan.service])
        self._deliver_to(plan.key, reached)

    def _deliver_to(self, flow, reached: str) -> None:
        holder = self._holders.get(flow)
        if holder is not None and (holder not in self._up or
                                   holder in self._crashed):
            # The session was lost when its target stopped.
            self._record_broken(flow, holder)
            holder = None
        if reached not in self._up:
            return
        if holder is not None and holder != reached:
            self.misrouted += 1
            self._record_broken(flow, holder)
        self._holders[flow] = reached

    def _record_broken(self, flow, holder: str) -> None:
        if self._zone[holder] in self._zones_out:
            self.given_up.add(flow)
        else:
            cause = 'failure' if holder in self._crashed else 'planned'
            self.broken.setdefault(flow, cause)
        self._holders.pop(flow)
