"""Conditional updates of one object of the platform.

Explanation
===========

An update reads the object, edits its value and writes it on condition of the
version that was read. After a conflict it starts again from the new value.
After a write without a response it reads the object again: the edit either
finds its own change in place or makes it once more, and a copy of the first
write that arrives later then conflicts with the second. Edits therefore have to
be idempotent: they return None if the value already has their change.

Examples
========

See `figdrum/membership/tests/test_updates.py`.
"""

import collections.abc
import random
import typing

from twisted.internet import defer

from figdrum.core import errors
from figdrum.core import ports
from figdrum.object_api import store
from figdrum.telemetry import logs

Edit = collections.abc.Callable[[str | None, int], str | None]
"""Maps a value (None if absent) and its version to the value to write, or to
None if there is nothing to write."""

# In each round of conflicts one writer succeeds, so this one is reached if at
# most as many others write at the same time.
_MAX_ATTEMPTS = 32
_MAX_LOST_RESPONSES = 3
_INITIAL_BACKOFF_MS = 200
_MAX_BACKOFF_MS = 5000

_log = logs.part('membership')


class ObjectState(typing.NamedTuple):
    """The object after an update.

    Attributes:
        value: Its value, None if it does not exist.
        version: Its version, 0 if it does not exist.
    """
    value: str | None
    version: int


class ObjectUpdater:
    """Runs conditional updates of one object, one at a time."""

    def __init__(self, db: store.Store, timers: ports.Timers, key: str,
                 rng: random.Random):
        self._db = db
        self._timers = timers
        self._key = key
        self._rng = rng
        self._lock = defer.DeferredLock()
        self._stopped = False

    def update(self, edit: Edit) -> defer.Deferred:
        """Applies `edit` once; returns a Deferred of `ObjectState`.

        The Deferred fails with `errors.StoreError` if the platform does not
        answer or no attempt succeeds, with `errors.MessageError` if the
        value cannot be parsed, and with `errors.ValueTooLargeError` if the new
        value is too large.
        """
        return self._lock.run(self._update, edit)

    def retry_until_done(
        self,
        operation: collections.abc.Callable[[],
                                            defer.Deferred]) -> defer.Deferred:
        """Retries `operation` after each `errors.FigdrumError`, with random
        delays that grow to 5 s, until it succeeds or `stop` is called.

        A value that cannot be parsed or is too large is retried as well, since
        operators may repair it.

        Returns:
            A Deferred of the result, or of None after `stop`.
        """
        return self._retry_until_done(operation)

    def stop(self) -> None:
        """Ends the retries of `retry_until_done`."""
        self._stopped = True

    @defer.inlineCallbacks
    def _update(self, edit: Edit):
        lost_responses = 0
        for _ in range(_MAX_ATTEMPTS):
            item = yield self._db.get(self._key)
            before = (ObjectState(None, 0) if item is None else ObjectState(
                item.value, item.version))
            value = edit(*before)
            if value is None:
                return before
            try:
                item = yield self._db.put(self._key, value, before.version)
            except errors.ConflictError:
                continue
            except errors.StoreError as exc:
                lost_responses += 1
                if lost_responses == _MAX_LOST_RESPONSES:
                    raise
                _log.info('write of %s got no response, reading it again: %s',
                          self._key, exc)
                continue
            return ObjectState(item.value, item.version)
        raise errors.StoreError(
            'update', self._key,
            f'no write succeeded in {_MAX_ATTEMPTS} attempts')

    @defer.inlineCallbacks
    def _retry_until_done(self, operation):
        backoff_ms = _INITIAL_BACKOFF_MS
        while not self._stopped:
            try:
                result = yield operation()
                return result
            except errors.FigdrumError as exc:
                _log.warning('%s', exc)
            yield self._sleep(self._rng.randint(backoff_ms // 2, backoff_ms))
            backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
        return None

    def _sleep(self, backoff_ms: int) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()
        self._timers.call_later(backoff_ms, lambda: done.callback(None))
        return done
