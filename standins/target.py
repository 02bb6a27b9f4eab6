"""Stand-in of a target that serves HTTP.

Explanation
===========

* `GET /health`: `{"state": "cold" | "ready" | "draining", "incarnation"}`.
* `GET /load`: `{"utilisation", "running", "queued", "slots", "connections"}`.
* `GET /ledger`: a list of `LedgerEntry`.
* `GET /control`, `POST /control`: fields of `TargetState`; `{"cold": true}`
  resets its warmth to that of a start.
* `GET /report/<name>?size=`: a body computed by `standins.report`.
* Any other GET or POST: `{"target", "service", "method", "path", "key",
  "version"}`; the version increases every `roster_ms` of wall-clock time, so
  that all targets of a service return the same one.

A request carries `X-Service`, `X-Customer`, `Idempotency-Key` and
`X-Deadline-Ms`. Answers are 421 when `X-Service` is not the target's, 503 with
`X-Did-Not-Run: 1` when the request did not start, and 504 when it was aborted
at its deadline. A closed connection aborts a request.
"""

import argparse
import collections
import random
import urllib.parse

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import server

from figdrum.core import clock
from standins import http_service
from standins import ledger
from standins import limited_factory
from standins import report
from standins import target_work
from standins import warmth

_SAMPLE_INTERVAL_S = 0.05
_MAX_SAMPLES = 1200
_DID_NOT_RUN = {'X-Did-Not-Run': '1'}


class StatusSample:
    """True health and load at one time, kept to answer with a lag."""

    def __init__(self, now_ms: int, health: dict, load: dict):
        self.now_ms = now_ms
        self.health = health
        self.load = load


