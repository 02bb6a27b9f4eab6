"""The search for the target that holds an open flow.

Explanation
===========

The agents of the flow's first candidates are asked at the same time, then all
others. A question is small. An agent that knows answers at once; one that has
lost its memory cannot tell, and is handed the packet, so that its target
answers. Targets are tried one after the other, since a flow's packets should
not reach many servers that do not hold it.

Examples
========

>>> search = OwnerSearch(0, [('a', 1), ('b', 1)], b'packet', 9, 1)
>>> [step.agent for step in search.steps(0)]
[('a', 1), ('b', 1)]
>>> search.on_unsure(('a', 1))
>>> search.on_denied(('b', 1))
>>> search.steps(1)
[Attempt(agent=('a', 1))]
>>> search.on_denied(('a', 1))
>>> search.steps(2), search.verdict
([], <Verdict.NO_OWNER: 'no owner'>)
"""

import collections
import enum
import typing

from figdrum.core import ids
from figdrum.flows import segment

# Agents asked first: a flow's candidates at its opening, and one for a
# candidate that took no new flows then.
INITIAL_QUERY_COUNT = 4

# Targets that are tried one by one; further ones are tried together, when the
# flow is probably not held by any.
MAX_SERIAL_DELIVERIES = 8

# Time in ms in which an agent answers: questions are collected for 10 ms, it
# may try its target for 15 ms, and both processes may wait for their core.
QUERY_TIMEOUT_MS = 60

# Time in ms between looks for agents that have not answered.
TIMEOUT_CHECK_MS = 10


class Verdict(enum.Enum):
    """What a search has found so far."""
    OPEN = 'open'
    NO_OWNER = 'no owner'
    UNKNOWN = 'unknown'


class OwnerQuery(typing.NamedTuple):
    """Ask an agent whether its target holds the flow.

    Attributes:
      agent: The agent.
      is_urgent: It is a likely owner; otherwise the question may be put
        together with others.
    """
    agent: ids.Address
    is_urgent: bool


class Attempt(typing.NamedTuple):
    """Hand the packet to an agent that cannot tell."""
    agent: ids.Address


class OwnerSearch:
    """A question about one flow.

    Attributes:
      started_ms: When the search began.
      raw: The packet that started it.
      ack: The client's acknowledgement in that packet.
      tag: Service of the flow's route, for `Carry`.
      waiting: Later packets of the flow.
      silent: Agents that did not answer in time.
      asked: Agents asked so far.
      verdict: What has been found.
    """

    def __init__(self, now_ms: int, order: list[ids.Address], raw: bytes,
                 ack: int, tag: int):
        self.started_ms = now_ms
        self.raw = raw
        self.ack = ack
        self.tag = tag
        self.waiting: list[bytes] = []
        self.silent: list[ids.Address] = []
        self.asked = 0
        self.verdict = Verdict.OPEN
        self._remaining = order
        self._pending: dict[ids.Address, int] = {}
        self._unsure: collections.deque[ids.Address] = collections.deque()
        self._tried: set[ids.Address] = set()

    def buffer_packet(self, raw: bytes) -> None:
        """Keeps a later packet of the flow, if there is room."""
        if len(self.waiting) < segment.PACKETS_IN_FLIGHT:
            self.waiting.append(raw)

    def on_denied(self, agent: ids.Address) -> None:
        """Notes that an agent's target does not hold the flow."""
        self._pending.pop(agent, None)

    def on_unsure(self, agent: ids.Address) -> None:
        """Notes that an agent cannot tell."""
        if self._pending.pop(agent, None) is not None:
            self._unsure.append(agent)

    def expire_queries(self, now_ms: int) -> None:
        """Notes agents that have not answered in time."""
        for agent, asked_ms in tuple(self._pending.items()):
            if now_ms - asked_ms >= QUERY_TIMEOUT_MS:
                del self._pending[agent]
                self.silent.append(agent)

    def steps(self, now_ms: int) -> list[OwnerQuery | Attempt]:
        """Returns what to do next; none while answers are awaited."""
        if self._pending:
            return []
        if self._unsure:
            count = 1
            if len(self._tried) >= MAX_SERIAL_DELIVERIES:
                count = len(self._unsure)
            return [
                self._start_step(now_ms, Attempt(self._unsure.popleft()))
                for _ in range(count)
            ]
        if self._remaining:
            count = len(self._remaining) if self.asked else INITIAL_QUERY_COUNT
            batch = self._remaining[:count]
            self._remaining = self._remaining[count:]
            self.asked += len(batch)
            is_urgent = self.asked <= INITIAL_QUERY_COUNT
            return [
                self._start_step(now_ms, OwnerQuery(agent, is_urgent))
                for agent in batch
            ]
        self.verdict = (Verdict.UNKNOWN
                        if self.silent or not self.asked else Verdict.NO_OWNER)
        return []

    def has_delivered_to(self, agent: ids.Address) -> bool:
        """Returns whether an agent has the packet that started the search."""
        return agent in self._tried

    def _start_step(self, now_ms: int,
                    step: OwnerQuery | Attempt) -> OwnerQuery | Attempt:
        if isinstance(step, Attempt):
            self._tried.add(step.agent)
        self._pending[step.agent] = now_ms
        return step
