"""The recent flows of many agents, at the balancer that collects them.

A balancer loads this module once an agent has chosen it as the collector.
"""

import collections
import collections.abc
import typing

from figdrum.core import ids
from figdrum.flows import messages
from figdrum.flows import packed_flows
from figdrum.flows import recent_flows
from figdrum.flows import target_view

# Time in ms after which a collector drops a flow. The agent's own record, which
# is written each 30 s, includes it by then.
MAX_AGE_MS = 35_000

# Time in ms after the last write after which an object without new flows is
# written again to leave out those that are no longer needed.
CLEANUP_PERIOD_MS = 20_000


class CollectorCounts(typing.NamedTuple):
    """Numbers of collectors, as a balancer counts them.

    Attributes:
      total: Collectors in all zones.
      own_zone: Collectors in the balancer's zone.
    """
    total: int
    own_zone: int


def count_collectors(targets: collections.abc.Iterable[target_view.TargetView],
                     zone: ids.ZoneName) -> CollectorCounts:
    """Returns the numbers of collectors.

    Args:
      targets: The registered targets.
      zone: The balancer's zone.
    """
    agents = collections.Counter(view.registration.zone for view in targets)
    return CollectorCounts(
        sum(map(recent_flows.collector_count, agents.values())),
        recent_flows.collector_count(agents[zone]))


def _encoded_bytes(
        agents: collections.abc.Iterable[recent_flows.AgentFlows]) -> int:
    """Returns the approximate size of an object in the store, in bytes."""
    return sum(recent_flows.AGENT_BYTES +
               packed_flows.encoded_length(len(entry.flows))
               for entry in agents)


class Receipt(typing.NamedTuple):
    """A message of an agent that has to be confirmed once it is stored.

    Attributes:
      agent: `registrations.object_name` of the agent.
      target: Identity of the target's incarnation.
      digest: `messages.recent_flows_digest`.
    """
    agent: str
    target: str
    digest: int


class _Item:
    """A flow at a collector.

    Attributes:
      ack: The client's last acknowledgement number.
      received_ms: Time at which the collector got it.
    """
    __slots__ = ('ack', 'received_ms')

    def __init__(self, ack: int, received_ms: int):
        self.ack = ack
        self.received_ms = received_ms


class _AgentItems:
    """The flows of one agent at a collector.

    Attributes:
      target: Identity of the target's incarnation.
      flows: The flows by key.
    """
    __slots__ = ('target', 'flows')

    def __init__(self, target: str):
        self.target = target
        self.flows: dict[bytes, _Item] = {}


