"""Flows that the store says the target had when its agent started.

Explanation
===========

The table of an agent that starts again is empty, though its target has kept its
flows. The agent's own record of open flows and the collectors' objects of
recent flows name most of them, if they are of the target's present incarnation.

A restored flow is likely to be held, and no more than that: flows have been
closed since the record. So it is not in the agent's table, does not count as
load, and is settled by the target's own word on its first packet. A flow that
is not among the restored ones may be held as well.

Examples
========

>>> key = b'0123456789ab'
>>> restored = RestoredFlows(0)
>>> restored.add('i-1@5', ids.StoreRevision(3), ((key, 700),), True)
>>> restored.on_target(10, 'i-1@5')
{'flows': 1, 'recorded': 1, 'recent': 0, 'other_incarnation': 0, 'ms': 10}
>>> restored.is_likely(20, key, 700), restored.is_likely(20, key, 9_000_000)
(True, False)
>>> restored.confirm(key)
>>> restored.is_likely(30, key, 700), restored.confirmed_count
(False, 1)
"""

import typing

from figdrum.core import ids
from figdrum.flows import packed_flows
from figdrum.flows import segment

# Time in ms after the agent's start for which flows are restored. A flow is at
# most 60 s old, so none of them is open later.
LIFETIME_MS = 60_000

# Time in ms for which a query that the agent cannot answer yet waits for the
# reads of its start. A balancer takes an agent for slow after 60 ms.
MAX_DEFERRAL_MS = 40

# Time in ms after the agent's start within which queries wait, and the most
# that do. The reads take 20 ms, and far longer if the store does not answer.
DEFERRAL_WINDOW_MS = 500
MAX_DEFERRED = 1_024

# Flows that one answer to deferred queries names at most (600 bytes).
MAX_FLOWS_PER_ANSWER = 32


class _Source(typing.NamedTuple):
    """What an object in the store has of the agent's target.

    Attributes:
      revision: Revision of the object.
      is_own: Whether it is the agent's own record.
      target: Identity of the incarnation that had the flows.
      flows: Key and last client acknowledgement of each flow.
    """
    revision: ids.StoreRevision
    is_own: bool
    target: str
    flows: packed_flows.Flows


