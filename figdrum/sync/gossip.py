"""Synchronizes a balancer's replica with the platform and with its peers.

Explanation
===========

The readers of a zone watch the platform. All other balancers receive updates
by gossip:

* A node that receives a contract change sends it immediately to three peers,
  one of them in another zone. Other updates are batched for 250 ms. A large
  update is announced by a digest instead, so that each node fetches it once.
* Contract changes are sent ahead of lists: a node that receives a digest with a
  lower change number replies with the missing changes, whatever the revisions
  are.
* Each second a node sends a digest to one random peer. Whichever of the two is
  behind then fetches what it lacks.
* Apart from probes and the queries at startup, a node has at most one pull in
  flight, so that several announcements of one change do not fetch it several
  times. A pull times out after 1 s.

The reply to a pull ends with a digest, so that the sender of the pull learns
that the peer is alive and whether there is more to pull. All messages are
subject to the node's token bucket. A message that exceeds it is dropped, and a
later digest makes the peer fetch what it lacks. Updates of lists and replies to
pulls leave a part of the bucket for contract changes and digests.

References
==========

Demers et al., "Epidemic algorithms for replicated database maintenance",
PODC 1987: rumour mongering (sending changes to random peers) backed by
anti-entropy (comparing revisions periodically).
"""

import random
import typing

from figdrum.contracts import change as change_lib
from figdrum.core import ids
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.sync import actions as actions_lib
from figdrum.sync import freshness
from figdrum.sync import peers
from figdrum.sync import platform_reads
from figdrum.sync import readers
from figdrum.sync import registry as registry_lib
from figdrum.sync import replica as replica_lib
from figdrum.sync import silence
from figdrum.sync import token_bucket

DIGEST_INTERVAL_MS = 1_000
PULL_TIMEOUT_MS = 1_000
PUSH_FANOUT = 3
BATCH_INTERVAL_MS = 250
WATCH_TIMEOUT_MS = 2_000
STARTUP_FANOUT = 4
"""Peers that a node queries each second from its start until it can serve."""

MAX_PUSHED_DELTA_BYTES = 1_400
"""Largest delta that is sent without a pull; it fits into a TCP segment."""

TCP_HEADER_BYTES = 52
"""IPv4 and TCP headers with timestamps, added to each message's size."""

Actions = tuple[actions_lib.Action, ...]


class GossipConfig(typing.NamedTuple):
    """Settings of a `GossipController`.

    Attributes:
      name: Name of this balancer.
      zone: Availability zone of this balancer.
      address: Control address of this balancer.
      seeds: Control addresses of peers from the settings, used until a peer is
        known by name.
      digest_interval_ms: Time between two digests to random peers.
      watch_ms: Longest time that a watch waits for a change on the platform.
    """
    name: ids.BalancerName
    zone: ids.ZoneName
    address: ids.Address
    seeds: tuple[ids.Address, ...] = ()
    digest_interval_ms: int = DIGEST_INTERVAL_MS
    watch_ms: int = WATCH_TIMEOUT_MS


