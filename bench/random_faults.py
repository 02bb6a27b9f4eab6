"""Tests requirements P1 to P9 under pairs of failures at random times.

Explanation
===========

`python -m bench.random_faults` runs seeds in virtual time. Each has 3 to 8
agents of two services in three zones, three balancers whose lists are up to
2 s late, callers that retransmit their datagrams, and two failures or planned
events that overlap. The outcome is derived from the requests that the targets
ran and the answers that the callers received:

* P1: a flow held by no agent that was killed, paused or in a zone that is out
  keeps a holder, and has exactly one at the end;
* P2: each request runs at a target of its own service;
* P3: no target collapses; see `standins.warmth`;
* P4, P8: after a few seconds, no request starts in a zone that is out or at a
  leaving target;
* P6, P7: a request that was refused as did-not-run has not run, and no
  idempotency key ran twice;
* P9: a request that ran at a leaving target was answered, unless datagrams
  were lost;
* each request is eventually answered or refused.

References
==========

docs/design.md, sections 2 and 7.
"""

import argparse
import collections
import concurrent.futures
import random
import sys
import typing

import aiocoap

from figdrum.agent import drain
from figdrum.core import states
from standins import world as world_lib

SEED_COUNT = 200
CI_SEEDS = tuple(range(12))
WORKER_COUNT = 6
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICES = {
    world_lib.SERVICE: world_lib.SERVICE_ADDRESS,
    world_lib.OTHER_SERVICE: world_lib.OTHER_ADDRESS
}
OBSERVED_FLOW_COUNT = 12
STEP_MS = 100
# The failures begin within `FAULT_WINDOW_MS`. Callers start requests for
# `LOAD_DURATION_MS`; `RUN_LIMIT_MS` leaves time for their retransmissions.
FAULT_WINDOW_MS = 12_000
LOAD_DURATION_MS = 30_000
RUN_LIMIT_MS = 150_000
# A burst of 80 requests a second, which exceeds the rate of cold targets.
BURST_DURATION_MS = 2_000
BURST_REQUESTS_PER_STEP = 8
# "A few seconds" of P4 and P8.
FEW_SECONDS_MS = 5_000
# Times at which a caller sends a request (RFC 7252, section 4.8). The series is
# repeated from other ports, as after a restart of the caller.
RETRANSMIT_TIMES_MS = (0, 2_500, 7_500, 17_500)
PORT_COUNT = 4
DID_NOT_RUN = states.Refusal.DID_NOT_RUN.value.encode()


class Caller:
    """Sends one request and its retransmissions."""

    def __init__(self, number: int, service: str, now_ms: int, is_post: bool):
        self.name = f'r{number}'
        self.service = service
        self.is_post = is_post
        self.answer: aiocoap.Message | None = None
        self._number = number
        self._send_times_ms = [
            now_ms + port * 2 * RETRANSMIT_TIMES_MS[-1] + copy_ms
            for port in range(PORT_COUNT)
            for copy_ms in RETRANSMIT_TIMES_MS
        ]
        self._sent = 0

    @property
    def is_done(self) -> bool:
        """Whether it was answered or has sent its last retransmission."""
        return self.answer is not None or self._sent == len(self._send_times_ms)

    def due_datagram(self, now_ms: int) -> tuple[typing.Any, bytes] | None:
        """Returns the flow and datagram to send now."""
        if self.is_done or now_ms < self._send_times_ms[self._sent]:
            return None
        port = self._sent // len(RETRANSMIT_TIMES_MS)
        if self._number % 3 == 0:
            # Some callers change their port with each datagram, so that
            # retransmissions of a request that ran reach other agents.
            port = self._sent % PORT_COUNT
        self._sent += 1
        flow = world_lib.flow_of(1000 + self._number + 10_000 * port,
                                 SERVICES[self.service])
        code = aiocoap.POST if self.is_post else aiocoap.GET
        query = 'key' if self.is_post else 'id'
        data = world_lib.coap(code,
                              7,
                              token=self.name.encode(),
                              uri_path=('visits',),
                              uri_query=(f'{query}={self.name}',))
        return flow, data


