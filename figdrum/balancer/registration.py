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
REPEAT_MS = 10_000

_log = logs.part('balancer')


class Registration:
    """Writes the registry entry of one balancer."""

    def __init__(self, own: registry_lib.Balancer,
                 controller: gossip.GossipController,
                 writer: registry_writer.RegistryWriter):
        self._own = own
        self._gossip = controller
        self._writer = writer
        self._next_ms = 0
        self._version = 0
        self._running = False
        self._pruning = False
        self._stopped = False

    def on_tick(self, now_ms: int) -> None:
        """Registers and prunes if needed; call it once a second."""
        if self._stopped:
            return
        if self._is_missing() and not self._running and now_ms >= self._next_ms:
            self._next_ms = now_ms + REPEAT_MS
            self._running = True
            self._writer.register(self._own).addCallbacks(
                self._registered, self._failed)
        self._prune(self._gossip.silent_peers(now_ms))

    def _is_missing(self) -> bool:
        known = self._gossip.replica.registry(self._own.zone)
        # A copy older than the own write does not have the entry yet.
        return (known.version >= self._version and
                self._own not in known.balancers)

    def _prune(self, silent: tuple[str, ...]) -> None:
        if not silent or self._pruning:
            return
        self._pruning = True
        _log.warning('pruning silent balancers %s', ', '.join(silent))
        self._writer.prune(frozenset(silent)).addErrback(self._failed).addBoth(
            self._pruned)

    def stop(self) -> defer.Deferred:
        """Removes the entry; the Deferred never fails."""
        self._stopped = True
        return self._writer.deregister(self._own).addErrback(self._failed)

    def _registered(self, written) -> None:
        self._running = False
        if written is not None:
            self._version = written.version
            _log.info('registered %s in %s', self._own.name, self._own.zone)

    def _pruned(self, _) -> None:
        self._pruning = False

    def _failed(self, failure) -> None:
        failure.trap(errors.FigdrumError)
        self._running = False
        _log.warning('writing the registry of %s failed: %s', self._own.zone,
                     failure.value)
