"""The published balancers of a zone.

Explanation
===========

The platform holds one object `balancers/<zone>` per zone. A balancer adds
itself when it starts and removes itself when it stops. Readers of the zone
remove entries of balancers that nobody heard for 10 minutes.

Examples
========

>>> entry = RegistryEntry('lb-1', 'muscat-a', ('10.0.0.1', 7200),
...                       ('10.0.0.1', 7100))
>>> entries_from_json('balancers/muscat-a',
...                   entries_to_json((entry,))) == (entry,)
True
"""

import json
import random
import typing

from twisted.internet import defer

from figdrum.core import errors
from figdrum.core import ids
from figdrum.core import ports
from figdrum.membership import updates
from figdrum.platform import store

PRUNE_AFTER_MS = 600_000


class RegistryEntry(typing.NamedTuple):
    """A balancer as it announces itself.

    Attributes:
        name: Name, unique in the region.
        zone: Availability zone.
        control: TCP address for gossip and subscriptions.
        frame: UDP address for datagrams with agents.
    """
    name: ids.BalancerName
    zone: ids.ZoneName
    control: ids.Address
    frame: ids.Address


def key_of(zone: str) -> str:
    """Returns the key of a zone's object."""
    return f'balancers/{zone}'


def entries_from_json(key: str, text: str) -> tuple[RegistryEntry, ...]:
    """Reads the value of `balancers/<zone>`.

    Raises:
        errors.MessageError: if the text is not a list of balancers.
    """
    try:
        return tuple(
            RegistryEntry(row['name'], row['zone'], (
                row['control_host'], row['control_port']), (row['frame_host'],
                                                            row['frame_port']))
            for row in json.loads(text)['balancers'])
    except (KeyError, TypeError, ValueError) as exc:
        raise errors.MessageError('read registry', key, repr(exc)) from exc


def entries_to_json(entries: tuple[RegistryEntry, ...]) -> str:
    """Returns the value to store under `balancers/<zone>`."""
    rows = [{
        'name': entry.name,
        'zone': entry.zone,
        'control_host': entry.control[0],
        'control_port': entry.control[1],
        'frame_host': entry.frame[0],
        'frame_port': entry.frame[1],
    } for entry in sorted(entries)]
    return json.dumps({'balancers': rows}, sort_keys=True)


class Registry:
    """Writes one zone's balancers."""

    def __init__(self, db: store.Store, timers: ports.Timers, zone: str,
                 rng: random.Random):
        self._key = key_of(zone)
        self._updater = updates.Updater(db, timers, self._key, rng)

    def register(self, entry: RegistryEntry) -> defer.Deferred:
        """Adds or replaces `entry`; retried until it is done."""

        def change(entries):
            rest = [e for e in entries if e.name != entry.name]
            return tuple(sorted(rest + [entry]))

        return self._updater.until_done(lambda: self._update(change))

    def deregister(self, entry: RegistryEntry) -> defer.Deferred:
        """Removes `entry` if it is still there unchanged.

        The Deferred fails with `errors.StoreError` if the platform does not
        answer; readers prune the entry then. A registration that is still
        being retried ends.
        """
        self._updater.stop()
        return self._update(
            lambda entries: tuple(e for e in entries if e != entry))

    def prune(self, silent: frozenset[str]) -> defer.Deferred:
        """Removes the balancers called `silent`.

        Args:
            silent: Names not heard for `PRUNE_AFTER_MS`, as known to a reader
                that was awake for all of that time.
        """
        return self._update(
            lambda entries: tuple(e for e in entries if e.name not in silent))

    def _update(self, change) -> defer.Deferred:

        def edit(value: str | None, version: int) -> str | None:
            del version
            entries = (entries_from_json(self._key, value)
                       if value is not None else ())
            wanted = change(entries)
            if wanted == entries:
                return None
            return entries_to_json(wanted)

        return self._updater.update(edit)