# One class holds the callers, the faults and the outcome of a run.
class FaultRun:  # pylint: disable=too-many-instance-attributes
    """Runs one seed: load, faults and the check of the outcome.

    Attributes:
        faults: Names of the failures, with their times in ms.
        violations: Requirements that were violated, with time and details.
    """

    def __init__(self, seed: int, faults: tuple[str, ...] = ()):
        self._forced_faults = faults
        self.rng = random.Random(seed)
        self.faults: list[str] = []
        self.violations: list[str] = []
        self.callers: list[Caller] = []
        self._affected_flows: set = set()
        self._is_all_affected = False
        self._is_lossy = False
        self._out: dict[str, int] = {}
        self._zone_outages: list[tuple[str, int, int]] = []
        self._drain_started_ms: dict[str, int] = {}
        self._paused_agents: set[str] = set()
        self._services: dict[str, str] = {}
        self._zones: dict[str, str] = {}
        self._read_reply_count = 0
        self._added_agent_count = 0
        self.world = world_lib.World(seed,
                                     cold_rate=4,
                                     full_rate=60,
                                     slots=8,
                                     drain_ms=8000,
                                     linger_ms=2000)
        self.world.queues_while_paused = True
        self._start()

    def execute(self) -> None:
        """Runs the seed and fills in `violations`."""
        start_ms = self._now_ms()
        chosen = [getattr(self, f'_{name}') for name in self._forced_faults]
        burst_ms = start_ms + self.rng.randrange(FAULT_WINDOW_MS)
        for fault in chosen or self.rng.sample(self._faults(), 2):
            self.world.timers.call_later(
                self.rng.randrange(FAULT_WINDOW_MS),
                lambda fault=fault: self._inject(fault))
        while self._now_ms() < start_ms + LOAD_DURATION_MS or not all(
                c.is_done for c in self.callers):
            if self._now_ms() > start_ms + RUN_LIMIT_MS:
                break
            if self._now_ms() < start_ms + LOAD_DURATION_MS and self.rng.random(
            ) < 0.6:
                self._add_caller()
            if burst_ms <= self._now_ms() < burst_ms + BURST_DURATION_MS:
                for _ in range(BURST_REQUESTS_PER_STEP):
                    self._add_caller()
            self._step()
        self._check_outcomes()

    def _start(self) -> None:
        for number in range(self.rng.randint(4, 8)):
            service = (world_lib.OTHER_SERVICE
                       if number in (1, 4) else world_lib.SERVICE)
            self._add(service, ZONES[number % 3])
            self.world.run(200)
        self.world.run(1500)
        for zone in ZONES:
            self.world.add_balancer(zone).lag_ms = self.rng.randrange(2000)
        self.observed_flows = [
            world_lib.flow_of(n) for n in range(OBSERVED_FLOW_COUNT)
        ]
        # Cold agents refuse some requests at first, so each flow is retried.
        for copy in range(10):
            for flow in self.observed_flows:
                if not self.world.holder(flow):
                    self._send(flow,
                               world_lib.coap(mid=copy, uri_path=('roster',)))
                    self.world.run(200)
        self.world.run(3000)

    def _add(self, service: str, zone: str) -> None:
        self._added_agent_count += 1
        name = f'{service}-{self._added_agent_count}'
        self._services[name] = service
        self._zones[name] = zone
        self.world.add(name, zone, service)

    def _now_ms(self) -> int:
        return self.world.clock.now_ms()

    def _send(self, flow, data: bytes) -> None:
        balancer = self.rng.choice(tuple(self.world.balancers.values()))
        if balancer.address not in self.world.dead_balancers:
            balancer.send(flow, data)

    def _add_caller(self) -> None:
        self.callers.append(
            Caller(len(self.callers), self.rng.choice(tuple(SERVICES)),
                   self._now_ms(),
                   self.rng.random() < 0.6))

    def _step(self) -> None:
        for caller in self.callers:
            due_datagram = caller.due_datagram(self._now_ms())
            if due_datagram:
                self._send(*due_datagram)
        self.world.run(STEP_MS)
        for _, _, message in self.world.replies[self._read_reply_count:]:
            token = message.token.decode()
            if token.startswith('r') and message.code is not aiocoap.EMPTY:
                caller = self.callers[int(token[1:])]
                caller.answer = caller.answer or message
        self._read_reply_count = len(self.world.replies)
        self._stop_drained_agents()
        for flow in self.observed_flows:
            if self._is_unaffected(flow) and not self.world.holder(flow):
                self._affected_flows.add(flow)
                self._report_violation('P1',
                                       f'flow {flow.src_port} has no holder')

    def _stop_drained_agents(self) -> None:
        for name, agent in tuple(self.world.agents.items()):
            if (agent.drain.phase is drain.Phase.DONE and
                    name not in self.world.paused):
                agent.publish_leave()
                self.world.kill(name)

    def _report_violation(self, requirement: str, text: str) -> None:
        self.violations.append(f'{requirement} at {self._now_ms()} ms: {text}')

    def _is_unaffected(self, flow) -> bool:
        return not self._is_all_affected and flow not in self._affected_flows

    def _mark_flows_affected(self, *names: str) -> None:
        """Marks flows of failing agents, and of draining ones, as affected.

        A draining agent may be handing its flows over to a failing one.
        """
        for name in (*names, *self._drain_started_ms):
            if name in self.world.agents:
                self._affected_flows.update(
                    f for f, _ in self.world.agents[name].flows.items())

    # Failures and planned events.

    def _faults(self):
        return [
            self._kill, self._kill_balancer, self._pause, self._outage,
            self._slow, self._lost_answers, self._bad_network, self._uneven,
            self._drain, self._join, self._zone_out, self._cold, self._cut,
            self._contract
        ]

    def _inject(self, fault) -> None:
        self.faults.append(f'{fault.__name__[1:]}@{self._now_ms()}')
        fault()

    def _schedule(self, low_ms: int, high_ms: int, callback) -> None:
        self.world.timers.call_later(self.rng.randrange(low_ms, high_ms),
                                     callback)

    def _redundant_agents(self) -> list[str]:
        """Returns serving agents whose service has another serving agent."""
        names = [
            n for n in sorted(self.world.agents)
            if n not in self._drain_started_ms and n not in self.world.paused
        ]
        counts = collections.Counter(self._services[n] for n in names)
        return [n for n in names if counts[self._services[n]] > 1]

    def _choose_agent(self) -> str | None:
        return self.rng.choice(self._redundant_agents() or [None])

    def _kill(self) -> None:
        name = self._choose_agent()
        if name:
            self._mark_flows_affected(name)
            self.world.kill(name)
            self._schedule(
                1000, 8000,
                lambda: self._add(self._services[name], self._zones[name]))

    def _kill_balancer(self) -> None:
        address = self.rng.choice(tuple(self.world.balancers))
        self.world.dead_balancers.add(address)
        self._is_lossy = True

        def replace():
            del self.world.balancers[address]
            self.world.add_balancer(ZONES[0])

        self._schedule(1000, 5000, replace)

    def _pause(self) -> None:
        name = self._choose_agent()
        if name:
            self._mark_flows_affected(name)
            self._paused_agents.add(name)
            self.world.paused.add(name)
            self._schedule(300, 9000, lambda: self.world.paused.discard(name))

    def _outage(self) -> None:
        self.world.db.down = True
        self._schedule(3000, 20_000,
                       lambda: setattr(self.world.db, 'down', False))

    def _slow(self) -> None:
        self.world.db.delay_ms = self.world.db.effect_delay_ms = 800
        self._schedule(3000, 20_000, self._restore_store_speed)

    def _restore_store_speed(self) -> None:
        self.world.db.delay_ms = self.world.db.effect_delay_ms = 0

    def _lost_answers(self) -> None:
        self.world.db.lose_next_responses = 4

    def _bad_network(self) -> None:
        self._is_lossy = True
        self.world.network = world_lib.Network(0.1, 0.1, 0.1)
        self._schedule(
            3000, 12_000,
            lambda: setattr(self.world, 'network', world_lib.Network()))

    def _uneven(self) -> None:
        self.rng.choice(tuple(self.world.balancers.values())).lag_ms = 6500

    def _drain(self) -> None:
        name = self._choose_agent()
        if name:
            self._drain_started_ms[name] = self._now_ms()
            self.world.agents[name].start_drain()

    def _join(self) -> None:
        self._add(self.rng.choice(tuple(SERVICES)), self.rng.choice(ZONES))

    def _zone_out(self) -> None:
        zone = self.rng.choice(ZONES)
        self._mark_flows_affected(
            *(n for n, z in self._zones.items() if z == zone))
        self.world.set_contract(out=zone)
        out_ms = self._now_ms()

        def back():
            self.world.set_contract(back=zone)
            self._zone_outages.append((zone, out_ms, self._now_ms()))

        self._schedule(8000, 15_000, back)

    def _cold(self) -> None:
        name = self._choose_agent()
        if name:
            target = self.world.targets[name]
            target.health = b'{"state": "cold"}'
            self._schedule(
                2000, 9000,
                lambda: setattr(target, 'health', b'{"state": "ready"}'))

    def _cut(self) -> None:
        """Cuts the link between an agent and another agent or a balancer."""
        self._is_all_affected = self._is_lossy = True
        name = self._choose_agent()
        if not name:
            return
        ends = [
            self.world.address_of(n) for n in self.world.agents if n != name
        ]
        pair = frozenset((self.world.address_of(name),
                          self.rng.choice([*ends, *self.world.balancers])))
        self.world.blocked_pairs.add(pair)
        self._schedule(1000, 10_000,
                       lambda: self.world.blocked_pairs.discard(pair))

    def _contract(self) -> None:
        self.world.set_contract((900, 900, 90))

    # Outcomes.

    def _check_outcomes(self) -> None:
        self.world.run(20_000)
        self._check_requests()
        for name, target in self.world.targets.items():
            self._check_target(name, target)
        for flow in self.observed_flows:
            if self._is_unaffected(flow) and len(self.world.holder(flow)) != 1:
                self._report_violation(
                    'P1', f'flow {flow.src_port} is held by '
                    f'{self.world.holder(flow)}')
        broken = self.world.metrics.counters['agent.broken_flows']
        if broken and not self._affected_flows and not self._is_all_affected:
            self._report_violation('P1', f'{broken} flows broken')

    def _check_requests(self) -> None:
        ran = collections.Counter()
        where = {}
        for name, target in self.world.targets.items():
            for run in target.runs:
                token = run.key or run.path.partition('id=')[2]
                ran[token] += 1
                where[token] = name
        for caller in self.callers:
            name, answer = caller.name, caller.answer
            if caller.is_post and ran[name] > 1:
                self._report_violation('P7', f'{name} ran {ran[name]} times')
            if answer is None:
                self._report_violation('answered', f'{name} has no answer')
            elif answer.payload == DID_NOT_RUN and ran[name]:
                self._report_violation('P6', f'{name} ran at {where[name]}')
            elif (answer.code is aiocoap.SERVICE_UNAVAILABLE and
                  caller.is_post and self._is_answer_required(where.get(name))):
                self._report_violation('P9', f'{name} was cut at {where[name]}')

    def _is_answer_required(self, name: str | None) -> bool:
        """Returns whether P9 demands an answer to a request that ran at `name`.

        P9 applies only to agents that are leaving.
        """
        out = {zone for zone, _, _ in self._zone_outages}
        return (name in self._drain_started_ms and
                self._zones[name] not in out and not self._is_lossy and
                not self._paused_agents)

    def _check_target(self, name: str, target) -> None:
        for run in target.runs:
            if run.service != self._services[name]:
                self._report_violation('P2', f'{run.service} at {name}')
        if target.warmth.collapses:
            self._report_violation('P3', f'{name} collapsed')
        for at in target.started_ms:
            if at > self._drain_started_ms.get(name, at) + FEW_SECONDS_MS:
                self._report_violation('P8', f'{name} began at {at}')
            for zone, out_ms, back_ms in self._zone_outages:
                if (self._zones[name] == zone and
                        out_ms + FEW_SECONDS_MS < at < back_ms):
                    self._report_violation('P4', f'{name} began at {at}')