class GossipController:
    """Maintains a balancer's replica by gossip; does no I/O.

    The process calls `on_tick` about every 100 ms and the other methods as
    messages and results of reads arrive. It executes the returned actions in
    order.

    Attributes:
      replica: The node's replica; only this controller applies deltas to it.
      regressions: Number of reads that returned a lower revision than the
        replica already had, from the platform or from a peer, when the read was
        requested.
    """

    def __init__(self,
                 cfg: GossipConfig,
                 replica: replica_lib.Replica,
                 rng: random.Random,
                 now_ms: int,
                 bucket: token_bucket.TokenBucket | None = None):
        self._cfg = cfg
        self._bucket = bucket or token_bucket.TokenBucket()
        self.replica = replica
        self.regressions = 0
        self._confirmation = freshness.ConfirmationTracker()
        self._gate = freshness.ReadinessGate(now_ms)
        self._missing_changes = freshness.MissingChangeTracker()
        self._election = readers.ReaderElection(cfg.name, cfg.zone, now_ms)
        self._peers = peers.PeerDirectory(
            registry_lib.Balancer(cfg.name, cfg.zone, cfg.address), cfg.seeds,
            rng)
        self._read_scheduler = platform_reads.ReadScheduler(rng, now_ms)
        self._next_digest_ms = now_ms + rng.randrange(cfg.digest_interval_ms)
        self._next_peer_query_ms = now_ms
        self._pull_deadline_ms = now_ms
        self._batch_base_revision: int | None = None
        self._next_batch_ms = now_ms
        self._silence = silence.SilenceTracker(now_ms)
        self._update_peers(now_ms)

    @property
    def can_serve(self) -> bool:
        """Whether the replica has been up to date once since the start."""
        return self._gate.is_open

    @property
    def dropped(self) -> int:
        """Number of messages dropped because of the token bucket."""
        return self._bucket.refused

    @property
    def platform_up(self) -> bool:
        """False if this node's last read of the platform failed."""
        return self._read_scheduler.platform_up

    def is_behind(self, now_ms: int) -> bool:
        """Returns whether a reported change is missing past the time limit."""
        return self._missing_changes.is_behind(now_ms)

    def is_reader(self) -> bool:
        """Returns whether this node reads the platform for its zone."""
        return self._election.is_reader()

    def confirmed_age_ms(self, now_ms: int) -> int:
        """Returns the time since the platform's last confirmation.

        Returns:
          Time in ms since the platform last confirmed that this replica is up
          to date, or -1.
        """
        return self._confirmation.age_ms(now_ms)

    def peers(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns all other known balancers, sorted by name."""
        return self._peers.all()

    def silent_peers(self, now_ms: int) -> tuple[str, ...]:
        """Returns the balancers to prune from the zone's registry.

        The result is empty if this node is not a reader.
        """
        if not self._election.is_reader():
            return ()
        return self._silence.silent_names(now_ms)

    def on_tick(self, now_ms: int) -> Actions:
        """Sends digests, probes and updates that are due; starts a due read."""
        actions: Actions = ()
        if now_ms >= self._next_digest_ms:
            self._next_digest_ms = now_ms + self._cfg.digest_interval_ms
            self._peers.expire(now_ms)
            for address in self._peers.choose(1):
                actions += self._send(now_ms, address, self._digest(now_ms))
        if not self._gate.is_open and now_ms >= self._next_peer_query_ms:
            self._next_peer_query_ms = now_ms + self._cfg.digest_interval_ms
            actions += self._query_peers(now_ms)
        for name in self._election.on_tick(now_ms):
            address = self._peers.registered[name].address
            actions += self._send(now_ms, address, self._digest(now_ms))
            actions += self._send(now_ms, address, self._pull())
        if (self._batch_base_revision is not None and
                now_ms >= self._next_batch_ms):
            actions += self._push_batch(now_ms,
                                        token_bucket.REPLY_RESERVE_BYTES)
        self._silence.on_tick(now_ms)
        if self._election.is_reader() or not self._gate.is_open:
            wait_ms = self._cfg.watch_ms if self._gate.is_open else 0
            actions += self._read_scheduler.next_read(now_ms,
                                                      self.replica.revision,
                                                      wait_ms)
        self._try_open_gate(now_ms)
        return actions

    def on_digest(self, now_ms: int, digest: control.Digest) -> Actions:
        """Handles a peer's digest: pulls if behind, sends updates if ahead."""
        if digest.name == self._cfg.name:
            return ()
        self._election.record_digest(digest.name, digest.platform_up)
        self._silence.record_digest(now_ms, digest.name)
        self._peers.on_digest(now_ms, digest)
        self._confirmation.on_peer_confirmed(now_ms, digest.confirmed_age_ms,
                                             digest.revision,
                                             self.replica.revision)
        self._missing_changes.on_change_reported(now_ms, digest.change,
                                                 self.replica.contracts.change)
        self._gate.on_digest(digest)
        self._try_open_gate(now_ms)
        own_change = self.replica.contracts.change
        actions: Actions = ()
        if digest.change > own_change:
            actions += self._reply(now_ms, self._digest(now_ms))
        elif digest.change < own_change:
            actions += self._reply_changes(now_ms, digest.change)
        if digest.revision > self.replica.revision:
            actions += self._reply_pull(now_ms)
        elif digest.revision < self.replica.revision:
            actions += self._reply_update(now_ms, digest.revision)
        return actions

    def on_delta(self, now_ms: int, delta: control.Delta) -> Actions:
        """Handles a peer's delta, whether pulled or pushed."""
        own_change = self.replica.contracts.change
        newest_change = max(
            (change_lib.change_number(e.key) for e in delta.entries), default=0)
        self._missing_changes.on_change_reported(now_ms, newest_change,
                                                 own_change)
        if not self.replica.accepts(delta):
            actions = self._reply_pull(now_ms)
            if newest_change > own_change:
                actions += self._reply(now_ms, self._digest(now_ms))
            return actions
        if delta.revision > self.replica.revision:
            # A newer delta, pulled or pushed, ends the wait for the pull.
            self._pull_deadline_ms = now_ms
        actions = self._apply(now_ms, delta)
        self._confirmation.on_peer_confirmed(now_ms, delta.confirmed_age_ms,
                                             delta.revision,
                                             self.replica.revision)
        self._try_open_gate(now_ms)
        return actions

    def on_pull(self, now_ms: int, pull: control.Pull) -> Actions:
        """Replies to a pull with a digest, after a delta if the peer is behind.
        """
        actions: Actions = ()
        if pull.revision < self.replica.revision:
            available_bytes = self._bucket.level(
                now_ms) - token_bucket.DIGEST_RESERVE_BYTES
            limit_bytes = max(MAX_PUSHED_DELTA_BYTES,
                              min(replica_lib.MAX_DELTA_BYTES, available_bytes))
            actions += self._reply(
                now_ms, self._delta_since(now_ms, pull.revision, limit_bytes),
                token_bucket.DIGEST_RESERVE_BYTES)
        return actions + self._reply(now_ms, self._digest(now_ms))

    def on_change_reported(self, now_ms: int, change: int) -> Actions:
        """Handles a `Stale` from an agent that knows contract change `change`.

        The node pulls from a peer immediately if it lacks that change.
        """
        own_change = self.replica.contracts.change
        self._missing_changes.on_change_reported(now_ms, change, own_change)
        return self.pull_now(now_ms) if change > own_change else ()

    def pull_now(self, now_ms: int) -> Actions:
        """Pulls from a reader of the zone or, if none is known, any peer.

        Does nothing while another pull is in flight.
        """
        if now_ms < self._pull_deadline_ms:
            return ()
        addresses = self._peers.choose_reader() or self._peers.choose(1)
        if not addresses:
            return ()
        self._pull_deadline_ms = now_ms + PULL_TIMEOUT_MS
        return self._send(now_ms, addresses[0], self._pull())

    def on_store_result(self, now_ms: int,
                        result: actions_lib.StoreResult) -> Actions:
        """Handles the result of the `Load` or `Watch` in flight."""
        if result.delta is None:
            self._read_scheduler.on_failure(now_ms)
            self._try_open_gate(now_ms)
            return ()
        actions = self._apply(now_ms, result.delta)
        if result.delta.revision < result.delta.since:
            self.regressions += 1
            self._read_scheduler.on_failure(now_ms)
        else:
            self._read_scheduler.on_success(now_ms)
            self._confirmation.on_platform_confirmed(result.requested_ms)
        self._try_open_gate(now_ms)
        return actions

    def _apply(self, now_ms: int, delta: control.Delta) -> Actions:
        """Applies an accepted delta and forwards what is new to peers."""
        before_revision = self.replica.revision
        before_change = self.replica.contracts.change
        changed = self.replica.apply(delta)
        own_change = self.replica.contracts.change
        self._missing_changes.on_applied(own_change)
        for key in changed:
            self._missing_changes.on_change_reported(
                now_ms, change_lib.change_number(key), own_change)
        self._confirmation.on_revision(self.replica.revision)
        if not changed:
            return ()
        if any(key.startswith(registry_lib.PREFIX) for key in changed):
            self._update_peers(now_ms)
        actions: Actions = (actions_lib.ObjectsChanged(changed),)
        if self._batch_base_revision is None:
            self._batch_base_revision = before_revision
        if own_change > before_change:
            actions += self._push_changes(now_ms, before_change)
        return actions

    def _push_changes(self, now_ms: int, before_change: int) -> Actions:
        """Sends new contract changes to random peers immediately.

        All batched updates are sent with them if they fit into one message.
        """
        message = self._delta_or_digest(now_ms, self._batch_base_revision or 0)
        if isinstance(message, control.Delta):
            return self._push_batch(now_ms)
        delta = self.replica.changes_after(before_change,
                                           MAX_PUSHED_DELTA_BYTES)
        if delta.entries and _encoded_bytes(delta) <= MAX_PUSHED_DELTA_BYTES:
            message = delta
        actions: Actions = ()
        for address in self._peers.choose_for_push(PUSH_FANOUT):
            actions += self._send(now_ms, address, message)
        return actions

    def _push_batch(self, now_ms: int, reserve_bytes: int = 0) -> Actions:
        """Sends the batched updates, or a digest, to random peers."""
        message = self._delta_or_digest(now_ms, self._batch_base_revision or 0)
        self._batch_base_revision = None
        self._next_batch_ms = now_ms + BATCH_INTERVAL_MS
        actions: Actions = ()
        for address in self._peers.choose_for_push(PUSH_FANOUT):
            actions += self._send(now_ms, address, message, reserve_bytes)
        return actions

    def _try_open_gate(self, now_ms: int) -> None:
        if not self._gate.is_open:
            self._gate.on_tick(
                now_ms, self.replica.revision, self._confirmation.confirmed_ms,
                self.platform_up,
                [p.name for p in self._peers.zone_peers_or_all()])

    def _update_peers(self, now_ms: int) -> None:
        self._peers.on_registered(self.replica.balancers())
        names = [
            peer.name
            for peer in self._peers.registered.values()
            if peer.zone == self._cfg.zone
        ]
        self._election.on_registered_names(names)
        self._silence.on_registered_names(now_ms, names)

    def _query_peers(self, now_ms: int) -> Actions:
        """Queries peers for their revision.

        A node with an empty replica pulls from one peer and sends digests to
        the others; otherwise it pulls from all. A peer replies with a digest to
        a pull and to a digest with a lower revision.
        """
        actions: Actions = ()
        for address in self._peers.choose(STARTUP_FANOUT, prefer_zone=True):
            has_pulled = self.replica.revision == 0 and actions
            message = self._digest(now_ms) if has_pulled else self._pull()
            actions += self._send(now_ms, address, message)
        return actions

    def _digest(self, now_ms: int) -> control.Digest:
        cfg = self._cfg
        return control.Digest(cfg.name, cfg.zone, cfg.address[0],
                              cfg.address[1], self.replica.revision,
                              self.confirmed_age_ms(now_ms), self.platform_up,
                              self.replica.contracts.change)

    def _pull(self) -> control.Pull:
        return control.Pull(self.replica.revision)

    def _delta_since(
            self,
            now_ms: int,
            revision: int,
            limit_bytes: int = replica_lib.MAX_DELTA_BYTES) -> control.Delta:
        """Returns a delta, with a confirmation age only if it is complete."""
        delta = self.replica.delta_since(revision, limit_bytes=limit_bytes)
        if delta.revision < self.replica.revision:
            return delta
        return delta._replace(confirmed_age_ms=self.confirmed_age_ms(now_ms))

    def _delta_or_digest(self, now_ms: int, revision: int) -> control.Message:
        """Returns the delta for a peer at `revision`, or a digest if large."""
        delta = self._delta_since(now_ms, revision)
        complete = delta.revision == self.replica.revision
        if complete and _encoded_bytes(delta) <= MAX_PUSHED_DELTA_BYTES:
            return delta
        return self._digest(now_ms)

    def _reply_changes(self, now_ms: int, change: int) -> Actions:
        delta = self.replica.changes_after(change)
        return self._reply(now_ms, delta) if delta.entries else ()

    def _reply_update(self, now_ms: int, revision: int) -> Actions:
        message = self._delta_or_digest(now_ms, revision)
        actions = self._reply(now_ms, message)
        if isinstance(message, control.Delta):
            actions += self._reply(now_ms, self._digest(now_ms))
        return actions

    def _reply_pull(self, now_ms: int) -> Actions:
        if now_ms < self._pull_deadline_ms:
            return ()
        self._pull_deadline_ms = now_ms + PULL_TIMEOUT_MS
        return self._reply(now_ms, self._pull())

    def _reply(self,
               now_ms: int,
               message: control.Message,
               reserve_bytes: int = 0) -> Actions:
        if not self._take_tokens(now_ms, message, reserve_bytes):
            return ()
        return (actions_lib.Reply(message),)

    def _send(self,
              now_ms: int,
              address: ids.Address,
              message: control.Message,
              reserve_bytes: int = 0) -> Actions:
        if not self._take_tokens(now_ms, message, reserve_bytes):
            return ()
        return (actions_lib.Send(address, message),)

    def _take_tokens(self, now_ms: int, message: control.Message,
                     reserve_bytes: int) -> bool:
        size = _encoded_bytes(message) + TCP_HEADER_BYTES
        return self._bucket.take(now_ms, size, reserve_bytes)


def _encoded_bytes(message: control.Message) -> int:
    return len(codec.encode(message))