class RestoredFlows:
    """The flows of the present incarnation that no packet has settled yet.

    Attributes:
      has_own_record: Whether the agent's own record has been read.
      has_recent_flows: Whether the collectors' objects have been read.
      confirmed_count: Number of restored flows that the target has confirmed.
      returned_count: Number of restored flows that it did not hold.
    """

    def __init__(self, now_ms: int):
        self.has_own_record = False
        self.has_recent_flows = False
        self.confirmed_count = 0
        self.returned_count = 0
        self._started_ms = now_ms
        self._sources: list[_Source] = []
        self._has_new_source = False
        self._target = ''
        self._flows: dict[bytes, int] = {}
        # Flows that the target has confirmed, returned or opened. A source that
        # is read later must not bring them back.
        self._settled: set[bytes] = set()

    @property
    def is_complete(self) -> bool:
        """Whether all has been read and the target's identity is known."""
        return (self.has_own_record and self.has_recent_flows and
                bool(self._target))

    def add(self, target: str, revision: ids.StoreRevision,
            flows: packed_flows.Flows, is_own: bool) -> None:
        """Adds what an object in the store has; `on_target` applies it.

        Args:
          target: Identity of the incarnation that had the flows.
          revision: Revision of the object.
          flows: Key and last client acknowledgement of each flow.
          is_own: Whether it is the agent's own record.
        """
        if flows:
            self._sources.append(_Source(revision, is_own, target, flows))
            self._has_new_source = True

    def on_target(self, now_ms: int, target: str) -> dict[str, int] | None:
        """Restores the flows of the target's incarnation.

        Args:
          now_ms: Time.
          target: Its identity; empty as long as the target has not stated its
            name.

        Returns:
          Values for the log if there was something to restore, or None: the
          number of flows, how many the sources have by kind and of other
          incarnations, and the time in ms since the agent's start.
        """
        if not target or (target == self._target and not self._has_new_source):
            return None
        self._target = target
        self._has_new_source = False
        self._flows.clear()
        self.expire(now_ms)
        if not self._sources:
            return None
        matching = [
            source for source in self._sources if source.target == target
        ]
        own_revision = max(
            (source.revision for source in matching if source.is_own),
            default=ids.StoreRevision(0))
        counts = {True: 0, False: 0}
        for source in sorted(matching):
            # An object that is older than the record was written by a collector
            # that has died; the record has those of its flows that were open.
            if source.revision >= own_revision:
                counts[source.is_own] += len(source.flows)
                self._flows.update(source.flows)
        for key in self._settled:
            self._flows.pop(key, None)
        return {
            'flows':
                len(self._flows),
            'recorded':
                counts[True],
            'recent':
                counts[False],
            'other_incarnation':
                sum(
                    len(source.flows)
                    for source in self._sources
                    if source.target != target),
            'ms':
                now_ms - self._started_ms
        }

    def is_likely(self, now_ms: int, key: bytes, ack: int) -> bool:
        """Returns whether the target is likely to hold a flow.

        Args:
          now_ms: Time.
          key: Key of the flow.
          ack: The client's acknowledgement number. One that is far from the
            recorded number is of another flow of the same address and port.
        """
        self.expire(now_ms)
        recorded = self._flows.get(key)
        return recorded is not None and segment.is_near(recorded, ack)

    def remaining(self, target: str) -> packed_flows.Flows:
        """Returns the flows of an incarnation that are not settled."""
        return tuple(self._flows.items()) if target == self._target else ()

    def expire(self, now_ms: int) -> None:
        """Removes all flows once none of them can be open."""
        if now_ms - self._started_ms >= LIFETIME_MS:
            self._sources.clear()
            self._flows.clear()
            self._settled.clear()

    def confirm(self, key: bytes) -> None:
        """Records that the agent's table has a flow from now on."""
        self.confirmed_count += self._settle(key)

    def on_returned(self, key: bytes, ack: int) -> bool:
        """Records that the target does not hold a flow.

        Args:
          key: Key of the flow.
          ack: The client's acknowledgement number in the returned packet.

        Returns:
          Whether the flow was a restored one.
        """
        recorded = self._flows.get(key)
        if recorded is None or not segment.is_near(recorded, ack):
            return False
        self.returned_count += 1
        return self._settle(key)

    def _settle(self, key: bytes) -> bool:
        if self._sources:
            self._settled.add(key)
        return self._flows.pop(key, None) is not None


class _Query(typing.NamedTuple):
    until_ms: int
    origin: ids.Address
    key: bytes
    ack: int


class DeferredQueries:
    """Owner queries that wait for the reads at the agent's start.

    Balancers and agents often start at the same time. An agent that said at
    once that it cannot tell would get packets of flows that others hold.
    """

    def __init__(self):
        self._window_end_ms = 0
        self._queries: list[_Query] = []

    def on_reads_started(self, now_ms: int) -> None:
        """Lets queries wait from now on."""
        self._window_end_ms = now_ms + DEFERRAL_WINDOW_MS

    def try_add(self, now_ms: int, origin: ids.Address, key: bytes,
                ack: int) -> bool:
        """Records a query that waits; returns False if it must not wait."""
        if (now_ms >= self._window_end_ms or
                len(self._queries) >= MAX_DEFERRED):
            return False
        self._queries.append(_Query(now_ms + MAX_DEFERRAL_MS, origin, key, ack))
        return True

    def take(self, now_ms: int,
             is_complete: bool) -> list[tuple[ids.Address, packed_flows.Flows]]:
        """Removes the queries to answer; returns balancers and their flows.

        Args:
          now_ms: Time.
          is_complete: Whether the reads are complete; no query waits any more.
        """
        if is_complete:
            self._window_end_ms = now_ms
        due: dict[ids.Address, list[tuple[bytes, int]]] = {}
        waiting: list[_Query] = []
        for query in self._queries:
            if is_complete or query.until_ms <= now_ms:
                due.setdefault(query.origin, []).append((query.key, query.ack))
            else:
                waiting.append(query)
        self._queries = waiting
        return [(origin, tuple(flows[start:start + MAX_FLOWS_PER_ANSWER]))
                for origin, flows in due.items()
                for start in range(0, len(flows), MAX_FLOWS_PER_ANSWER)]
