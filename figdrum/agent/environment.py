"""Interfaces through which an agent uses its environment."""

import random
import typing

from figdrum.core import clock
from figdrum.core import ports
from figdrum.object_api import store


class Environment(typing.NamedTuple):
    """The environment of an agent, which tests and benchmarks replace.

    Attributes:
      clock: Source of the time.
      timers: Source of timers.
      peers: Network between the processes.
      target: The target beside the agent.
      db: The platform's object API.
      metrics: Takes counters and gauges: `incr(name)`, `gauge(name, value)`.
      rng: Source of nonces, jitter and first sequence numbers.
    """
    clock: clock.Clock
    timers: ports.Timers
    peers: ports.PeerPort
    target: ports.Target
    db: store.Store
    metrics: typing.Any
    rng: random.Random
