"""Flows that were opened lately, for the resets after a loss of power.

Explanation
===========

An agent writes its open flows to the store each 10 s or less often. What it has
opened since, it sends to one balancer of its zone, the collector, which writes
the flows of all its agents into one object, and confirms them once the store
has them. As long as it does, the agent writes its own record less often. When
an agent starts, it reads the objects, and resets those flows of an earlier
target once the present target has stated another name.

All agents of a zone that hear the same balancers choose the same collector, so
that there are few objects and few writes.
"""

import collections.abc
import math
import typing

import xxhash

from figdrum.core import clock
from figdrum.core import ids
from figdrum.flows import flow_table
from figdrum.flows import messages
from figdrum.flows import packed_flows
from figdrum.flows import segment

# Agents of a zone for which there is one collector. At a message each 0.75 s it
# gets 270 a second, about as many as reports of 200 agents.
AGENTS_PER_COLLECTOR = 200

# Shortest time in ms between two messages of an agent. With 1 s, 3% more flows
# are unknown after a loss of power than with a record of each agent each 10 s,
# which includes flows that no message has had yet.
SEND_PERIOD_MS = 750

# The same in a zone with several collectors, where the limit on bytes decides:
# longer messages have more flows for as many bytes.
LARGE_ZONE_SEND_PERIOD_MS = 1_000

# Time in ms after its last hello for which a balancer may be the collector. Two
# hellos, each 2.5 s, may be lost or late.
COLLECTOR_TIMEOUT_MS = 6_000

# Bytes per second of messages, and of objects written, of all collectors of a
# zone together in the mean. At 1,200 agents in a zone, each of its six
# collectors has 2 KB/s of both, of the 5 KB/s that a node may use for control.
ZONE_BYTES_PER_S = 12_000

# Bytes beyond the mean rate: all clients open their flows at once after a loss
# of power.
ZONE_BURST_BYTES = 64_000

# Flows in a message whose length is limited by these rates.
MIN_FLOWS_PER_MESSAGE = 8

# Time in ms from a message until its flows are no longer taken to be stored
# without a confirmation. A collector writes once a second and at a tick.
CONFIRMATION_TIMEOUT_MS = 2_500

# Messages that wait for a confirmation at most. The first one decides.
MAX_UNCONFIRMED = 64

# Clients ignore a reset whose number is too far from theirs, so a flow is sent
# again if its number has moved by more than half of that.
NUMBER_TOLERANCE = segment.NUMBER_WINDOW // 2

# Time in ms after which a flow may be sent again for its number, which is the
# shortest period of the agent's own record.
NUMBER_PERIOD_MS = 10_000

# Bytes in an object for an agent without its flows: two names of 20 characters
# each, and what JSON adds.
AGENT_BYTES = 56

# Largest number of flows and of agents in an object: 256 KB in base64, and
# 530 KB if all names have the largest length. The store's limit is 1 MB.
MAX_FLOWS = 12_000
MAX_AGENTS = 1_000


class AgentFlows(typing.NamedTuple):
    """The recent flows of one agent's target.

    Attributes:
      agent: `registrations.object_name` of the agent.
      target: Identity of the target's incarnation.
      flows: Key and last client acknowledgement of each flow.
    """
    agent: str
    target: str
    flows: packed_flows.Flows


StoredFlows = tuple[ids.StoreRevision, AgentFlows]
"""Revision of a collector's object, and what it has of an agent."""