class TargetServer(http_service.JsonResource):
    """HTTP resources of a target."""

    def __init__(self, name: str, service: str, slots: int,
                 work: target_work.TargetWork, system_clock: clock.Clock):
        super().__init__()
        self.connections: limited_factory.LimitedFactory | None = None
        self._name = name
        self._service = service
        self._slots = slots
        self._work = work
        self._clock = system_clock
        self._incarnation = f'{name}-{system_clock.wall_ms()}'
        self._samples: collections.deque[StatusSample] = collections.deque(
            maxlen=_MAX_SAMPLES)
        self._sampler = task.LoopingCall(self._record_sample)
        self._sampler.start(_SAMPLE_INTERVAL_S)

    def handle(self, req: server.Request) -> None:
        handler = {
            b'/health': self._health,
            b'/load': self._load,
            b'/ledger': self._ledger,
            b'/control': self._control,
        }.get(req.path)
        if handler is not None:
            handler(req)
        elif req.method in (b'GET', b'POST'):
            self._serve(req)
        else:
            http_service.reply(req, 405, {'error': 'GET or POST only'})

    def drain(self) -> defer.Deferred:
        """Refuses new requests from now on.

        Returns:
          A Deferred that fires when no request runs or waits and every answer
          was sent.
        """
        self._work.state = self._work.state._replace(draining=True)
        done: defer.Deferred = defer.Deferred()

        def check() -> None:
            if self._work.running + self._work.queued > 0:
                return
            # A written answer may still be in the send buffer.
            self.connections.close_all()
            if not self.connections.open_connections:
                waiting.stop()
                done.callback(None)

        waiting = task.LoopingCall(check)
        waiting.start(_SAMPLE_INTERVAL_S)
        return done

    def _serve(self, req: server.Request) -> None:
        entry = ledger.LedgerEntry(self._name,
                                   req.getHeader('Idempotency-Key') or '',
                                   req.getHeader('X-Service') or '',
                                   req.getHeader('X-Customer') or '',
                                   req.method.decode(), req.uri.decode(), 0)
        if entry.service != self._service:
            self._work.record_misrouted(entry)
            http_service.reply(
                req, 421, {'error': f'{self._name} serves {self._service}'})
            return
        deadline = req.getHeader('X-Deadline-Ms')
        deadline_ms = max(0, int(deadline)) if deadline else None

        def on_deadline(started: bool) -> None:
            if started:
                http_service.reply(req, 504,
                                   {'error': 'aborted at the deadline'})
            else:
                http_service.reply(req, 503, {'error': 'deadline passed'},
                                   _DID_NOT_RUN)

        job = target_work.Job(entry, lambda: self._answer(req, entry),
                              on_deadline)
        req.notifyFinish().addErrback(lambda _: self._work.cancel(job))
        if not self._work.submit(job, deadline_ms):
            http_service.reply(req, 503, {'error': 'no capacity'}, _DID_NOT_RUN)

    def _answer(self, req: server.Request, entry: ledger.LedgerEntry) -> None:
        path = urllib.parse.urlsplit(entry.path).path
        if path.startswith('/report/'):
            size = int(
                http_service.query_argument(req, 'size',
                                            str(report.DEFAULT_BYTES)))
            body = report.body(path.removeprefix('/report/'),
                               min(size, report.MAX_BYTES))
            req.setHeader('Content-Type', 'application/octet-stream')
            req.setHeader('Content-Length', str(len(body)))
            req.write(body)
            req.finish()
            return
        http_service.reply(
            req, 200, {
                'target': self._name,
                'service': self._service,
                'method': entry.method,
                'path': entry.path,
                'key': entry.key,
                'version': self._version(entry.method)
            })

    def _version(self, method: str) -> int:
        roster_ms = self._work.state.roster_ms
        if method != 'GET' or not roster_ms:
            return 0
        return self._clock.wall_ms() // roster_ms

    def _record_sample(self) -> None:
        self._samples.append(self._current_sample())

    def _current_sample(self) -> StatusSample:
        state = 'cold' if self._work.warmth.is_cold else 'ready'
        if self._work.state.draining:
            state = 'draining'
        load = {
            'utilisation':
                self._work.utilisation,
            'running':
                self._work.running,
            'queued':
                self._work.queued,
            'slots':
                self._slots,
            'connections':
                self.connections.open_connections if self.connections else 0
        }
        return StatusSample(self._clock.now_ms(), {'state': state}, load)

    def _sample_with_age(self, lag_ms: int) -> StatusSample:
        if not lag_ms:
            return self._current_sample()
        limit_ms = self._clock.now_ms() - lag_ms
        old = [s for s in self._samples if s.now_ms <= limit_ms]
        return old[-1] if old else self._samples[0]

    def _health(self, req: server.Request) -> None:
        settings = self._work.state
        health = self._sample_with_age(settings.health_lag_ms).health
        state = settings.health or health['state']
        http_service.reply(req, 200, {
            'state': state,
            'incarnation': self._incarnation
        })

    def _load(self, req: server.Request) -> None:
        settings = self._work.state
        load = dict(self._sample_with_age(settings.load_lag_ms).load)
        if settings.load is not None:
            load['utilisation'] = settings.load
        http_service.reply(req, 200, load)

    def _ledger(self, req: server.Request) -> None:
        http_service.reply(req, 200, [e.to_json() for e in self._work.entries])

    def _control(self, req: server.Request) -> None:
        if req.method == b'POST':
            changes = http_service.read_json(req)
            if changes.pop('cold', False):
                self._work.warmth.reset()
            self._work.state = self._work.state.changed(changes)
        http_service.reply(
            req, 200, {
                **self._work.state._asdict(), 'bearable_rate':
                    self._work.warmth.rate,
                'collapses':
                    self._work.warmth.collapses,
                'refused':
                    self._work.refused
            })


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description='Target stand-in')
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--slots', type=int, default=1, choices=(1, 2))
    parser.add_argument('--queue', type=int, default=4)
    parser.add_argument('--connections', type=int, default=2000)
    parser.add_argument('--work-ms', type=float, default=5.0)
    parser.add_argument('--stall-ms', type=float, default=3000.0)
    parser.add_argument('--roster-ms', type=int, default=0)
    parser.add_argument('--cold-rate', type=float, default=warmth.COLD_RATE)
    parser.add_argument('--full-rate', type=float, default=warmth.FULL_RATE)
    parser.add_argument('--seed', type=int, default=0)
    args = parser.parse_args()
    system_clock = clock.SystemClock()
    work = target_work.TargetWork(args.slots, args.queue,
                                  warmth.Warmth(args.cold_rate,
                                                args.full_rate), system_clock,
                                  reactor, random.Random(args.seed))
    work.state = work.state._replace(work_ms=args.work_ms,
                                     stall_ms=args.stall_ms,
                                     roster_ms=args.roster_ms)
    target = TargetServer(args.name, args.service, args.slots, work,
                          system_clock)
    site = server.Site(target)
    site.noisy = False
    target.connections = limited_factory.LimitedFactory(site, args.connections)
    bound = reactor.listenTCP(args.port,
                              target.connections,
                              interface=http_service.LOOPBACK).getHost()
    reactor.addSystemEventTrigger('before', 'shutdown', target.drain)
    http_service.run(http=(bound.host, bound.port), name=args.name)


if __name__ == '__main__':
    main()
