"""Keeps a balancer's replica in step with the platform and its peers.

Explanation
===========

The zone's readers watch the platform. Everyone else learns by gossip:

* A node that learns of a contract change sends it at once to three peers, one
  of them in another zone. Other news is collected for 250 ms. News that is
  large is announced by a digest instead, so that each node fetches it once.
* Contract changes overtake lists: a node that sees a digest with a lower change
  number answers with the missing changes, whatever the revisions are.
* Each second a node sends a digest to one peer. Whichever side is behind then
  fetches what it lacks.
* A node has one pull in flight, so that several announcements of one change do
  not fetch it several times. A pull without an answer is given up after 1 s.

The answer to a pull ends with a digest, so that a pull also finds out whether a
peer is alive and whether there is more to pull. All traffic passes the node's
token bucket; what the bucket refuses is dropped and made up for by a later
digest. News of lists and answers to pulls leave a part of the bucket for
contract changes and digests.

References
==========

Demers et al., "Epidemic algorithms for replicated database maintenance",
PODC 1987: rumour mongering backed by anti-entropy.
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
PUSH_PEERS = 3
NEWS_INTERVAL_MS = 250
WATCH_MS = 2_000
START_PEERS = 4
"""Peers that a fresh node asks each second until it may serve."""

INLINE_BYTES = 1_400
"""Largest delta that is sent unasked; it fits into one TCP segment."""

TCP_HEADER_BYTES = 52
"""IPv4 and TCP headers with timestamps, for a message's share of traffic."""

Actions = tuple[actions_lib.Action, ...]


class GossipConfig(typing.NamedTuple):
    """Settings of a `GossipController`.

    Attributes:
      name: Name of this balancer.
      zone: Its zone.
      address: Its control address.
      seeds: Control addresses of peers from the settings.
      digest_interval_ms: Time between two digests to random peers.
      watch_ms: Longest time that a watch of the platform waits.
    """
    name: ids.BalancerName
    zone: ids.ZoneName
    address: ids.Address
    seeds: tuple[ids.Address, ...] = ()
    digest_interval_ms: int = DIGEST_INTERVAL_MS
    watch_ms: int = WATCH_MS


