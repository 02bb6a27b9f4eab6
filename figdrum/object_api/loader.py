"""Reads from the platform what replicas hold.

Explanation
===========

The answers of the platform are turned into a `control.Delta`, which a replica
applies like a peer's. A first read takes the snapshot, the changes after it,
and all lists and registries; it is complete up to the lowest revision among
these answers. Later reads are one watch on all objects.
"""

import logging

from twisted.internet import defer

from figdrum.contracts import change as change_lib
from figdrum.contracts import state as state_lib
from figdrum.core import errors
from figdrum.messages import control
from figdrum.object_api import store as store_lib

_NOT_CONFIRMED = -1

_log = logging.getLogger(__name__)


@defer.inlineCallbacks
def load(store: store_lib.Store, prefixes: tuple[str, ...]):
    """Reads the contract log from its snapshot on, and all of `prefixes`.

    Returns:
      A Deferred of a `control.Delta` since 0. It fails with
      `errors.StoreError`.
    """
    snapshot = yield store.get(state_lib.SNAPSHOT_KEY)
    since = 0
    found = []
    if snapshot is not None:
        try:
            since = state_lib.Snapshot.from_json(snapshot.value).revision
            found.append(snapshot)
        except errors.ContractError as exc:
            _log.error('platform: reading the whole log; %s', exc)
    changes, lowest = yield store.watch(change_lib.PREFIX, since, 0)
    found.extend(changes)
    for prefix in prefixes:
        items, _ = yield store.list(prefix)
        found.extend(items)
    return _delta(0, lowest, found)


@defer.inlineCallbacks
def watch(store: store_lib.Store, since_revision: int, timeout_ms: int):
    """Waits for any change after `since_revision`.

    Returns:
      A Deferred of a `control.Delta`. It fails with `errors.StoreError`.
    """
    items, revision = yield store.watch('', since_revision, timeout_ms)
    return _delta(since_revision, revision, items)


def _delta(since: int, revision: int, items) -> control.Delta:
    entries = tuple(
        control.Entry(*item)
        for item in sorted(items, key=lambda item: item.revision))
    return control.Delta(since, revision, entries, _NOT_CONFIRMED)
