"""Demo of figdrum under load and failures: `make demo`.

Explanation
===========

Three zones with a balancer each, two services with three targets each. While
200 flows make 2,000 requests, a contract change is proposed and approved, and
at one moment a balancer is killed with SIGKILL and an agent is told to drain
with SIGTERM. Users of the newly granted address start 7 s after the approval.

The last line of the output is a JSON object, counted from the targets' ledgers
and the callers' records only. The exit code is 0 if nothing was lost,
misrouted, run twice or broken, if every did-not-run refusal was true, and if
every step succeeded.
"""

import argparse
import collections
import contextlib
import json
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import threads

from figdrum.core import clock
from standins import caller_fleet
from standins import caller_flow
from standins import demo_plan
from standins import demo_site
from standins import fleet_client
from standins import flow_verdict
from standins import request_record
from standins import tally

FLOWS = 200
REQUESTS = 2_000
LATE_FLOWS = 10
LATE_REQUESTS = 100
DURATION_MS = 40_000
LATE_DURATION_MS = 15_000
RAMP_MS = 10_000
ACK_TIMEOUT_MS = 1_000
# The demo has to end within 2 minutes; the rest of that time is for counting
# and for stopping the processes.
TIME_LIMIT_S = 108
# A change is in force everywhere within this time (requirement P10).
IN_FORCE_S = 7
# Time after which the health check of a fabric detects a dead balancer; the
# demo then removes it from the stand-in.
FABRIC_CHECK_S = 1
_CHANGE_AT_S = 6
_FAILURES_AT_S = 20
_PROGRESS_S = 5
_KILLED_BALANCER = 'lb-3'
_DRAINED_AGENT = 'fieldbook-2'
_MAX_SHOWN = 10


class Demo:
    """Runs requests and failures against a site.

    Attributes:
      faults: Messages of the steps that failed.
    """

    def __init__(self, site: demo_site.DemoSite, seed: int, started_s: float):
        self.faults: list[str] = []
        self._site = site
        self._drain_start_ms: dict[str, int] = {}
        self._started_s = started_s
        self._fleets = [
            self._fleet([('fieldbook', 1), ('booking', 1)], FLOWS, REQUESTS,
                        DURATION_MS, seed),
            self._fleet([('fieldbook', 2)], LATE_FLOWS, LATE_REQUESTS,
                        LATE_DURATION_MS, seed + 1)
        ]

    def print_progress(self, text: str) -> None:
        """Prints a line of progress."""
        print(f'demo: {time.monotonic() - self._started_s:5.1f} s  {text}',
              flush=True)

    def run(self) -> None:
        """Runs every step; failures are recorded in `faults`."""
        reactor.callWhenRunning(self._begin)
        reactor.run()

    def result(self) -> tally.Tally:
        """Returns the counts and prints the first failures of each kind."""
        end_ms = _now_ms()
        rules = flow_verdict.VerdictRules(self._drain_start_ms,
                                          demo_plan.LONGEST_GAP_MS, end_ms)
        broken = {}
        records = []
        for fleet in self._fleets:
            broken.update(fleet.broken(rules))
            records += fleet.records
            fleet.stop()
        entries = self._site.ledgers()
        for name, why in list(broken.items())[:_MAX_SHOWN]:
            self.print_progress(f'broken flow {name}: {why}')
        for record in _failed(records)[:_MAX_SHOWN]:
            self.print_progress(
                f'{record.ending.value} {record.call.kind.value} '
                f'{record.call.nonce} of {record.flow}: {record.detail}')
        for record in tally.false_refusals(records, entries)[:_MAX_SHOWN]:
            self.print_progress(f'false refusal of {record.call.nonce}')
        refusals = collections.Counter(
            r.refusal.value for r in records if r.refusal)
        self.print_progress(
            f'refusals {dict(refusals)}, '
            f'cold targets overloaded {self._site.collapses()} times')
        return tally.count(records, entries, len(broken))

    def _fleet(self, services: list[tuple[str, int]], flows: int, requests: int,
               duration_ms: int, seed: int) -> caller_fleet.CallerFleet:
        flow_settings = [
            caller_flow.FlowSettings(service,
                                     self._site.services[service, number],
                                     ack_timeout_ms=ACK_TIMEOUT_MS)
            for service, number in services
        ]
        settings = caller_fleet.FleetSettings(
            flows,
            requests,
            duration_ms,
            RAMP_MS * flows / FLOWS,
            fleet_client.ClientSettings(0, 0),
            seed=seed,
            name=''.join(str(number) for _, number in services))
        return caller_fleet.CallerFleet(services=flow_settings,
                                        settings=settings)

    def _begin(self) -> None:
        progress = task.LoopingCall(self._show_progress)
        progress.start(_PROGRESS_S, now=False)
        steps = defer.gatherResults([
            self._fleets[0].start(),
            self._record_failure(self._change_contract()),
            self._record_failure(self._inject_failures())
        ])
        elapsed_s = time.monotonic() - self._started_s
        steps.addTimeout(max(1.0, TIME_LIMIT_S - elapsed_s), reactor)
        steps.addErrback(lambda failure: self.faults.append(
            f'{failure.type.__name__} {failure.value}'))
        steps.addBoth(lambda _: reactor.stop())

    def _record_failure(self, step: defer.Deferred) -> defer.Deferred:
        return step.addErrback(lambda failure: self.faults.append(
            f'{failure.type.__name__} {failure.value}'))

    @defer.inlineCallbacks
    def _change_contract(self):
        yield task.deferLater(reactor, _CHANGE_AT_S)
        yield threads.deferToThread(self._site.change_contract, 'fieldbook',
                                    (1, 2))
        self.print_progress(
            'contract change approved: fieldbook has a second address')
        yield task.deferLater(reactor, IN_FORCE_S)
        self.print_progress(f'{LATE_FLOWS} flows start at the second address')
        yield self._fleets[1].start()

    @defer.inlineCallbacks
    def _inject_failures(self):
        yield task.deferLater(reactor, _FAILURES_AT_S)
        drained = self._site.running[_DRAINED_AGENT]
        killed = self._site.running.pop(_KILLED_BALANCER)
        self._drain_start_ms[_DRAINED_AGENT] = _now_ms()
        killed.kill()
        drained.terminate()
        self.print_progress(f'balancer {_KILLED_BALANCER} killed, '
                            f'agent {_DRAINED_AGENT} told to drain')
        yield task.deferLater(reactor, FABRIC_CHECK_S)
        yield threads.deferToThread(self._site.set_fabric_balancers, [
            b.name for b in self._site.balancers if b.name != _KILLED_BALANCER
        ])
        killed.wait()
        while drained.is_running():
            yield task.deferLater(reactor, 0.1)
        self._site.running.pop(_DRAINED_AGENT)
        self.print_progress(
            f'agent {_DRAINED_AGENT} exited {drained.exit_code()}')
        if drained.exit_code():
            self.faults.append(f'{_DRAINED_AGENT} exited {drained.exit_code()}')

    def _show_progress(self) -> None:
        endings = collections.Counter(record.ending.value
                                      for fleet in self._fleets
                                      for record in fleet.records)
        done = sum(fleet.requests_done for fleet in self._fleets)
        self.print_progress(f'{done} requests done, attempts {dict(endings)}')