class GossipController:
    """Decides what a balancer sends, reads and knows; does no I/O.

    The process calls `on_tick` about each 100 ms and the other methods as
    messages and answers arrive, and carries out the returned actions in order.

    Attributes:
      replica: The node's replica; nobody else applies deltas to it.
      regressions: Answers of the platform with a revision below the one asked
        for, which the replica has had from the platform or a peer.
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
        self._confirmation = freshness.Confirmation()
        self._gate = freshness.StartGate(now_ms)
        self._behind = freshness.MissingChangeTracker()
        self._election = readers.ReaderElection(cfg.name, cfg.zone, now_ms)
        self._peers = peers.PeerBook(
            registry_lib.Balancer(cfg.name, cfg.zone, cfg.address), cfg.seeds,
            rng)
        self._reads = platform_reads.PlatformReads(rng, now_ms)
        self._next_digest_ms = now_ms + rng.randrange(cfg.digest_interval_ms)
        self._next_ask_ms = now_ms
        self._pull_until_ms = now_ms
        self._news_since: int | None = None
        self._next_news_ms = now_ms
        self._silence = silence.SilenceWatch(now_ms)
        self._update_peers(now_ms)

    @property
    def can_serve(self) -> bool:
        """Whether the fresh-node rule has been met."""
        return self._gate.is_open

    @property
    def dropped(self) -> int:
        """Messages that the token bucket refused."""
        return self._bucket.refused

    @property
    def platform_up(self) -> bool:
        """False when this node's last call to the platform failed."""
        return self._reads.platform_up

    def is_behind(self, now_ms: int) -> bool:
        """Returns whether the node knows that it is behind."""
        return self._behind.is_behind(now_ms)

    def is_reader(self) -> bool:
        """Returns whether the node is one of its zone's readers."""
        return self._election.is_reader()

    def confirmed_age_ms(self, now_ms: int) -> int:
        """Returns the age of the platform's last confirmation, or -1."""
        return self._confirmation.age_ms(now_ms)

    def peers(self) -> tuple[registry_lib.Balancer, ...]:
        """Returns the other known balancers, sorted by name."""
        return self._peers.all()

    def silent_peers(self, now_ms: int) -> tuple[str, ...]:
        """Returns the balancers that this reader is to prune from the zone's
        registry; empty for other balancers."""
        if not self._election.is_reader():
            return ()
        return self._silence.silent(now_ms)

    def on_tick(self, now_ms: int) -> Actions:
        """Sends due digests and probes and starts due reads."""
        actions: Actions = ()
        if now_ms >= self._next_digest_ms:
            self._next_digest_ms = now_ms + self._cfg.digest_interval_ms
            self._peers.expire(now_ms)
            for address in self._peers.choose(1):
                actions += self._send(now_ms, address, self._digest(now_ms))
        if not self._gate.is_open and now_ms >= self._next_ask_ms:
            self._next_ask_ms = now_ms + self._cfg.digest_interval_ms
            actions += self._ask_peers(now_ms)
        for name in self._election.on_tick(now_ms):
            address = self._peers.registered[name].address
            actions += self._send(now_ms, address, self._digest(now_ms))
            actions += self._send(now_ms, address, self._pull())
        if self._news_since is not None and now_ms >= self._next_news_ms:
            actions += self._push(now_ms, token_bucket.KEEP_FOR_ANSWERS)
        self._silence.on_tick(now_ms)
        if self._election.is_reader() or not self._gate.is_open:
            wait_ms = self._cfg.watch_ms if self._gate.is_open else 0
            actions += self._reads.due(now_ms, self.replica.revision, wait_ms)
        self._open_gate(now_ms)
        return actions

    def on_digest(self, now_ms: int, digest: control.Digest) -> Actions:
        """Handles a peer's digest: pulls when behind, offers when ahead."""
        if digest.name == self._cfg.name:
            return ()
        self._election.on_heard(digest.name, digest.platform_up)
        self._silence.on_heard(now_ms, digest.name)
        self._peers.on_digest(now_ms, digest)
        self._confirmation.on_peer(now_ms, digest.confirmed_age_ms,
                                   digest.revision, self.replica.revision)
        self._behind.on_change_reported(now_ms, digest.change,
                                        self.replica.contracts.change)
        self._gate.on_digest(digest)
        self._open_gate(now_ms)
        own = self.replica.contracts.change
        actions: Actions = ()
        if digest.change > own:
            actions += self._reply(now_ms, self._digest(now_ms))
        elif digest.change < own:
            actions += self._reply_changes(now_ms, digest.change)
        if digest.revision > self.replica.revision:
            actions += self._reply_pull(now_ms)
        elif digest.revision < self.replica.revision:
            actions += self._reply_offer(now_ms, digest.revision)
        return actions

    def on_delta(self, now_ms: int, delta: control.Delta) -> Actions:
        """Handles a peer's delta, asked for or not."""
        own = self.replica.contracts.change
        newest = max((change_lib.change_number(e.key) for e in delta.entries),
                     default=0)
        self._behind.on_change_reported(now_ms, newest, own)
        if not self.replica.accepts(delta):
            actions = self._reply_pull(now_ms)
            if newest > own:
                actions += self._reply(now_ms, self._digest(now_ms))
            return actions
        if delta.revision > self.replica.revision:
            self._pull_until_ms = now_ms
        actions = self._apply(now_ms, delta)
        self._confirmation.on_peer(now_ms, delta.confirmed_age_ms,
                                   delta.revision, self.replica.revision)
        self._open_gate(now_ms)
        return actions

    def on_pull(self, now_ms: int, pull: control.Pull) -> Actions:
        """Answers a pull with a delta, if there is news, and a digest."""
        actions: Actions = ()
        if pull.revision < self.replica.revision:
            room = self._bucket.level(now_ms) - token_bucket.KEEP_FOR_DIGESTS
            limit = max(INLINE_BYTES, min(replica_lib.CHUNK_BYTES, room))
            actions += self._reply(
                now_ms, self._delta_since(now_ms, pull.revision, limit),
                token_bucket.KEEP_FOR_DIGESTS)
        return actions + self._reply(now_ms, self._digest(now_ms))

    def on_change_reported(self, now_ms: int, change: int) -> Actions:
        """Handles a `Stale` that names contract change `change`.

        The node asks a peer at once when it lacks that change.
        """
        own = self.replica.contracts.change
        self._behind.on_change_reported(now_ms, change, own)
        return self.pull_now(now_ms) if change > own else ()

    def pull_now(self, now_ms: int) -> Actions:
        """Asks a reader of the zone, or else any peer, for news."""
        if now_ms < self._pull_until_ms:
            return ()
        addresses = self._peers.reader() or self._peers.choose(1)
        if not addresses:
            return ()
        self._pull_until_ms = now_ms + PULL_TIMEOUT_MS
        return self._send(now_ms, addresses[0], self._pull())

    def on_store_result(self, now_ms: int,
                        result: actions_lib.StoreResult) -> Actions:
        """Handles the outcome of the `Load` or `Watch` in flight."""
        if result.delta is None:
            self._reads.on_failure(now_ms)
            self._open_gate(now_ms)
            return ()
        actions = self._apply(now_ms, result.delta)
        if result.delta.revision < result.delta.since:
            self.regressions += 1
            self._reads.on_failure(now_ms)
        else:
            self._reads.on_success(now_ms)
            self._confirmation.on_platform(result.asked_ms)
        self._open_gate(now_ms)
        return actions

    def _apply(self, now_ms: int, delta: control.Delta) -> Actions:
        """Applies an accepted delta and passes news on."""
        before = self.replica.revision
        before_change = self.replica.contracts.change
        changed = self.replica.apply(delta)
        own = self.replica.contracts.change
        self._behind.on_applied(own)
        for key in changed:
            self._behind.on_change_reported(now_ms,
                                            change_lib.change_number(key), own)
        self._confirmation.on_revision(self.replica.revision)
        if not changed:
            return ()
        if any(key.startswith(registry_lib.PREFIX) for key in changed):
            self._update_peers(now_ms)
        actions: Actions = (actions_lib.Changed(changed),)
        if self._news_since is None:
            self._news_since = before
        if own > before_change:
            actions += self._push_changes(now_ms, before_change)
        return actions

    def _push_changes(self, now_ms: int, before_change: int) -> Actions:
        """Sends new contract changes to random peers, with all other news if
        that is small."""
        message = self._offer(now_ms, self._news_since or 0)
        if isinstance(message, control.Delta):
            return self._push(now_ms)
        delta = self.replica.changes_after(before_change, INLINE_BYTES)
        if delta.entries and _size(delta) <= INLINE_BYTES:
            message = delta
        actions: Actions = ()
        for address in self._peers.for_push(PUSH_PEERS):
            actions += self._send(now_ms, address, message)
        return actions

    def _push(self, now_ms: int, keep: int = 0) -> Actions:
        """Offers the collected news to random peers."""
        message = self._offer(now_ms, self._news_since or 0)
        self._news_since = None
        self._next_news_ms = now_ms + NEWS_INTERVAL_MS
        actions: Actions = ()
        for address in self._peers.for_push(PUSH_PEERS):
            actions += self._send(now_ms, address, message, keep)
        return actions

    def _open_gate(self, now_ms: int) -> None:
        if not self._gate.is_open:
            self._gate.on_tick(now_ms, self.replica.revision,
                               self._confirmation.confirmed_ms,
                               self.platform_up,
                               [p.name for p in self._peers.neighbours()])

    def _update_peers(self, now_ms: int) -> None:
        self._peers.on_registered(self.replica.balancers())
        names = [
            peer.name
            for peer in self._peers.registered.values()
            if peer.zone == self._cfg.zone
        ]
        self._election.on_names(names)
        self._silence.on_names(now_ms, names)

    def _ask_peers(self, now_ms: int) -> Actions:
        """Asks peers for their revision; an empty replica pulls from one.

        A peer answers a pull, and a digest with a lower revision, by a digest.
        """
        actions: Actions = ()
        for address in self._peers.choose(START_PEERS, near=True):
            empty = self.replica.revision == 0 and actions
            message = self._digest(now_ms) if empty else self._pull()
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

    def _delta_since(self,
                     now_ms: int,
                     revision: int,
                     limit: int = replica_lib.CHUNK_BYTES) -> control.Delta:
        """Returns a delta; a part of what is missing confirms nothing."""
        delta = self.replica.delta_since(revision, limit_bytes=limit)
        if delta.revision < self.replica.revision:
            return delta
        return delta._replace(confirmed_age_ms=self.confirmed_age_ms(now_ms))

    def _offer(self, now_ms: int, revision: int) -> control.Message:
        """Returns a small delta for a peer at `revision`, or a digest."""
        delta = self._delta_since(now_ms, revision)
        complete = delta.revision == self.replica.revision
        if complete and _size(delta) <= INLINE_BYTES:
            return delta
        return self._digest(now_ms)

    def _reply_changes(self, now_ms: int, change: int) -> Actions:
        delta = self.replica.changes_after(change)
        return self._reply(now_ms, delta) if delta.entries else ()

    def _reply_offer(self, now_ms: int, revision: int) -> Actions:
        message = self._offer(now_ms, revision)
        actions = self._reply(now_ms, message)
        if isinstance(message, control.Delta):
            actions += self._reply(now_ms, self._digest(now_ms))
        return actions

    def _reply_pull(self, now_ms: int) -> Actions:
        if now_ms < self._pull_until_ms:
            return ()
        self._pull_until_ms = now_ms + PULL_TIMEOUT_MS
        return self._reply(now_ms, self._pull())

    def _reply(self,
               now_ms: int,
               message: control.Message,
               keep: int = 0) -> Actions:
        if not self._pay(now_ms, message, keep):
            return ()
        return (actions_lib.Reply(message),)

    def _send(self,
              now_ms: int,
              address: ids.Address,
              message: control.Message,
              keep: int = 0) -> Actions:
        if not self._pay(now_ms, message, keep):
            return ()
        return (actions_lib.Send(address, message),)

    def _pay(self, now_ms: int, message: control.Message, keep: int) -> bool:
        size = _size(message) + TCP_HEADER_BYTES
        return self._bucket.take(now_ms, size, keep)


def _size(message: control.Message) -> int:
    return len(codec.encode(message))