class Result(typing.NamedTuple):
    """The outcome of one seed."""
    seed: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]
    answered: int
    refused: int


def run_seed(seed: int, faults: tuple[str, ...] = ()) -> Result:
    """Runs one seed with `faults`, or with two random ones if it is empty."""
    run = FaultRun(seed, faults)
    run.execute()
    refused = sum(
        c.answer is not None and c.answer.code is aiocoap.SERVICE_UNAVAILABLE
        for c in run.callers)
    return Result(seed, tuple(run.faults), tuple(run.violations),
                  len(run.callers) - refused, refused)


def run_seeds(seeds: typing.Iterable[int]) -> list[Result]:
    """Runs seeds in `WORKER_COUNT` processes."""
    with concurrent.futures.ProcessPoolExecutor(WORKER_COUNT) as pool:
        return list(pool.map(run_seed, seeds))


def main(argv: list[str]) -> int:
    """Prints the failing seeds; returns 1 if there are any."""
    parser = argparse.ArgumentParser(prog='bench.random_faults')
    parser.add_argument('--seeds', type=int, default=SEED_COUNT)
    parser.add_argument('--seed', type=int)
    args = parser.parse_args(argv)
    seeds = range(args.seeds) if args.seed is None else [args.seed]
    results = run_seeds(seeds)
    failed = [r for r in results if r.violations]
    for result in failed:
        print(f'seed {result.seed}: {", ".join(result.faults)}')
        for violation in result.violations[:4]:
            print(f'  {violation}')
    print(f'{len(results)} seeds, {len(failed)} failed; '
          f'{sum(r.answered for r in results)} requests answered, '
          f'{sum(r.refused for r in results)} refused')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
