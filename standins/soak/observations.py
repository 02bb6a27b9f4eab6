"""What callers and back ends have seen, and the promises it is held against."""

import collections
import typing

from standins.soak import layout
from standins.soak import wire

# Name under which the store's disturbances are noted.
STORE = 'store'


class Opening(typing.NamedTuple):
    """A flow's opening packet, with its copies.

    Attributes:
      sent_ms: When it was first sent.
      balancers: Machines that it was sent to.
    """
    sent_ms: int
    balancers: set[str]


class Violation(typing.NamedTuple):
    """A promise that was broken."""
    rule: str
    at_ms: int
    what: str


class Observations:
    """Collects observations; a broken promise is noted where it shows.

    Attributes:
      violations: Promises broken so far.
      requested: Requests asked, by second.
      served: Requests served, by the second in which they were asked.
      executions: How often each unsafe request ran.
      disturbed_until_ms: When each machine was disturbed last.
      openings: Opening packets, by client address.
    """

    def __init__(self):
        self.violations: list[Violation] = []
        self.requested: collections.Counter[int] = collections.Counter()
        self.served: collections.Counter[int] = collections.Counter()
        self.executions: collections.Counter[str] = collections.Counter()
        self.disturbed_until_ms: dict[str, int] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.openings: dict[wire.Address, Opening] = {}

    def note_violation(self, rule: str, at_ms: int, what: str) -> None:
        """Notes a broken promise."""
        self.violations.append(Violation(rule, at_ms, what))

    def note_disturbance(self, name: str, until_ms: int) -> None:
        """Notes that a machine is disturbed until a time."""
        self.disturbed_until_ms[name] = max(
            until_ms, self.disturbed_until_ms.get(name, 0))

    def is_in_contact(self, name: str, now_ms: int) -> bool:
        """Returns whether a machine counts as in touch."""
        return now_ms - self.disturbed_until_ms.get(
            name, -layout.RECONNECT_MS) >= layout.RECONNECT_MS

    def note_opening(self, src: wire.Address, at_ms: int,
                     balancer: str) -> None:
        """Notes that an opening packet or a copy of it is sent."""
        opening = self.openings.setdefault(src, Opening(at_ms, set()))
        opening.balancers.add(balancer)

    def note_execution(self, request: str, is_unsafe: bool, at_ms: int) -> None:
        """Notes that a server begins to work on a request."""
        self.executions[request] += 1
        if is_unsafe and self.executions[request] > 1:
            self.note_violation('run twice', at_ms, request)

    def note_request(self, at_ms: int) -> None:
        """Notes that a client has a request."""
        self.requested[at_ms // 1_000] += 1

    def note_outcome(self, at_ms: int, outcome: str) -> None:
        """Notes how a request asked at a time ended."""
        self.outcomes[outcome] += 1
        if outcome == 'served':
            self.served[at_ms // 1_000] += 1

    def served_share(self, from_ms: int, to_ms: int) -> float:
        """Returns the share of the requests of a span that were served."""
        seconds = range(from_ms // 1_000, to_ms // 1_000)
        requested = sum(self.requested[s] for s in seconds)
        return sum(
            self.served[s] for s in seconds) / requested if requested else 1.0
