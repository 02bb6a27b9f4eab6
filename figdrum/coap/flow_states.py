"""Per-flow state of the CoAP server.

Explanation
===========

Message ids and Observe values of a flow come from one sequence, which starts
at a random number. A flow's state also has its observations and the refusals
that may have to be sent again. The number of flows is limited: the oldest flow
without an observation is evicted first.

Examples
========

>>> memory = FlowStates(random.Random(1))
>>> flow = ids.FlowKey('10.0.0.1', 4000, '10.9.0.1', 5683)
>>> first = memory.next_mid(flow)
>>> memory.next_mid(flow) == (first + 1) % MID_RANGE
True
>>> memory.find_observation(flow, b't') is None
True
"""

import dataclasses
import random

from figdrum.coap import observation
from figdrum.core import ids
from figdrum.core import limits

# Ten times the flows that an agent holds, as refused flows have a state too.
MAX_FLOWS = 20_000
SEQUENCE_RANGE = 1 << 24
MID_RANGE = 1 << 16


@dataclasses.dataclass(slots=True)
class CallerFlowState:
    """State of one flow.

    Attributes:
      sequence: Last number used of the flow's sequence.
      observations: Observations by token.
      refusals: Time in ms and encoded refusal, by the message id of the refused
        request.
    """
    sequence: int
    observations: dict[bytes, observation.Observation]
    refusals: dict[int, tuple[int, bytes]]

    def next_number(self) -> int:
        """Returns the next number of the flow's sequence."""
        self.sequence = (self.sequence + 1) % SEQUENCE_RANGE
        return self.sequence


class FlowStates:
    """States of a limited number of flows.

    Args:
      rng: Source of first sequence numbers.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._flows: dict[ids.FlowKey, CallerFlowState] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, flow: ids.FlowKey) -> CallerFlowState:
        """Returns the state of a flow; creates it if there is none."""
        state = self._flows.get(flow)
        if state is None:
            state = CallerFlowState(self._rng.randrange(MID_RANGE), {}, {})
            self._flows[flow] = state
            if len(self._flows) > MAX_FLOWS:
                self._evict_oldest_idle()
        return state

    def find(self, flow: ids.FlowKey) -> CallerFlowState | None:
        """Returns the state of a flow, or None."""
        return self._flows.get(flow)

    def remove(self, flow: ids.FlowKey) -> None:
        """Removes the state of a flow, if there is one."""
        self._flows.pop(flow, None)

    def next_mid(self, flow: ids.FlowKey) -> int:
        """Returns the next message id of a flow."""
        return self.get(flow).next_number() % MID_RANGE

    def find_observation(self, flow: ids.FlowKey,
                         token: bytes) -> observation.Observation | None:
        """Returns the observation with `token`, or None."""
        state = self._flows.get(flow)
        return state.observations.get(token) if state else None

    def find_unacknowledged(self, flow: ids.FlowKey,
                            mid: int) -> observation.Observation | None:
        """Returns the observation whose notification `mid` is not yet
        acknowledged, or None."""
        state = self._flows.get(flow)
        for obs in state.observations.values() if state else ():
            if obs.outstanding is not None and obs.outstanding.mid == mid:
                return obs
        return None

    def recent_refusals(self, now_ms: int,
                        flow: ids.FlowKey) -> dict[int, tuple[int, bytes]]:
        """Returns the refusals of a flow whose requests may still be copied."""
        state = self.get(flow)
        state.refusals = {
            mid: (sent_ms, data)
            for mid, (sent_ms, data) in state.refusals.items()
            if now_ms - sent_ms < limits.EXCHANGE_LIFETIME_MS
        }
        return state.refusals

    def _evict_oldest_idle(self) -> None:
        oldest = next((flow for flow, state in self._flows.items()
                       if not state.observations), None)
        self._flows.pop(oldest, None)
