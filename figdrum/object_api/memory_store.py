"""An in-memory store with fault injection, for tests and benchmarks.

Explanation
===========

Several clients can share one `MemoryStore`. To disconnect clients one by one,
give each its own `DisconnectableStore` on top of it. Faults are injected by
setting `down`, `delay_ms`, `effect_delay_ms` and `lose_next_responses`. Without
delays, the Deferreds of all calls but waiting watches have already fired when
they are returned.

Examples
========

>>> store = MemoryStore(NoTimers())
>>> store.put('lists/a', '{}', 0).result.version
1
>>> store.get('lists/a').result.revision
1
"""

import typing

from twisted.internet import defer

from figdrum.core import errors
from figdrum.core import ports
from figdrum.object_api import store

PEER = 'memory store'


class NoTimers(ports.Timers):
    """Timers of a store that uses neither delays nor waiting watches."""

    def call_later(self, delay_ms, fn):
        raise NotImplementedError('a store with delays or watches needs timers')


class _Watch(typing.NamedTuple):
    prefix: str
    since_revision: int
    response: defer.Deferred
    timer: typing.Any


class MemoryStore(store.Store):
    """The platform's object API in memory.

    Attributes:
      down: While True, calls fail without effect; setting it also ends waiting
        watches with an error.
      delay_ms: Time in ms between the effect of a call and its response.
      effect_delay_ms: Time in ms between a call and its effect.
      lose_next_responses: Number of writes, beginning with the next one, that
        take effect but fail with `errors.StoreError`.
      calls: Number of calls by kind: 'get', 'list', 'put' and 'watch'.
    """

    def __init__(self, timers: ports.Timers | None = None):
        self._timers = timers or NoTimers()
        self._items: dict[str, store.Item] = {}
        self._revision = 0
        self._watches: list[_Watch] = []
        self._down = False
        self.delay_ms = 0
        self.effect_delay_ms = 0
        self.lose_next_responses = 0
        self.calls: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """Store revision of the last write, or 0."""
        return self._revision

    @property
    def down(self) -> bool:
        """Whether calls fail because the store is out of service."""
        return self._down

    @down.setter
    def down(self, value: bool) -> None:
        self._down = value
        if value:
            for watch in list(self._watches):
                self._end_watch(watch, errors.StoreError('watch', PEER, 'down'))

    def get(self, key):
        return self._call('get', lambda: self._items.get(key))

    def list(self, prefix):

        def read():
            items = [
                item for key, item in sorted(self._items.items())
                if key.startswith(prefix)
            ]
            return tuple(items), self._revision

        return self._call('list', read)

    def put(self, key, value, if_version):
        return self._call('put', lambda: self._write(key, value, if_version))

    def watch(self, prefix, since_revision, timeout_ms):
        return self._call(
            'watch',
            lambda: self._start_watch(prefix, since_revision, timeout_ms))

    def _call(self, kind: str, effect) -> defer.Deferred:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        response: defer.Deferred = defer.Deferred()
        self._call_after(self.effect_delay_ms,
                         lambda: self._perform(kind, effect, response))
        return response

    def _perform(self, kind: str, effect, response: defer.Deferred) -> None:
        if self._down:
            exc = errors.StoreError(kind, PEER, 'down')
            self._call_after(self.delay_ms, lambda: _fire(response, exc))
            return
        try:
            result = effect()
        except errors.FigdrumError as exc:
            result = exc
        if kind == 'put' and self.lose_next_responses > 0:
            self.lose_next_responses -= 1
            result = errors.StoreError(kind, PEER, 'response lost')
        if isinstance(result, defer.Deferred):
            result.addBoth(lambda value: self._call_after(
                self.delay_ms, lambda: _fire(response, value)))
        else:
            self._call_after(self.delay_ms, lambda: _fire(response, result))

    def _call_after(self, delay_ms: int, fn) -> None:
        if delay_ms > 0:
            self._timers.call_later(delay_ms, fn)
        else:
            fn()

    def _write(self, key: str, value: str, if_version: int) -> store.Item:
        if len(value.encode()) > store.MAX_VALUE_BYTES:
            raise errors.ValueTooLargeError('put', PEER, f'{key} is too large')
        existing = self._items.get(key)
        version = existing.version if existing else 0
        if version != if_version:
            raise errors.ConflictError(
                'put', PEER, f'{key} has version {version}, not {if_version}')
        self._revision += 1
        item = store.Item(key, value, version + 1, self._revision)
        self._items[key] = item
        for watch in [w for w in self._watches if key.startswith(w.prefix)]:
            self._end_watch(
                watch, self._changes_since(watch.prefix, watch.since_revision))
        return item

    def _changes_since(self, prefix: str, since_revision: int):
        items = [
            item for key, item in self._items.items()
            if key.startswith(prefix) and item.revision > since_revision
        ]
        return (tuple(sorted(items,
                             key=lambda item: item.revision)), self._revision)

    def _start_watch(self, prefix: str, since_revision: int, timeout_ms: int):
        items, revision = self._changes_since(prefix, since_revision)
        if items or timeout_ms <= 0:
            return items, revision
        waiting: defer.Deferred = defer.Deferred()
        watch = None

        def expire():
            self._end_watch(watch, ((), self._revision))

        watch = _Watch(prefix, since_revision, waiting,
                       self._timers.call_later(timeout_ms, expire))
        self._watches.append(watch)
        return waiting

    def _end_watch(self, watch: _Watch, result) -> None:
        if watch not in self._watches:
            return
        self._watches.remove(watch)
        watch.timer.cancel()
        _fire(watch.response, result)


class DisconnectableStore(store.Store):
    """A client's view of a shared store that can lose its connection.

    Attributes:
      is_disconnected: While True, calls fail without effect, and responses to
        earlier calls are lost.
    """

    def __init__(self, shared: store.Store):
        self._shared = shared
        self.is_disconnected = False

    def get(self, key):
        return self._forward('get', lambda: self._shared.get(key))

    def list(self, prefix):
        return self._forward('list', lambda: self._shared.list(prefix))

    def put(self, key, value, if_version):
        return self._forward('put',
                             lambda: self._shared.put(key, value, if_version))

    def watch(self, prefix, since_revision, timeout_ms):
        return self._forward(
            'watch',
            lambda: self._shared.watch(prefix, since_revision, timeout_ms))

    def _forward(self, kind: str, call) -> defer.Deferred:
        if self.is_disconnected:
            return defer.fail(errors.StoreError(kind, PEER, 'disconnected'))
        return call().addBoth(
            lambda result: self._return_if_connected(kind, result))

    def _return_if_connected(self, kind: str, result):
        if self.is_disconnected:
            raise errors.StoreError(kind, PEER, 'disconnected')
        return result


def _fire(response: defer.Deferred, result) -> None:
    if response.called:
        return
    if isinstance(result, Exception):
        response.errback(result)
    else:
        response.callback(result)
