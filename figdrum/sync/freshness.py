"""How sure a node may be that it is up to date.

Explanation
===========

Three rules, each in a class of its own. `Confirmation` knows when the platform
last confirmed the replica. `StartGate` decides when a fresh node may serve.
`MissingChangeTracker` finds out that a node must stop because a change that others named
has not arrived.
"""

import typing

from figdrum.core import limits
from figdrum.messages import control

NEVER = -1
"""Age of a confirmation that never was."""

PEER_WAIT_MS = 2_000
"""How long a fresh node collects peers' answers while the platform is down."""

ENOUGH_PEERS = 2


class Confirmation:
    """When the platform last confirmed what this node holds.

    Explanation: a peer that was complete at revision r at time t confirms every
    replica at or above r as of t, because such a replica holds all that the
    platform had then. A peer that is ahead confirms this node once the replica
    has caught up with it.
    """

    def __init__(self):
        self._confirmed_ms: int | None = None
        self._ahead: tuple[int, int] | None = None

    @property
    def confirmed_ms(self) -> int | None:
        """Time of the last confirmation by this node's clock, or None."""
        return self._confirmed_ms

    def age_ms(self, now_ms: int) -> int:
        """Returns the time since the last confirmation, or `NEVER`."""
        if self._confirmed_ms is None:
            return NEVER
        return max(0, now_ms - self._confirmed_ms)

    def on_platform(self, asked_ms: int) -> None:
        """Notes that the replica holds what the platform had at `asked_ms`."""
        self._confirmed_ms = max(asked_ms, self._confirmed_ms or asked_ms)

    def on_peer(self, now_ms: int, age_ms: int, peer_revision: int,
                revision: int) -> None:
        """Notes a peer's confirmation.

        Args:
          now_ms: Time of receipt.
          age_ms: Age of the peer's confirmation, or `NEVER`.
          peer_revision: The peer's revision.
          revision: This node's revision.
        """
        if age_ms < 0:
            return
        if peer_revision <= revision:
            self.on_platform(now_ms - age_ms)
        elif self._ahead is None or now_ms - age_ms > self._ahead[1]:
            self._ahead = (peer_revision, now_ms - age_ms)

    def on_revision(self, revision: int) -> None:
        """Notes that the replica has reached `revision`."""
        if self._ahead is not None and self._ahead[0] <= revision:
            self.on_platform(self._ahead[1])
            self._ahead = None


class StartGate:
    """Decides when a fresh node may serve; once open, it stays open.

    Explanation: the gate opens when the platform has confirmed the replica
    since the start. With the platform down it opens when at least two peers (or
    all known ones) have answered, some time has passed for more to answer, and
    the replica has reached the highest revision among the answers. A node that
    knows no peer does not serve then.
    """

    def __init__(self, started_ms: int):
        self._started_ms = started_ms
        self._answers: dict[str, int] = {}
        self._open = False

    @property
    def is_open(self) -> bool:
        """Whether the node may serve."""
        return self._open

    def on_digest(self, digest: control.Digest) -> None:
        """Notes a peer's revision."""
        if not self._open:
            self._answers[digest.name] = max(digest.revision,
                                             self._answers.get(digest.name, 0))

    def on_tick(self, now_ms: int, revision: int, confirmed_ms: int | None,
                platform_up: bool, peers: typing.Collection[str]) -> bool:
        """Opens the gate if the node may serve, and returns whether it may.

        Args:
          now_ms: Time.
          revision: Revision of the replica.
          confirmed_ms: See `Confirmation.confirmed_ms`.
          platform_up: False when the last call to the platform failed.
          peers: Names of the other known balancers of the zone.
        """
        if not self._open:
            confirmed = (confirmed_ms is not None and
                         confirmed_ms >= self._started_ms)
            self._open = confirmed or (not platform_up and self._peers_agree(
                now_ms, revision, peers))
        return self._open

    def _peers_agree(self, now_ms: int, revision: int,
                     peers: typing.Collection[str]) -> bool:
        answers = [
            self._answers[name] for name in peers if name in self._answers
        ]
        needed = min(ENOUGH_PEERS, len(peers))
        return (now_ms - self._started_ms >= PEER_WAIT_MS and
                0 < needed <= len(answers) and revision >= max(answers))


class MissingChangeTracker:
    """Knows for how long a change that others named has been missing."""

    def __init__(self):
        self._missing: list[tuple[int, int]] = []

    def on_change_reported(self, now_ms: int, change: int, own: int) -> None:
        """Notes that a peer or agent named `change` while `own` is applied."""
        newest = self._missing[-1][0] if self._missing else own
        if change > max(own, newest):
            self._missing.append((change, now_ms))

    def on_applied(self, own: int) -> None:
        """Notes that change `own` is applied."""
        self._missing = [row for row in self._missing if row[0] > own]

    def is_behind(self, now_ms: int) -> bool:
        """Returns whether a change has been missing for too long."""
        return bool(self._missing) and (now_ms - self._missing[0][1]
                                        > limits.CHANGE_PROPAGATION_LIMIT_MS)
