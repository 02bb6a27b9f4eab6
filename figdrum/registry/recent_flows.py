"""Objects in the store with the flows that agents have opened lately.

Explanation
===========

A target's own record (`flow_records`) is up to 10 s old when its machine loses
power, so it lacks the youngest flows. A balancer collects those of many agents
in one object, whose write costs as much as that of one agent's record.

An object has only what is newer than the agents' own records. Whether it is
newer shows in the store's revisions, since no clock is common to all machines:
a record that was written after the object includes the object's flows.

Examples
========

>>> flows = ((b'0123456789ab', 7),)
>>> one = recent_flows.AgentFlows('10.0.0.1-7000', 'i-1@5', flows)
>>> decode(encode([one])) == (one,)
True
>>> decode({'agents': [['10.0.0.1-7000', 'i-1@5', 'x'], 7]})
()
"""

import collections.abc
import random
import struct
import typing

from figdrum.core import checks
from figdrum.core import clock as clock_module
from figdrum.core import errors
from figdrum.core import ports
from figdrum.core import revisions
from figdrum.flows import recent_flows
from figdrum.registry import flow_text
from figdrum.registry import mirror
from figdrum.registry import object_store
from figdrum.telemetry import event_log

KIND = 'figdrum-recent-flows'

# Time in ms after the start of an agent for which it tries to read the objects.
# By then, clients have used most of the flows and have been reset.
READ_TIMEOUT_MS = 10_000


def encode(
        agents: collections.abc.Sequence[recent_flows.AgentFlows]
) -> typing.Any:
    """Returns the object that is stored."""
    return {
        'agents': [[entry.agent, entry.target,
                    flow_text.to_text(entry.flows)]
                   for entry in agents[:recent_flows.MAX_AGENTS]]
    }


def decode(value: typing.Any) -> tuple[recent_flows.AgentFlows, ...]:
    """Returns the readable entries in a stored object."""
    try:
        items = checks.sequence(value['agents'])[:recent_flows.MAX_AGENTS]
    except (KeyError, TypeError, ValueError):
        return ()
    entries: list[recent_flows.AgentFlows] = []
    room = recent_flows.MAX_FLOWS
    for item in items:
        entry = _decode_entry(item, room)
        if entry is not None:
            room -= len(entry.flows)
            entries.append(entry)
    return tuple(entries)


def _decode_entry(item: typing.Any,
                  max_flows: int) -> recent_flows.AgentFlows | None:
    try:
        agent, target, flows = checks.sequence(item)
        return recent_flows.AgentFlows(checks.name(agent), checks.name(target),
                                       flow_text.from_text(flows, max_flows))
    except (TypeError, ValueError, struct.error):
        return None


OnRead = collections.abc.Callable[[tuple[recent_flows.StoredFlows, ...]], None]


class StartRead:
    """Reads once, at its start, what collectors have stored of an agent."""

    # One parameter for each service that the read uses.
    # pylint: disable-next=too-many-positional-arguments
    def __init__(self, store: object_store.ObjectStore, agent: str,
                 timers: ports.Timers, clock: clock_module.Clock,
                 log: event_log.EventLog, rng: random.Random):
        self._store = store
        self._agent = agent
        self._timers = timers
        self._clock = clock
        self._log = log
        self._backoff = mirror.Backoff(rng)
        self._started_ms = clock.now_ms()
        self._tries = 0

    def start(self, on_read: OnRead) -> None:
        """Lists the objects, with retries.

        Args:
          on_read: Called once with what the objects have of the agent, which is
            nothing if they could not be read in time.
        """
        self._tries += 1

        def on_result(result: object_store.Listing | errors.StoreError) -> None:
            age_ms = self._clock.now_ms() - self._started_ms
            if not isinstance(result, errors.StoreError):
                self._finish(age_ms, result.entries, on_read, 'read')
            elif age_ms >= READ_TIMEOUT_MS:
                self._finish(age_ms, (), on_read, str(result))
            else:
                self._timers.call_later(self._backoff.next_ms(),
                                        lambda: self.start(on_read))

        self._store.list_all(KIND, on_result, may_lag=True)

    def _finish(self, age_ms: int,
                entries: collections.abc.Iterable[object_store.Entry],
                on_read: OnRead, outcome: str) -> None:
        stored = tuple((entry.revision, flows)
                       for entry in entries
                       for flows in decode(entry.value)
                       if flows.agent == self._agent)
        self._log.write(
            'recent flows read',
            outcome=outcome,
            tries=self._tries,
            ms=age_ms,
            flows=sum(len(found.flows) for _, found in stored),
            targets=[found.target for _, found in stored],
            revisions=[revisions.describe(revision) for revision, _ in stored])
        on_read(stored)
