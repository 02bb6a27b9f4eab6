"""Two policies that choose a target for a new flow, as a reference.

Explanation
===========

`bench.imbalance` compares figdrum with them. Both always keep a flow at its
first target, which a real balancer without connection state can't do. Targets
queue the requests for which they have no free slot, and nothing limits the
starts of a cold target.
"""

import abc
import collections
import random

from bench import callers as callers_lib
from bench import events as events_lib
from bench import target as target_lib

REPORT_MS = 1_000


class Server:
    """A target with slots and a queue.

    Attributes:
      target: Model of its run times.
      flows: Number of flows that it holds.
      in_progress: Number of requests running and waiting.
      reported: Load in its last report, in flows and requests.
      reports_no_load: True when it always reports no load.
    """

    def __init__(self, events: events_lib.EventQueue, rng: random.Random,
                 slots: int):
        self.target = target_lib.Target(rng)
        self.flows = 0
        self.in_progress = 0
        self.reported = 0
        self.reports_no_load = False
        self._events = events
        self._free = slots
        self._waiting: collections.deque[int] = collections.deque()

    def report(self) -> None:
        """Reports the current load, or 0 if `reports_no_load` is set."""
        self.reported = (0 if self.reports_no_load else self.flows +
                         self.in_progress)

    def request(self) -> None:
        """Queues a request and starts it once a slot is free."""
        self.in_progress += 1
        self._waiting.append(self._events.now_ms)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._free and self._waiting:
            self._waiting.popleft()
            self._free -= 1
            self._events.after(self.target.start(self._events.now_ms),
                               self._on_finished)

    def _on_finished(self) -> None:
        self.in_progress -= 1
        self._free += 1
        self.target.finish()
        self._start_waiting()


class Choice(abc.ABC):
    """A policy that chooses a server for a new flow.

    Attributes:
      name: Name of the policy in tables.
    """
    name: str

    @abc.abstractmethod
    def choose(self, rng: random.Random, servers: list[Server]) -> Server:
        """Returns the server for a new flow."""


class RandomChoice(Choice):
    """Chooses any server with equal probability."""
    name = 'random choice'

    def choose(self, rng: random.Random, servers: list[Server]) -> Server:
        return rng.choice(servers)


class LeastReported(Choice):
    """Chooses the server with the least reported load, ties at random."""
    name = 'least reported load'

    def choose(self, rng: random.Random, servers: list[Server]) -> Server:
        least = min(s.reported for s in servers)
        return rng.choice([s for s in servers if s.reported == least])


CHOICES = (RandomChoice, LeastReported)


class ChoiceFleet:
    """Simulates servers whose flows are placed by one policy.

    Attributes:
      events: The virtual time.
      servers: The servers.
    """

    def __init__(self, choice: Choice, seed: int, servers: int, slots: int):
        self.events = events_lib.EventQueue()
        self._rng = random.Random(seed)
        self._choice = choice
        self.servers = [
            Server(self.events, self._rng, slots) for _ in range(servers)
        ]
        self.events.each(REPORT_MS, self._report)

    def add(self, plan: callers_lib.FlowPlan) -> None:
        """Schedules the start of a flow."""
        self.events.at(plan.start_ms, self._start, plan)

    def _report(self) -> None:
        for server in self.servers:
            server.report()

    def _start(self, plan: callers_lib.FlowPlan) -> None:
        server = self._choice.choose(self._rng, self.servers)
        server.flows += 1
        server.request()
        self._schedule_next(plan, server)

    def _schedule_next(self, plan: callers_lib.FlowPlan,
                       server: Server) -> None:
        gap_ms = min(callers_lib.MAX_GAP_MS,
                     self._rng.expovariate(1 / plan.gap_ms))
        if self.events.now_ms + gap_ms < plan.end_ms:
            self.events.after(1 + round(gap_ms), self._send_next, plan, server)

    def _send_next(self, plan: callers_lib.FlowPlan, server: Server) -> None:
        if self._rng.random() < callers_lib.REQUEST_SHARE:
            server.request()
        self._schedule_next(plan, server)
