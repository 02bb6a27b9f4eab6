"""Writes the registry of a zone's balancers (values: `sync.registry`).

Explanation
===========

The platform holds one object `balancers/<zone>` per zone. A balancer adds
itself when it starts and removes itself when it stops. Processes that read the
registry remove balancers that were not heard for 10 minutes.

Examples
========

See `figdrum/membership/tests/test_registry_writer.py`.
"""

import collections.abc
import random

from twisted.internet import defer

from figdrum.core import ids
from figdrum.core import ports
from figdrum.membership import updates
from figdrum.object_api import store
from figdrum.sync import registry as registry_lib

Change = collections.abc.Callable[[registry_lib.Registry],
                                  registry_lib.Registry]


class RegistryWriter:
    """Writes one zone's registry."""

    def __init__(self, db: store.Store, timers: ports.Timers,
                 zone: ids.ZoneName, rng: random.Random):
        self._zone = zone
        self._updater = updates.ObjectUpdater(db, timers,
                                              registry_lib.key(zone), rng)

    def register(self, own: registry_lib.Balancer) -> defer.Deferred:
        """Adds or replaces the entry `own`; retried until it succeeds."""
        return self._updater.retry_until_done(
            lambda: self._update(lambda found: found.with_balancer(own)))

    def deregister(self, own: registry_lib.Balancer) -> defer.Deferred:
        """Removes the entry `own` unless it has changed since.

        The Deferred fails with `errors.StoreError` if the platform does not
        answer; readers then prune the entry later. A registration that is still
        being retried ends.
        """
        self._updater.stop()

        def change(found):
            return found.without(own.name) if own in found.balancers else found

        return self._update(change)

    def prune(self, silent: frozenset[str]) -> defer.Deferred:
        """Removes the balancers named in `silent`; fails like `deregister`."""

        def change(found):
            return found._replace(balancers=tuple(
                b for b in found.balancers if b.name not in silent))

        return self._update(change)

    def _update(self, change: Change) -> defer.Deferred:

        def edit(value: str | None, version: int) -> str | None:
            before = registry_lib.Registry.empty(self._zone)
            if value is not None:
                before = registry_lib.Registry.from_json(
                    self._zone, version, value)
            after = change(before)
            return None if after == before else after.to_json()

        return self._updater.update(edit)