class Collector:
    """Holds the recent flows of many agents, and decides when to write them."""

    def __init__(self, now_ms: int):
        self._agents: dict[str, _AgentItems] = {}
        # Flows in the order in which they came, to find the oldest ones.
        self._order: collections.deque[tuple[int, str, bytes]]
        self._order = collections.deque()
        self._count = 0
        self._has_new = False
        self._has_dropped = False
        # Messages since the last write.
        self._receipts: list[Receipt] = []
        self._written_ms = now_ms
        self._next_write_ms = now_ms
        self._allowance = recent_flows.Allowance(now_ms)

    def __len__(self) -> int:
        return self._count

    def on_message(self, now_ms: int, agent: str,
                   message: messages.RecentFlows) -> None:
        """Adds the flows of an agent.

        Args:
          now_ms: Time.
          agent: `registrations.object_name` of the agent.
          message: Its message.
        """
        flows = packed_flows.unpack(message.packed_flows)
        known = self._agents.get(agent)
        if known is not None and known.target != message.target:
            self._remove_agent(agent)
            self._has_new = True
        elif known is not None and message.replaces:
            self._remove_missing(agent, known, {key for key, _ in flows})
            # Readers ignore an object that is older than the agent's record.
            self._has_new = self._has_new or bool(flows)
        self._add(now_ms, agent, message.target, flows)
        if (flows and agent in self._agents and
                len(self._receipts) < recent_flows.MAX_FLOWS):
            self._receipts.append(
                Receipt(agent, message.target,
                        messages.recent_flows_digest(message)))

    @property
    def has_new(self) -> bool:
        """Whether flows have come that were not taken for a write."""
        return self._has_new

    def take_receipts(self) -> list[Receipt]:
        """Returns the messages whose flows were taken for a write."""
        receipts, self._receipts = self._receipts, []
        return receipts

    def on_stored(
            self, now_ms: int,
            entries: collections.abc.Iterable[recent_flows.AgentFlows]) -> None:
        """Adds what the object had when this process started to write it.

        An agent that starts after a loss of power may not have read it yet.
        """
        for entry in entries:
            known = self._agents.get(entry.agent)
            if known is None or known.target == entry.target:
                self._add(now_ms, entry.agent, entry.target, [
                    flow for flow in entry.flows
                    if known is None or flow[0] not in known.flows
                ])

    def is_due(self, now_ms: int) -> bool:
        """Returns whether something has to be written, and may be by now."""
        self._expire(now_ms)
        is_changed = self._has_new or (self._has_dropped and now_ms -
                                       self._written_ms >= CLEANUP_PERIOD_MS)
        return is_changed and now_ms >= self._next_write_ms

    def take_due(
            self, now_ms: int, period_ms: int,
            zone_collectors: int) -> tuple[recent_flows.AgentFlows, ...] | None:
        """Returns what has to be written now, or None.

        An object that only has flows which are no longer needed is written once
        more, some time after the last change.

        Args:
          now_ms: Time.
          period_ms: Shortest time between two writes, in ms.
          zone_collectors: Number of collectors in the balancer's zone.
        """
        if not self.is_due(now_ms):
            return None
        self._next_write_ms = now_ms + period_ms
        if self._allowance.left_bytes(now_ms, zone_collectors) <= 0:
            return None
        self._has_new = self._has_dropped = False
        self._written_ms = now_ms
        entries = self.entries()
        self._allowance.use(_encoded_bytes(entries))
        return entries

    def entries(self) -> tuple[recent_flows.AgentFlows, ...]:
        """Returns all flows, by agent."""
        return tuple(
            recent_flows.AgentFlows(
                agent, items.target,
                tuple((key, item.ack)
                      for key, item in items.flows.items()))
            for agent, items in self._agents.items())

    def _add(self, now_ms: int, agent: str, target: str,
             flows: collections.abc.Iterable[tuple[bytes, int]]) -> None:
        for key, ack in flows:
            items = self._agents.get(agent)
            if items is None:
                if len(self._agents) >= recent_flows.MAX_AGENTS:
                    return
                items = self._agents[agent] = _AgentItems(target)
            known = items.flows.get(key)
            if known is None or known.ack != ack:
                self._has_new = True
            self._count += known is None
            items.flows[key] = _Item(ack, now_ms)
            self._order.append((now_ms, agent, key))
            while self._count > recent_flows.MAX_FLOWS:
                self._remove_oldest()

    def _expire(self, now_ms: int) -> None:
        while self._order and now_ms - self._order[0][0] >= MAX_AGE_MS:
            self._remove_oldest()

    def _remove_oldest(self) -> None:
        received_ms, agent, key = self._order.popleft()
        items = self._agents.get(agent)
        item = items.flows.get(key) if items is not None else None
        if items is not None and item is not None and (item.received_ms
                                                       == received_ms):
            self._remove(agent, items, key)

    def _remove_missing(self, agent: str, items: _AgentItems,
                        kept: set[bytes]) -> None:
        for key in [key for key in items.flows if key not in kept]:
            self._remove(agent, items, key)

    def _remove(self, agent: str, items: _AgentItems, key: bytes) -> None:
        del items.flows[key]
        self._count -= 1
        self._has_dropped = True
        if not items.flows:
            del self._agents[agent]

    def _remove_agent(self, agent: str) -> None:
        self._count -= len(self._agents.pop(agent).flows)
        self._has_dropped = True
