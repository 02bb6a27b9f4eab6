"""The search for the target that holds an open flow.

Explanation
===========

The agents of the flow's first candidates are queried in parallel, then all
others; queries are small. An agent whose flow table is complete answers at
once. An agent that has restarted cannot tell. It gets the packet itself and
forwards it to its target, which returns it if it does not hold the flow. Such
agents get the packet one after the other, since a flow's packets should reach
as few targets as possible that do not hold it. In installations of up to
`MAX_AGENTS_BEFORE_DELIVERY` agents, all of them are queried before the first
one gets the packet, since one of the others may know that it is the owner's.

An agent that was heard lately and does not answer at once is slow, and may be
the owner's. The search goes on with the others, but few of them get the packet
before a slow agent counts as silent.

The list of agents may lag, and an agent that it lacks may hold the flow. Before
the search ends without an owner, it needs a list that was read after its start.

Examples
========

>>> search = OwnerSearch(0, [('a', 1), ('b', 1)], b'packet', 9, 1)
>>> search.add_agents([])
>>> [step.agent for step in search.steps(0)]
[('a', 1), ('b', 1)]
>>> search.on_unsure(('a', 1))
>>> search.on_denied(('b', 1))
>>> search.steps(1)
[TrialDelivery(agent=('a', 1))]
>>> search.on_denied(('a', 1))
>>> search.steps(2), search.verdict
([], <Verdict.UNPROVEN: 'unproven'>)
>>> search.add_agents([('a', 1), ('c', 1)], is_current=True)
>>> search.steps(6)
[OwnerQuery(agent=('c', 1), is_urgent=False)]
>>> search.on_denied(('c', 1))
>>> search.steps(7), search.verdict
([], <Verdict.NO_OWNER: 'no owner'>)
"""

import collections.abc
import enum
import typing

from figdrum.core import ids
from figdrum.flows import segment

# Agents queried first: as many as a new flow has candidates, and one more in
# case a candidate accepted no new flows when the flow was opened.
INITIAL_QUERY_COUNT = 4

# Largest number of agents that are all queried before a target gets the packet.
# A query and its answer take 16 bytes each and the heads of the messages, so a
# flow costs 12 KB at this number of agents, and 450 KB at 9,600.
MAX_AGENTS_BEFORE_DELIVERY = 256

# Targets that get the packet one by one. If none of them holds the flow,
# probably none does, so the others get it in parallel.
MAX_SERIAL_DELIVERIES = 8

# Targets that get the packet while a slow agent may still answer. Three packets
# of a flow at other targets only, within 2 s, count as a broken flow.
MAX_DELIVERIES_BESIDE_SLOW = 2

# Time in ms within which an agent answers. Queries are batched for 10 ms, the
# agent may wait 15 ms for its target, and the rest covers scheduling delays of
# both processes. An agent that takes longer is slow, or silent if it was not
# heard lately.
QUERY_TIMEOUT_MS = 60

# Time in ms after which a slow agent counts as silent. On a crowded machine a
# process may wait that long for the processor.
SILENCE_TIMEOUT_MS = 300

# Period of the checks for agents that have not answered, in ms.
TIMEOUT_CHECK_PERIOD_MS = 10


class Verdict(enum.Enum):
    """Result of a search.

    It is UNKNOWN if an agent did not answer, and UNPROVEN while all known
    agents have denied the flow and the list of agents may lag.
    """
    OPEN = 'open'
    UNPROVEN = 'unproven'
    NO_OWNER = 'no owner'
    UNKNOWN = 'unknown'


class OwnerQuery(typing.NamedTuple):
    """A query to an agent whether its target holds the flow.

    Attributes:
      agent: Address of the agent.
      is_urgent: Whether the target is a likely owner. Otherwise the query can
        be batched with others.
    """
    agent: ids.Address
    is_urgent: bool


class TrialDelivery(typing.NamedTuple):
    """The packet itself, for an agent that cannot tell without its target.

    Attributes:
      agent: Address of the agent.
    """
    agent: ids.Address


