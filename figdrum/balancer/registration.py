"""Keeps the balancer's entry in the registry of its zone.

Explanation
===========

A balancer registers when it starts, and again when it finds that other
balancers removed its entry while they did not hear it. When it stops, it
removes the entry without waiting for a platform that is down: in that case the
zone's readers prune the entry. A balancer that is a reader of the zone also
prunes silent balancers.
"""

from twisted.internet import defer

from figdrum.core import errors
from figdrum.membership import registry_writer
from figdrum.sync import gossip
from figdrum.sync import registry as registry_lib
from figdrum.telemetry import logs

# Minimum time between registrations. Otherwise two balancers with the same name
# would replace each other's entry without pause.
REGISTER_INTERVAL_MS = 10_000

_log = logs.part('balancer')


class Registration:
    """Writes the registry entry of one balancer."""

    def __init__(self, own_entry: registry_lib.Balancer,
                 gossip_controller: gossip.GossipController,
                 writer: registry_writer.RegistryWriter):
        self._own_entry = own_entry
        self._gossip = gossip_controller
        self._writer = writer
        self._next_attempt_ms = 0
        self._written_version = 0
        self._is_registering = False
        self._is_pruning = False
        self._stopped = False

    def on_tick(self, now_ms: int) -> None:
        """Registers and prunes if needed; call it once a second."""
        if self._stopped:
            return
        if (self._is_missing() and not self._is_registering and
                now_ms >= self._next_attempt_ms):
            self._next_attempt_ms = now_ms + REGISTER_INTERVAL_MS
            self._is_registering = True
            self._writer.register(self._own_entry).addCallbacks(
                self._on_registered, self._on_failure)
        self._prune(self._gossip.silent_peers(now_ms))

    def _is_missing(self) -> bool:
        known = self._gossip.replica.registry(self._own_entry.zone)
        # A copy older than the own write does not have the entry yet.
        return (known.version >= self._written_version and
                self._own_entry not in known.balancers)

    def _prune(self, silent: tuple[str, ...]) -> None:
        if not silent or self._is_pruning:
            return
        self._is_pruning = True
        _log.warning('pruning silent balancers %s', ', '.join(silent))
        self._writer.prune(frozenset(silent)).addErrback(
            self._on_failure).addBoth(self._on_pruned)

    def stop(self) -> defer.Deferred:
        """Removes the entry; the Deferred never fails."""
        self._stopped = True
        return self._writer.deregister(self._own_entry).addErrback(
            self._on_failure)

    def _on_registered(self, written) -> None:
        self._is_registering = False
        if written is not None:
            self._written_version = written.version
            _log.info('registered %s in %s', self._own_entry.name,
                      self._own_entry.zone)

    def _on_pruned(self, _) -> None:
        self._is_pruning = False

    def _on_failure(self, failure) -> None:
        failure.trap(errors.FigdrumError)
        self._is_registering = False
        _log.warning('writing the registry of %s failed: %s',
                     self._own_entry.zone, failure.value)
