"""Stand-in of a target that serves HTTP.

Explanation
===========

* `GET /health`: `{"state": "cold" | "ready" | "draining", "incarnation"}`.
* `GET /load`: `{"utilisation", "running", "queued", "slots", "connections"}`.
* `GET /ledger`: a list of `LedgerEntry`.
* `GET /control`, `POST /control`: fields of `TargetState`; `{"cold": true}`
  makes it as cold as at its start.
* `GET /report/<name>?size=`: a body that `standins.report` computes.
* Any other GET or POST: `{"target", "service", "method", "path", "key",
  "version"}`; the version grows with each `roster_ms` of wall-clock time, so
  that all targets of a service show the same one.

A request carries `X-Service`, `X-Customer`, `Idempotency-Key` and
`X-Deadline-Ms`. Answers are 421 when `X-Service` is not the target's, 503 with
`X-Did-Not-Run: 1` when the request did not start, and 504 when it was cut at
its deadline. A closed connection cuts a request.
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

_SAMPLE_S = 0.05
_SAMPLES = 1200
_DID_NOT_RUN = {'X-Did-Not-Run': '1'}


class Sample:
    """What health and load stated truly at one time."""

    def __init__(self, now_ms: int, health: dict, load: dict):
        self.now_ms = now_ms
        self.health = health
        self.load = load


class TargetServer(http_service.JsonResource):
    """The HTTP side of a target."""

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
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=_SAMPLES)
        self._sampler = task.LoopingCall(self._sample)
        self._sampler.start(_SAMPLE_S)

    def handle(self, req: server.Request) -> None:
        own = {
            b'/health': self._health,
            b'/load': self._load,
            b'/ledger': self._ledger,
            b'/control': self._control,
        }.get(req.path)
        if own is not None:
            own(req)
        elif req.method in (b'GET', b'POST'):
            self._serve(req)
        else:
            http_service.reply(req, 405, {'error': 'GET or POST only'})

    def drained(self) -> defer.Deferred:
        """Refuses new requests; the Deferred fires when none runs and every
        answer was sent."""
        self._work.state = self._work.state._replace(draining=True)
        done: defer.Deferred = defer.Deferred()

        def check() -> None:
            if self._work.running + self._work.queued > 0:
                return
            # An answer that is written may still wait to be sent.
            self.connections.close_all()
            if not self.connections.open_connections:
                waiting.stop()
                done.callback(None)

        waiting = task.LoopingCall(check)
        waiting.start(_SAMPLE_S)
        return done

    def _serve(self, req: server.Request) -> None:
        entry = ledger.LedgerEntry(self._name,
                                   req.getHeader('Idempotency-Key') or '',
                                   req.getHeader('X-Service') or '',
                                   req.getHeader('X-Customer') or '',
                                   req.method.decode(), req.uri.decode(), 0)
        if entry.service != self._service:
            self._work.misrouted(entry)
            http_service.reply(
                req, 421, {'error': f'{self._name} serves {self._service}'})
            return
        deadline = req.getHeader('X-Deadline-Ms')
        deadline_ms = max(0, int(deadline)) if deadline else None

        def on_late(started: bool) -> None:
            if started:
                http_service.reply(req, 504, {'error': 'cut at the deadline'})
            else:
                http_service.reply(req, 503, {'error': 'deadline passed'},
                                   _DID_NOT_RUN)

        job = target_work.Job(entry, lambda: self._answer(req, entry), on_late)
        req.notifyFinish().addErrback(lambda _: self._work.cancel(job))
        if not self._work.submit(job, deadline_ms):
            http_service.reply(req, 503, {'error': 'no capacity'}, _DID_NOT_RUN)

    def _answer(self, req: server.Request, entry: ledger.LedgerEntry) -> None:
        path = urllib.parse.urlsplit(entry.path).path
        if path.startswith('/report/'):
            size = int(
                http_service.argument(req, 'size', str(report.DEFAULT_BYTES)))
            body = report.body(path.removeprefix('/report/'),
                               min(size, report.LARGEST_BYTES))
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

    def _sample(self) -> None:
        self._samples.append(self._true_sample())

    def _true_sample(self) -> Sample:
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
        return Sample(self._clock.now_ms(), {'state': state}, load)

    def _sample_before(self, lag_ms: int) -> Sample:
        if not lag_ms:
            return self._true_sample()
        limit_ms = self._clock.now_ms() - lag_ms
        old = [s for s in self._samples if s.now_ms <= limit_ms]
        return old[-1] if old else self._samples[0]

    def _health(self, req: server.Request) -> None:
        told = self._work.state
        health = self._sample_before(told.health_lag_ms).health
        state = told.health or health['state']
        http_service.reply(req, 200, {
            'state': state,
            'incarnation': self._incarnation
        })

    def _load(self, req: server.Request) -> None:
        told = self._work.state
        load = dict(self._sample_before(told.load_lag_ms).load)
        if told.load is not None:
            load['utilisation'] = told.load
        http_service.reply(req, 200, load)

    def _ledger(self, req: server.Request) -> None:
        http_service.reply(req, 200, [e.to_json() for e in self._work.entries])

    def _control(self, req: server.Request) -> None:
        if req.method == b'POST':
            wanted = http_service.read_json(req)
            if wanted.pop('cold', False):
                self._work.warmth.cool()
            self._work.state = self._work.state.changed(wanted)
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
    reactor.addSystemEventTrigger('before', 'shutdown', target.drained)
    http_service.run(http=(bound.host, bound.port), name=args.name)


if __name__ == '__main__':
    main()