def _now_ms() -> int:
    return round(reactor.seconds() * clock.MS_PER_S)


def _failed(
    records: list[request_record.RequestRecord]
) -> list[request_record.RequestRecord]:
    expected = (request_record.Ending.ANSWERED, request_record.Ending.REFUSED)
    return [r for r in records if r.ending not in expected]


def _run(args: argparse.Namespace, directory: pathlib.Path) -> int:
    started_s = time.monotonic()
    # An unseeded generator picks other loopback hosts for each run, so that
    # two concurrent runs do not collide.
    site = demo_site.DemoSite(directory, args.binary, random.Random())
    with contextlib.ExitStack() as stack:
        stack.callback(site.stop)
        site.start_environment()
        demo = Demo(site, args.seed, started_s)
        demo.print_progress(
            f'platform, fabric and {len(site.agents)} targets started')
        for service in demo_plan.SERVICES:
            site.change_contract(service, (1,))
        demo.print_progress('contracts of both customers approved')
        site.start_figdrum()
        site.wait_until_joined()
        demo.print_progress(
            f'{len(site.balancers)} balancers and {len(site.agents)} '
            'agents joined')
        demo.run()
        result = demo.result()
        try:
            site.check_running()
        except RuntimeError as exc:
            demo.faults.append(str(exc))
        for fault in demo.faults:
            demo.print_progress(f'step failed: {fault}')
    print(json.dumps(result.to_json()), flush=True)
    return 0 if result.is_clean and not demo.faults else 1


def main() -> int:
    """Runs the demo and returns the exit code."""
    parser = argparse.ArgumentParser(description='Demo of figdrum')
    parser.add_argument('--binary',
                        default='',
                        help='shipped file to run in place of the sources')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--keep',
                        default='',
                        help='directory to keep settings and logs in')
    args = parser.parse_args()
    # SIGTERM raises SystemExit, so that the exit stack ends the processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with contextlib.ExitStack() as stack:
        name = args.keep or stack.enter_context(tempfile.TemporaryDirectory())
        directory = pathlib.Path(name)
        directory.mkdir(parents=True, exist_ok=True)
        try:
            return _run(args, directory)
        except (RuntimeError, OSError, subprocess.SubprocessError) as exc:
            print(f'demo: failed: {exc}', flush=True)
            return 1


if __name__ == '__main__':
    sys.exit(main())
