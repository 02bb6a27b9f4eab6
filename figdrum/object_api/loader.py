"""Reads the state that replicas hold from the platform.

Explanation
===========

The results are returned as a `control.Delta`, which a replica applies like one
from a peer. The first read consists of several calls: the contract snapshot,
the changes after it, and all service lists and balancer registries. Objects may
be written between these calls, so the result is complete only up to the
revision at which the changes were read, the first of the calls that report one.
Later reads are a single watch on all objects.
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
    """Reads the contract snapshot, the changes after it, and other objects.

    A snapshot that cannot be decoded is logged and ignored; all changes are
    read instead.

    Args:
      store: Store to read from.
      prefixes: Prefixes of the other objects to read.

    Returns:
      A Deferred of a `control.Delta` since revision 0. It fails with
      `errors.StoreError`.
    """
    snapshot = yield store.get(state_lib.SNAPSHOT_KEY)
    since = 0
    loaded = []
    if snapshot is not None:
        try:
            since = state_lib.Snapshot.from_json(snapshot.value).revision
            loaded.append(snapshot)
        except errors.ContractError as exc:
            _log.error(
                'platform: ignoring the snapshot, reading all changes: %s', exc)
    changes, complete_revision = yield store.watch(change_lib.PREFIX, since, 0)
    loaded.extend(changes)
    for prefix in prefixes:
        items, _ = yield store.list(prefix)
        loaded.extend(items)
    return _delta(0, complete_revision, loaded)


@defer.inlineCallbacks
def watch(store: store_lib.Store, since_revision: int, timeout_ms: int):
    """Waits for objects that are written after `since_revision`.

    Args:
      store: Store to read from.
      since_revision: Revision up to which the caller knows all objects.
      timeout_ms: Time in ms after which the watch ends without a change.

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
