"""Tracks how up to date a node's replica is.

Explanation
===========

`ConfirmationTracker` tracks when the platform last confirmed the replica.
`ReadinessGate` decides when a fresh node can serve. `MissingChangeTracker`
detects that a node has to stop serving, because a contract change that other
nodes reported has not arrived.
"""

import typing

from figdrum.core import limits
from figdrum.messages import control

NEVER_CONFIRMED = -1
"""Age of the confirmation of a replica that was never confirmed."""

PEER_DIGEST_WAIT_MS = 2_000
"""Time for which a fresh node collects digests while the platform is down."""

MIN_PEER_DIGESTS = 2


class ConfirmationTracker:
    """Tracks when the platform last confirmed this node's replica.

    Explanation: a peer whose replica was complete at revision r at time t
    confirms every replica at or above r as of t, because such a replica holds
    all objects that the platform held at t. A peer that is ahead confirms this
    node once this node's replica has reached the peer's revision.
    """

    def __init__(self):
        self._confirmed_ms: int | None = None
        self._pending: tuple[int, int] | None = None

    @property
    def confirmed_ms(self) -> int | None:
        """Time of the last confirmation by this node's clock, or None."""
        return self._confirmed_ms

    def age_ms(self, now_ms: int) -> int:
        """Returns the time since the last confirmation in ms.

        The result is `NEVER_CONFIRMED` if there was no confirmation.
        """
        if self._confirmed_ms is None:
            return NEVER_CONFIRMED
        return max(0, now_ms - self._confirmed_ms)

    def on_platform_confirmed(self, requested_ms: int) -> None:
        """Records that the replica holds all that the platform held then.

        Args:
          requested_ms: Time at which the read of the platform started.
        """
        self._confirmed_ms = max(requested_ms, self._confirmed_ms or
                                 requested_ms)

    def on_peer_confirmed(self, now_ms: int, age_ms: int, peer_revision: int,
                          revision: int) -> None:
        """Records a peer's confirmation.

        Args:
          now_ms: Time of receipt.
          age_ms: Age of the peer's confirmation, or `NEVER_CONFIRMED`.
          peer_revision: Revision of the peer's replica.
          revision: Revision of this node's replica.
        """
        if age_ms < 0:
            return
        if peer_revision <= revision:
            self.on_platform_confirmed(now_ms - age_ms)
        elif self._pending is None or now_ms - age_ms > self._pending[1]:
            self._pending = (peer_revision, now_ms - age_ms)

    def on_revision(self, revision: int) -> None:
        """Records that this node's replica has reached `revision`."""
        if self._pending is not None and self._pending[0] <= revision:
            self.on_platform_confirmed(self._pending[1])
            self._pending = None


class ReadinessGate:
    """Decides when a fresh node can serve; once open, it stays open.

    Explanation: the gate opens when the platform has confirmed the replica
    since the start. While the platform is down, it opens when at least two
    peers (or all known ones, if fewer) have sent a digest,
    `PEER_DIGEST_WAIT_MS` have passed so that more peers could send theirs, and
    the replica has reached the highest revision among the digests. A node
    without known peers does not serve while the platform is down.
    """

    def __init__(self, started_ms: int):
        self._started_ms = started_ms
        self._peer_revisions: dict[str, int] = {}
        self._open = False

    @property
    def is_open(self) -> bool:
        """Whether the node can serve."""
        return self._open

    def on_digest(self, digest: control.Digest) -> None:
        """Records the revision of a peer."""
        if not self._open:
            self._peer_revisions[digest.name] = max(
                digest.revision, self._peer_revisions.get(digest.name, 0))

    def on_tick(self, now_ms: int, revision: int, confirmed_ms: int | None,
                platform_up: bool, peers: typing.Collection[str]) -> bool:
        """Opens the gate if its conditions are met; returns whether it is open.

        Args:
          now_ms: Current time.
          revision: Revision of the replica.
          confirmed_ms: See `ConfirmationTracker.confirmed_ms`.
          platform_up: False if the last call to the platform failed.
          peers: Names of the other known balancers of the zone.
        """
        if not self._open:
            confirmed = (confirmed_ms is not None and
                         confirmed_ms >= self._started_ms)
            self._open = confirmed or (not platform_up and
                                       self._has_reached_peers(
                                           now_ms, revision, peers))
        return self._open

    def _has_reached_peers(self, now_ms: int, revision: int,
                           peers: typing.Collection[str]) -> bool:
        revisions = [
            self._peer_revisions[name]
            for name in peers
            if name in self._peer_revisions
        ]
        needed = min(MIN_PEER_DIGESTS, len(peers))
        return (now_ms - self._started_ms >= PEER_DIGEST_WAIT_MS and
                0 < needed <= len(revisions) and revision >= max(revisions))


class MissingChangeTracker:
    """Tracks for how long contract changes that others reported are missing."""

    def __init__(self):
        self._missing: list[tuple[int, int]] = []

    def on_change_reported(self, now_ms: int, change: int,
                           own_change: int) -> None:
        """Records that a peer or agent reported a contract change.

        Args:
          now_ms: Time of receipt.
          change: Number of the reported change.
          own_change: Number of the last change that this node has applied.
        """
        newest_change = self._missing[-1][0] if self._missing else own_change
        if change > max(own_change, newest_change):
            self._missing.append((change, now_ms))

    def on_applied(self, own_change: int) -> None:
        """Records that all changes up to number `own_change` are applied."""
        self._missing = [
            entry for entry in self._missing if entry[0] > own_change
        ]

    def is_behind(self, now_ms: int) -> bool:
        """Returns whether a change has been missing past the time limit."""
        return bool(self._missing) and (now_ms - self._missing[0][1]
                                        > limits.CHANGE_PROPAGATION_LIMIT_MS)
