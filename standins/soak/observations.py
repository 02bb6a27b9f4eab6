"""Observations of clients and servers, and the violations found in them."""

import collections
import typing

from standins.soak import layout
from standins.soak import wire

# Name under which disturbances of the store are recorded.
STORE = 'store'


class Opening(typing.NamedTuple):
    """A flow's opening packet, with its copies.

    Attributes:
      sent_ms: When it was first sent.
      balancers: Names of the machines that it and its copies were sent to.
    """
    sent_ms: int
    balancers: set[str]


class Violation(typing.NamedTuple):
    """A violated guarantee.

    Attributes:
      rule: Kind of the guarantee.
      at_ms: When the violation was detected.
      what: Details, such as the flow and the server.
    """
    rule: str
    at_ms: int
    what: str


class Observations:
    """Collects observations, and violations as they are detected.

    Attributes:
      violations: Violations so far.
      requested: Number of requests by the second in which they were made.
      served: Number of served requests by the second in which they were made.
      executions: Number of executions of each request.
      disturbed_until_ms: End of the last disturbance, by machine name or STORE.
      outcomes: Number of requests by outcome.
      openings: Opening packets, by client address and sequence number.
      urgent: Requests of the most urgent class: when each was made, and the
        time in ms after which it was served, or None.
    """

    def __init__(self):
        self.violations: list[Violation] = []
        self.requested: collections.Counter[int] = collections.Counter()
        self.served: collections.Counter[int] = collections.Counter()
        self.executions: collections.Counter[str] = collections.Counter()
        self.disturbed_until_ms: dict[str, int] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.openings: dict[tuple[wire.Address, int], Opening] = {}
        self.urgent: list[tuple[int, int | None]] = []

    def note_violation(self, rule: str, at_ms: int, what: str) -> None:
        """Records a violation of a guarantee."""
        self.violations.append(Violation(rule, at_ms, what))

    def note_disturbance(self, name: str, until_ms: int) -> None:
        """Records that a machine, or the store, is disturbed until a time."""
        self.disturbed_until_ms[name] = max(
            until_ms, self.disturbed_until_ms.get(name, 0))

    def is_in_contact(self, name: str, now_ms: int) -> bool:
        """Returns whether a machine has had time to reconnect.

        This is so `RECONNECT_MS` after its last disturbance.
        """
        return now_ms - self.disturbed_until_ms.get(
            name, -layout.RECONNECT_MS) >= layout.RECONNECT_MS

    def note_opening(self, src: wire.Address, seq: int, at_ms: int,
                     balancer: str) -> None:
        """Records that an opening packet, or a copy of it, was sent."""
        opening = self.openings.setdefault((src, seq), Opening(at_ms, set()))
        opening.balancers.add(balancer)

    def note_execution(self, request: str, is_unsafe: bool, at_ms: int) -> None:
        """Records that a server starts to execute a request.

        An unsafe request must not be executed twice.
        """
        self.executions[request] += 1
        if is_unsafe and self.executions[request] > 1:
            self.note_violation('run twice', at_ms, request)

    def note_request(self, at_ms: int) -> None:
        """Records that a client makes a request."""
        self.requested[at_ms // 1_000] += 1

    def note_outcome(self, at_ms: int, outcome: str) -> None:
        """Records the outcome of a request that was made at `at_ms`."""
        self.outcomes[outcome] += 1
        if outcome == 'served':
            self.served[at_ms // 1_000] += 1

    def urgent_share(self, from_ms: int, to_ms: int, limit_ms: int) -> float:
        """Returns the share of urgent requests of a time served within a limit.

        It is 0.0 if there were none.
        """
        is_served = [
            waited_ms is not None and waited_ms <= limit_ms
            for made_ms, waited_ms in self.urgent
            if from_ms <= made_ms < to_ms
        ]
        return sum(is_served) / len(is_served) if is_served else 0.0

    def served_share(self, from_ms: int, to_ms: int) -> float:
        """Returns the share of requests made in a time span that were served.

        It is 1.0 if there were no requests.
        """
        seconds = range(from_ms // 1_000, to_ms // 1_000)
        requested = sum(self.requested[s] for s in seconds)
        return sum(
            self.served[s] for s in seconds) / requested if requested else 1.0