def collector_count(agents: int) -> int:
    """Returns the number of collectors of a zone with so many agents.

    >>> collector_count(0), collector_count(200), collector_count(1_200)
    (1, 1, 6)
    """
    return max(1, -(-agents // AGENTS_PER_COLLECTOR))


def choose_collector(balancers: collections.abc.Iterable[ids.Address],
                     count: int, name: str) -> ids.Address | None:
    """Returns the collector of an agent, or None without a balancer.

    Args:
      balancers: The balancers of the agent's zone.
      count: Number of collectors in the zone.
      name: Name by which the zone's agents are spread over the collectors.

    Examples
    ========

    >>> fronts = [('10.0.0.10', 1), ('10.0.0.9', 1), ('10.0.0.8', 1)]
    >>> choose_collector(fronts, 1, 'i-1@5')
    ('10.0.0.8', 1)
    >>> choose_collector([], 1, 'i-1@5') is None
    True
    """
    eligible = sorted(balancers, key=_address_order)[:count]
    return max(eligible,
               default=None,
               key=lambda address: xxhash.xxh32_intdigest(f'{address[0]} {name}'
                                                          .encode()))


def has_moved(stored_ack: int, ack: int) -> bool:
    """Returns whether a reset with a stored number may soon be ignored.

    >>> has_moved(7, 7 + NUMBER_TOLERANCE), has_moved(7, 8 + NUMBER_TOLERANCE)
    (False, True)
    """
    return not segment.is_near(stored_ack, ack, NUMBER_TOLERANCE)


def max_collected_flows(zone_agents: int) -> float:
    """Returns how many flows of an agent an object may have.

    A collector writes its object once a second. If each agent writes its own
    record at this number, objects have half of it in the mean, and those of a
    zone take `ZONE_BYTES_PER_S`.

    Args:
      zone_agents: Number of agents in a zone.

    Examples
    ========

    >>> [round(max_collected_flows(agents)) for agents in (19, 45, 1_200)]
    [54, 20, -4]
    """
    flow_bytes = packed_flows.encoded_length(3) / 3
    return 2 * (ZONE_BYTES_PER_S / zone_agents - AGENT_BYTES) / flow_bytes


def _address_order(address: ids.Address) -> tuple[list[int], str, int]:
    parts = address[0].split('.')
    return ([int(part) if part.isdecimal() else 0 for part in parts],
            address[0], address[1])


class Allowance:
    """A share of the bytes that a zone's collectors may use.

    The last use may exceed what is left, and delays the next one.
    """

    def __init__(self, now_ms: int):
        # Before the first use there is a whole burst.
        self._left_bytes = math.inf
        self._refilled_ms = now_ms

    def left_bytes(self, now_ms: int, sharing: float) -> float:
        """Returns what is left.

        Args:
          now_ms: Time.
          sharing: Number of agents or collectors that share the zone's bytes.
        """
        added_bytes = (now_ms - self._refilled_ms) * ZONE_BYTES_PER_S / (
            sharing * clock.MS_PER_S)
        self._left_bytes = min(ZONE_BURST_BYTES / sharing,
                               self._left_bytes + added_bytes)
        self._refilled_ms = now_ms
        return self._left_bytes

    def use(self, size_bytes: int) -> None:
        """Removes bytes."""
        self._left_bytes -= size_bytes


Outgoing = tuple[ids.Address, messages.RecentFlows]
"""Address of the collector, and the message to it."""


class _Sent(typing.NamedTuple):
    """What the collector was sent of a flow.

    Attributes:
      opened_ms: When the flow was opened.
      ack: The client's last acknowledgement number then.
      sent_ms: When the message was sent.
    """
    opened_ms: int
    ack: int
    sent_ms: int


class RecentFlowsSender:
    """Decides which flows an agent sends to which balancer, and when.

    Attributes:
      collector: The balancer that got the last message, or None.
      has_sent: Whether a collector was sent flows of the present target.
    """

    def __init__(self, now_ms: int, zone: ids.ZoneName):
        self.collector: ids.Address | None = None
        self.has_sent = False
        self._zone = zone
        # Zone and time of the last hello of each balancer that states its zone.
        self._balancers: dict[ids.Address, tuple[str, int]] = {}
        self._agent_count = 1
        self._target = ''
        self._sent: dict[bytes, _Sent] = {}
        # Flows sent since the agent's record, also those that were closed.
        self._sent_count = 0
        # Time of each message by its digest, until the collector confirms it.
        self._unconfirmed: dict[int, int] = {}
        # Whether the collector has confirmed a message. Balancers of earlier
        # versions confirm none, and keep flows for 15 s only.
        self._has_confirmed = False
        # Whether flows wait longer for a message than its shortest period.
        self._has_backlog = False
        # Acknowledgement number of each flow in the agent's stored record; None
        # if the record is of another incarnation.
        self._recorded: dict[bytes, int] | None = None
        self._recorded_ms = now_ms
        # Whether the next message replaces what the collector has. The first
        # one does not: an earlier process may have sent flows of this target.
        self._replaces = False
        self._next_send_ms = now_ms
        self._allowance = Allowance(now_ms)

    def on_hello(self, now_ms: int, origin: ids.Address,
                 hello: messages.Hello) -> None:
        """Records a balancer; one that does not state its zone is older."""
        if hello.zone is None:
            self._balancers.pop(origin, None)
            return
        self._balancers[origin] = (hello.zone, now_ms)
        self._agent_count = hello.agent_count

    def is_collected(self, now_ms: int) -> bool:
        """Returns whether the store has all flows but for the youngest.

        They are in the agent's record or in a collector's object, which has
        room for more.
        """
        return (self._recorded is not None and self._has_confirmed and
                not self._has_backlog and
                self.unconfirmed_ms(now_ms) <= CONFIRMATION_TIMEOUT_MS and
                self._sent_count < max_collected_flows(
                    max(1, self._zone_agents())))

    def unconfirmed_ms(self, now_ms: int) -> int:
        """Returns the age of the first message without a confirmation, in ms.

        It is 0 without such a message, and until the collector has confirmed
        one.
        """
        if not self._has_confirmed:
            return 0
        return now_ms - next(iter(self._unconfirmed.values()), now_ms)

    def on_stored(self, origin: ids.Address,
                  message: messages.RecentFlowsStored) -> None:
        """Records which messages the collector has stored."""
        if origin != self.collector or message.target != self._target:
            return
        self._has_confirmed = True
        for digest in message.digests:
            self._unconfirmed.pop(digest, None)

    def on_recorded(self, now_ms: int, target: str,
                    flows: packed_flows.Flows) -> None:
        """Records which flows the store has in the agent's own record.

        Args:
          now_ms: Time.
          target: Identity of the target's incarnation in the record.
          flows: Key and last client acknowledgement of each flow.
        """
        self._recorded = dict(flows) if target == self._target else None
        self._recorded_ms = now_ms
        self._replaces = self._replaces or bool(self._sent)
        self._forget_sent()

    def on_target(self, target: str) -> None:
        """Records the target's identity.

        The flows of an earlier incarnation are sent no more, and the next
        message, which is due at once, withdraws them: the agent has reset them,
        and some may be flows that the new incarnation had opened before its
        first heartbeat.

        Args:
          target: The identity; empty as long as the target has not stated its
            name.
        """
        if target == self._target:
            return
        if self._target:
            self._next_send_ms = 0
            self._replaces = True
        self._target = target
        self.has_sent = False
        self._forget_sent()
        self._recorded = None

    def on_tick(
        self, now_ms: int, flows: collections.abc.Callable[
            [], collections.abc.Iterable[flow_table.Flow]]
    ) -> Outgoing | None:
        """Returns the message that is due, or None.

        Args:
          now_ms: Time.
          flows: Returns the open flows of the target.
        """
        self._expire_balancers(now_ms)
        if now_ms < self._next_send_ms or not self._target:
            return None
        collector = self._choose_collector()
        if collector != self.collector:
            self.collector = collector
            self._has_confirmed = False
            self._forget_sent()
        if collector is None:
            return None
        left_bytes = self._allowance.left_bytes(now_ms,
                                                max(1, self._zone_agents()))
        if left_bytes <= 0:
            self._has_backlog = True
            return None
        unsent = [flow for flow in flows() if self._is_unsent(now_ms, flow)]
        self._has_backlog = False
        if not unsent and not self._replaces:
            return None
        limit = max(MIN_FLOWS_PER_MESSAGE,
                    int(left_bytes // packed_flows.FLOW_BYTES))
        return self._make_message(now_ms, collector, unsent,
                                  min(limit, messages.MAX_RECENT_FLOWS))

    def _make_message(self, now_ms: int, collector: ids.Address,
                      unsent: list[flow_table.Flow], limit: int) -> Outgoing:
        # The youngest first: an older one may soon be in the agent's record.
        unsent.sort(key=lambda flow: flow.opened_ms, reverse=True)
        chosen = unsent[:limit]
        message = messages.RecentFlows(
            self._target, self._replaces,
            packed_flows.pack((flow.key, flow.client_ack) for flow in chosen))
        self._has_backlog = len(unsent) > limit
        self._sent.update(
            (flow.key, _Sent(flow.opened_ms, flow.client_ack, now_ms))
            for flow in chosen)
        self._sent_count += len(chosen)
        if chosen and len(self._unconfirmed) < MAX_UNCONFIRMED:
            self._unconfirmed.setdefault(messages.recent_flows_digest(message),
                                         now_ms)
        self.has_sent = self.has_sent or bool(chosen)
        self._replaces = False
        is_large = collector_count(self._zone_agents()) > 1
        self._next_send_ms = now_ms + (LARGE_ZONE_SEND_PERIOD_MS
                                       if is_large else SEND_PERIOD_MS)
        self._allowance.use(len(messages.encode(message)))
        return collector, message

    def _is_unsent(self, now_ms: int, flow: flow_table.Flow) -> bool:
        sent = self._sent.get(flow.key)
        if sent is not None and sent.opened_ms == flow.opened_ms:
            return (now_ms - sent.sent_ms >= NUMBER_PERIOD_MS and
                    has_moved(sent.ack, flow.client_ack))
        # A later flow of the same addresses and ports has other numbers.
        ack = self._recorded.get(flow.key) if self._recorded else None
        return (ack is None or not flow.acknowledges(ack) or
                now_ms - self._recorded_ms >= NUMBER_PERIOD_MS and
                has_moved(ack, flow.client_ack))

    def _forget_sent(self) -> None:
        self._sent.clear()
        self._sent_count = 0
        self._unconfirmed.clear()

    def _choose_collector(self) -> ids.Address | None:
        own_zone = [
            address for address, (zone, _) in self._balancers.items()
            if zone == self._zone
        ]
        return choose_collector(own_zone, collector_count(self._zone_agents()),
                                self._target)

    def _zone_agents(self) -> int:
        """Returns the expected number of agents in a zone."""
        zones = {zone for zone, _ in self._balancers.values()}
        return self._agent_count // max(1, len(zones))

    def _expire_balancers(self, now_ms: int) -> None:
        for address, (_, last_hello_ms) in tuple(self._balancers.items()):
            if now_ms - last_hello_ms > COLLECTOR_TIMEOUT_MS:
                del self._balancers[address]


class EarlierFlows:
    """What an agent that starts has read of the flows of earlier targets.

    Explanation
    ===========

    The objects of collectors that are gone stay in the store, so they may have
    flows that ended long ago. Two conditions keep those out:

    - The flows are of the incarnation that the agent's registration named when
      the agent started. If it names the present one, an earlier process of this
      agent has seen the change and reset the flows.
    - The object is newer than the agent's own record of that incarnation, which
      otherwise includes the flows that are still open.
    """

    def __init__(self):
        self._stored: tuple[StoredFlows, ...] | None = None
        self._stored_targets: frozenset[str] = frozenset()
        self._has_registration = False
        self._registered: str | None = None
        # Identity, flows and revision of the agent's own record.
        self._record: tuple[str, dict[bytes, int],
                            ids.StoreRevision] | None = None

    @property
    def is_read(self) -> bool:
        """Whether the collectors' objects have been read."""
        return self._stored is not None

    def on_list(self, stored: tuple[StoredFlows, ...]) -> None:
        """Records what the collectors' objects have of this agent."""
        self._stored = stored
        self._stored_targets = frozenset(found.target for _, found in stored)

    def may_include(self, identity: str) -> bool:
        """Returns whether the objects may have had flows of an incarnation."""
        return not self.is_read or identity in self._stored_targets

    def on_registration(self, identity: str | None) -> None:
        """Records the target in the agent's registration.

        Args:
          identity: Identity of the incarnation, empty if the agent had none,
            None without a registration.
        """
        self._has_registration = True
        self._registered = identity

    def on_record(self, identity: str, flows: packed_flows.Flows,
                  revision: ids.StoreRevision) -> None:
        """Records the agent's own record, whose flows are reset by themselves.

        Args:
          identity: Identity of the incarnation in it, empty if there is none.
          flows: Key and last client acknowledgement of each flow.
          revision: Its revision, 0 if there is none.
        """
        self._record = (identity, dict(flows), revision)

    def take(
            self,
            is_lost: collections.abc.Callable[[str],
                                              bool]) -> packed_flows.Flows:
        """Returns the flows to reset, once all has been read.

        Args:
          is_lost: Returns whether the incarnation with an identity has been
            replaced by another one.
        """
        if (self._stored is None or not self._has_registration or
                self._record is None):
            return ()
        recorded, recorded_flows, recorded_revision = self._record
        identity = self._registered or recorded
        if not identity or not is_lost(identity):
            return ()
        flows: dict[bytes, int] = {}
        for revision, stored in self._stored:
            if stored.target == identity and (identity != recorded or
                                              revision > recorded_revision):
                flows.update(stored.flows)
        self._stored = ()
        known = recorded_flows if identity == recorded else {}
        return tuple((key, ack)
                     for key, ack in flows.items()
                     if key not in known or has_moved(known[key], ack))