# One object holds the whole state of a search.
# pylint: disable-next=too-many-instance-attributes
class OwnerSearch:
    """State of the search for the owner of one flow.

    Attributes:
      started_ms: Start time.
      raw: The packet that started the search.
      ack: The client's acknowledgement number in that packet.
      tag: `messages.service_tag` of the service of the flow's route.
      buffered_packets: Later packets of the flow, buffered until the search
        ends.
      silent: Agents that did not answer in time.
      slow: Agents that have not answered yet but still may, with the time of
        the first query in ms.
      query_count: Number of agents queried so far.
      needs_all_agents: Whether the first agents have denied the flow, and the
        search goes on once it has got all agents.
      verdict: Result of the search.
    """

    # pylint: disable-next=too-many-positional-arguments
    def __init__(self,
                 now_ms: int,
                 first: list[ids.Address],
                 raw: bytes,
                 ack: int,
                 tag: int,
                 unresponsive: collections.abc.Container[ids.Address] = (),
                 queries_all_first: bool = False):
        """Creates a search.

        Args:
          now_ms: Time.
          first: Agents that are queried first.
          raw: The packet that started the search.
          ack: The client's acknowledgement number in that packet.
          tag: `messages.service_tag` of the service of the flow's route.
          unresponsive: Those of `first` that were heard lately, but have missed
            reports or answers. The search does not wait for them before it
            queries others.
          queries_all_first: Whether all agents are queried before a target gets
            the packet.
        """
        self._queries_all_first = queries_all_first
        self._unresponsive = unresponsive
        self.started_ms = now_ms
        self.raw = raw
        self.ack = ack
        self.tag = tag
        self.buffered_packets: list[bytes] = []
        self.silent: list[ids.Address] = []
        self.slow: dict[ids.Address, int] = {}
        self.query_count = 0
        self.verdict = Verdict.OPEN
        self.needs_all_agents = False
        self._unqueried = first
        self._first_count = len(first)
        # Place of each agent in the order of likely owners.
        self._order = {agent: place for place, agent in enumerate(first)}
        self._left: collections.abc.Container[ids.Address] = ()
        self._has_all_agents = False
        self._has_current_agents = False
        self._pending: dict[ids.Address, int] = {}
        self._unsure: list[ids.Address] = []
        self._delivered_to: set[ids.Address] = set()
        self._unanswered_queries: dict[ids.Address, int] = {}
        # Time of the last repeated step, by agent.
        self._repeated_ms: dict[ids.Address, int] = {}

    @property
    def unexplained_silent(self) -> list[ids.Address]:
        """Silent agents whose targets have not left."""
        return [agent for agent in self.silent if agent not in self._left]

    def add_agents(
        self,
        agents: collections.abc.Iterable[ids.Address],
        is_current: bool = False,
        left: collections.abc.Container[ids.Address] = (),
        unresponsive: collections.abc.Container[ids.Address] = ()
    ) -> None:
        """Sets all agents, in the order in which they are queried.

        Args:
          agents: The agents.
          is_current: Whether the list was read after the start of the search.
          left: Those whose targets have left, by their registrations in this
            list. Their silence is no obstacle to the result.
          unresponsive: Those that have missed reports or answers. They count as
            slow at once.
        """
        self._left = left
        self._unresponsive = unresponsive
        self.needs_all_agents = False
        self._has_all_agents = True
        self._has_current_agents = is_current
        self.verdict = Verdict.OPEN
        added = [agent for agent in agents if agent not in self._order]
        self._order.update(
            (agent, place)
            for place, agent in enumerate(added, len(self._order)))
        self._unqueried += added

    def is_for(self, ack: int) -> bool:
        """Returns whether an acknowledgement number is of the searched flow.

        Flows may have the same addresses and ports one after the other.
        """
        return segment.is_near(self.ack, ack)

    def buffer_packet(self, raw: bytes) -> None:
        """Buffers a later packet of the flow unless the buffer is full."""
        if len(self.buffered_packets) < segment.PACKETS_IN_FLIGHT:
            self.buffered_packets.append(raw)

    def on_denied(self, agent: ids.Address) -> None:
        """Records that an agent's target does not hold the flow."""
        self._on_answer(agent)

    def on_unsure(self, agent: ids.Address) -> None:
        """Records that an agent does not know whether its target holds it.

        If it says so of the packet itself, its target does not seem to run. The
        search does not wait for such a target, and proves nothing about it.
        """
        # An answer to an earlier query says nothing about the packet itself.
        is_of_query = self._unanswered_queries.get(agent, 0) > 0
        if is_of_query:
            self._unanswered_queries[agent] -= 1
        if agent not in self._delivered_to:
            if self._on_answer(agent):
                self._unsure.append(agent)
                self._unsure.sort(key=self._order.__getitem__)
        elif not is_of_query and agent not in self.silent:
            if self._on_answer(agent):
                self.silent.append(agent)

    def _on_answer(self, agent: ids.Address) -> bool:
        """Returns whether an answer of the agent was expected."""
        if agent in self.silent:
            self.silent.remove(agent)
            return True
        return (self._pending.pop(agent, None) is not None or
                self.slow.pop(agent, None) is not None)

    def expire_queries(
            self, now_ms: int,
            is_heard: collections.abc.Callable[[ids.Address], bool]) -> None:
        """Moves agents that have not answered in time to `slow` or `silent`.

        Args:
          now_ms: Time.
          is_heard: Returns whether an agent was heard lately.
        """
        for agent, sent_ms in tuple(self._pending.items()):
            if now_ms - sent_ms >= QUERY_TIMEOUT_MS:
                del self._pending[agent]
                self.slow[agent] = sent_ms
        for agent, sent_ms in tuple(self.slow.items()):
            waited_ms = now_ms - sent_ms
            if (waited_ms >= SILENCE_TIMEOUT_MS or
                (waited_ms >= QUERY_TIMEOUT_MS and not is_heard(agent))):
                del self.slow[agent]
                self.silent.append(agent)

    def repeat_lost(self, now_ms: int) -> list[OwnerQuery | TrialDelivery]:
        """Repeats the last step for each slow agent, once per time-out.

        What an agent had got is lost if it has started again since, and the
        client may not retransmit. This does not prolong the time after which an
        agent is silent: searches that waited anew after each retransmission
        took up to 1 s.
        """
        agents = [
            agent for agent, sent_ms in self.slow.items() if now_ms -
            max(sent_ms, self._repeated_ms.get(agent, 0)) >= QUERY_TIMEOUT_MS
        ]
        self._repeated_ms.update((agent, now_ms) for agent in agents)
        result: list[OwnerQuery | TrialDelivery] = []
        for agent in agents:
            if agent in self._delivered_to:
                result.append(TrialDelivery(agent))
            else:
                self._count_query(agent)
                result.append(OwnerQuery(agent, False))
        return result

    def _count_query(self, agent: ids.Address) -> None:
        self._unanswered_queries[agent] = (
            self._unanswered_queries.get(agent, 0) + 1)

    def steps(self, now_ms: int) -> list[OwnerQuery | TrialDelivery]:
        """Returns the next steps.

        The list is empty while answers are pending, and at the end of the
        search or while it is unproven, which also set `verdict`.
        """
        if self._pending:
            return []
        if self._unsure and not self._must_query_first():
            if self._must_wait_for_slow(self._unsure[0]):
                return []
            count = 1
            if len(self._delivered_to) >= MAX_SERIAL_DELIVERIES:
                count = len(self._unsure)
            agents, self._unsure = self._unsure[:count], self._unsure[count:]
            return [
                self._start_step(now_ms, TrialDelivery(agent))
                for agent in agents
            ]
        if self._unqueried:
            is_urgent = not self._has_all_agents
            batch, self._unqueried = self._unqueried, []
            self.query_count += len(batch)
            return [
                self._start_step(now_ms, OwnerQuery(agent, is_urgent))
                for agent in batch
            ]
        if not self._has_all_agents:
            self.needs_all_agents = True
            return []
        if self.slow:
            return []
        if self.unexplained_silent or not self.query_count:
            self.verdict = Verdict.UNKNOWN
        elif not self._has_current_agents:
            self.verdict = Verdict.UNPROVEN
        else:
            self.verdict = Verdict.NO_OWNER
        return []

    def _must_query_first(self) -> bool:
        """Returns whether to query the others before the next delivery.

        A single agent that cannot tell has restarted alone, and is likely the
        owner's.
        """
        has_queried_all = self._has_all_agents and not self._unqueried
        return (self._queries_all_first and len(self._unsure) > 1 and
                not has_queried_all)

    def _must_wait_for_slow(self, agent: ids.Address) -> bool:
        """Returns whether a slow agent limits the deliveries before an agent.

        The first agents wait only for those before them, as if the others had
        not been queried.
        """
        place = self._order[agent]
        return (len(self._delivered_to) >= MAX_DELIVERIES_BESIDE_SLOW and
                any(place >= self._first_count or self._order[slow] < place
                    for slow in self.slow))

    def has_delivered_to(self, agent: ids.Address) -> bool:
        """Returns whether an agent got the packet that started the search."""
        return agent in self._delivered_to

    def _start_step(
            self, now_ms: int,
            step: OwnerQuery | TrialDelivery) -> OwnerQuery | TrialDelivery:
        if isinstance(step, TrialDelivery):
            self._delivered_to.add(step.agent)
        else:
            self._count_query(step.agent)
        if (isinstance(step, OwnerQuery) and step.agent in self._unresponsive):
            self.slow[step.agent] = now_ms
        else:
            self._pending[step.agent] = now_ms
        return step
