"""Stand-in of the platform's object API over HTTP with JSON.

Explanation
===========

An object is `{"key", "value", "version", "revision"}` with a string as value.

* `GET /objects/<key>`: the object, or 404.
* `GET /objects?prefix=`: `{"items": [object, ...], "revision": n}`.
* `PUT /objects/<key>?if_version=n` with body `{"value": text}`: the new
  object; 409 when the version differs, 413 when the value is too large.
* `GET /watch?prefix=&since=&timeout_ms=`: `{"items", "revision"}` as soon as
  an object under the prefix has a greater revision, or without items after
  the time-out.
* `POST /control`: fields of `PlatformFaults` to change.
* `GET /control/counts`: calls by kind and by client.

An error is `{"error": text}`; 429 when a rate limit is exceeded, 503 in an
outage. The control endpoint is not counted and has no faults.
"""

import argparse
import collections.abc
import urllib.parse

from twisted.internet import reactor
from twisted.web import server

from figdrum.core import clock
from figdrum.core import errors
from figdrum.object_api import store
from standins import call_meter
from standins import http_service
from standins import object_table
from standins import platform_faults

_MAX_WATCH_MS = 600_000


class PlatformServer(http_service.JsonResource):
    """HTTP resources of the object API, with injected faults."""

    def __init__(self, meter: call_meter.CallMeter, system_clock: clock.Clock):
        super().__init__()
        self._table = object_table.ObjectTable()
        self._meter = meter
        self._clock = system_clock
        self._faults = platform_faults.PlatformFaults()
        self._watches: dict[server.Request, collections.abc.Callable] = {}

    def handle(self, req: server.Request) -> None:
        path = urllib.parse.unquote(req.path.decode())
        if path.startswith('/control'):
            self._control(req, path)
            return
        kind = self._kind(req, path)
        client = req.getHeader('X-Client') or ''
        admitted = self._meter.admit(self._clock.now_ms(), kind, client)
        if self._apply_outage(req, client):
            return
        if not admitted:
            http_service.reply(req, 429, {'error': 'rate exceeded'})
            return
        self._dispatch(req, path, kind)

    def _kind(self, req: server.Request, path: str) -> call_meter.CallKind:
        if path == '/watch':
            return call_meter.CallKind.WATCH
        if req.method == b'PUT':
            return call_meter.CallKind.WRITE
        return call_meter.CallKind.READ

    def _apply_outage(self, req: server.Request, client: str) -> bool:
        if client in self._faults.cut_clients or self._faults.down == 'close':
            http_service.abort_connection(req)
        elif self._faults.down == 'error':
            http_service.reply(req, 503, {'error': 'platform is down'})
        elif self._faults.down != 'hang':
            return False
        return True

    def _dispatch(self, req: server.Request, path: str,
                  kind: call_meter.CallKind) -> None:
        key = path.removeprefix('/objects/')
        if kind is call_meter.CallKind.WATCH:
            self._watch(req)
        elif kind is call_meter.CallKind.WRITE and key != path:
            self._put(req, key)
        elif path in ('/objects', '/objects/'):
            prefix = http_service.query_argument(req, 'prefix', '')
            self._answer(req, 200,
                         self._listing(self._table.with_prefix(prefix)))
        elif key != path:
            item = self._table.get(key)
            if item is None:
                self._answer(req, 404, {'error': f'{key} does not exist'})
            else:
                self._answer(req, 200, item._asdict())
        else:
            self._answer(req, 404, {'error': f'no resource {path}'})

    def _put(self, req: server.Request, key: str) -> None:
        value = http_service.read_json(req)['value']
        if not isinstance(value, str):
            raise ValueError('value is not a string')
        if_version = int(http_service.query_argument(req, 'if_version', '0'))
        try:
            item = self._table.put(key, value, if_version)
        except errors.ConflictError as exc:
            self._answer(req, 409, {'error': exc.reason})
            return
        except errors.ValueTooLargeError as exc:
            self._answer(req, 413, {'error': exc.reason})
            return
        if self._faults.drop_answers > 0:
            self._faults = self._faults._replace(
                drop_answers=self._faults.drop_answers - 1)
            http_service.abort_connection(req)
        else:
            self._answer(req, 200, item._asdict())
        self._check_watches()

    def _watch(self, req: server.Request) -> None:
        prefix = http_service.query_argument(req, 'prefix', '')
        since = int(http_service.query_argument(req, 'since', '0'))
        timeout_ms = min(
            int(http_service.query_argument(req, 'timeout_ms', '0')),
            _MAX_WATCH_MS)

        def check(timed_out: bool = False) -> None:
            items = self._table.changed(prefix, since)
            if items or timed_out:
                del self._watches[req]
                if timer.active():
                    timer.cancel()
                self._answer(req, 200, self._listing(items))

        def remove_watch(_) -> None:
            self._watches.pop(req, None)
            if timer.active():
                timer.cancel()

        timer = reactor.callLater(timeout_ms / clock.MS_PER_S, check, True)
        self._watches[req] = check
        req.notifyFinish().addErrback(remove_watch)
        check()

    def _check_watches(self) -> None:
        for check in list(self._watches.values()):
            check()

    def _listing(self, items: list[store.Item]) -> dict:
        return {
            'items': [item._asdict() for item in items],
            'revision': self._table.revision,
        }

    def _answer(self, req: server.Request, status: int, body: dict) -> None:
        if self._faults.slow_ms:
            reactor.callLater(self._faults.slow_ms / clock.MS_PER_S,
                              http_service.reply, req, status, body)
        else:
            http_service.reply(req, status, body)

    def _control(self, req: server.Request, path: str) -> None:
        if path == '/control/counts':
            http_service.reply(req, 200, self._counts())
        elif path == '/control' and req.method == b'POST':
            self._faults = self._faults.changed(http_service.read_json(req))
            if self._faults.down or self._faults.cut_clients:
                self._abort_watches()
            http_service.reply(req, 200, self._faults._asdict())
        elif path == '/control':
            http_service.reply(req, 200, self._faults._asdict())
        else:
            http_service.reply(req, 404, {'error': f'no resource {path}'})

    def _abort_watches(self) -> None:
        for req in list(self._watches):
            client = req.getHeader('X-Client') or ''
            cut = client in self._faults.cut_clients
            if cut or self._faults.down in ('close', 'error'):
                http_service.abort_connection(req)

    def _counts(self) -> dict:
        by_kind: dict[str, int] = {k.value: 0 for k in call_meter.CallKind}
        by_client: dict[str, dict[str, int]] = {}
        for (client, kind), number in self._meter.counts.items():
            by_kind[kind.value] += number
            by_client.setdefault(client, {})[kind.value] = number
        return {
            **by_kind, 'refused': self._meter.refused,
            'clients': by_client,
            'waiting': len(self._watches),
            'revision': self._table.revision
        }


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description='Platform stand-in')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--writes-per-s',
                        type=int,
                        default=call_meter.WRITES_PER_S)
    parser.add_argument('--reads-per-s',
                        type=int,
                        default=call_meter.READS_PER_S)
    args = parser.parse_args()
    meter = call_meter.CallMeter(args.writes_per_s, args.reads_per_s)
    platform = PlatformServer(meter, clock.SystemClock())
    http_service.run(http=http_service.listen(platform, args.port))


if __name__ == '__main__':
    main()
