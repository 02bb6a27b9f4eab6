"""Tests of the guarantees of agents under random faults."""

import random

import aiocoap
import pytest

from figdrum.agent import drain
from figdrum.core import states
from standins import world as world_lib

# Seed 56 ran a key twice when two claim holders left at once and copies of
# their claims were sent to each other or lost.
SEEDS = (*range(10), 56)
STEPS = 120
# Number of times that a caller sends each request.
COPIES = 4


class Faults:
    """Random requests, losses, pauses, leaves and joins of one seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.world = world_lib.World(seed, drain_ms=5000, linger_ms=1000)
        self.world.start('a', 'b', 'c')
        self.names = ['a', 'b', 'c']
        self.unsent = []
        self.request_count = 0
        self.resume_at_ms = {}
        carry = self.world.carry

        def lossy(source, address, data):
            if self.rng.random() < 0.95:
                carry(source, address, data)
            if self.rng.random() < 0.05:
                delay_ms = self.rng.randrange(2000)
                self.world.timers.call_later(
                    delay_ms, lambda: carry(source, address, data))

        self.world.carry = lossy

    def step(self):
        """Runs one random action and advances the time."""
        self.rng.choice((self._new, self._new, self._copy, self._copy,
                         self._pause, self._leave, self._join))()
        for name, until_ms in list(self.resume_at_ms.items()):
            if self.world.clock.now_ms() >= until_ms:
                del self.resume_at_ms[name]
                self.world.paused.discard(name)
        self._end_leavers()
        self.world.run(self.rng.choice((20, 100, 300)))

    def _new(self):
        self.request_count += 1
        data = world_lib.coap(aiocoap.POST,
                              self.request_count,
                              token=b'k%d' % self.request_count,
                              uri_path=('visits',),
                              uri_query=(f'key=k{self.request_count}',))
        self.unsent += [(self.rng.randrange(20), data)] * COPIES
        self._copy()

    def _copy(self):
        if not self.unsent:
            return
        number, data = self.unsent.pop(self.rng.randrange(len(self.unsent)))
        # A request on another flow, as after a restart of its caller, reaches
        # another agent.
        if self.rng.random() < 0.3:
            number += 1000
        self.world.skipped = tuple(
            self.world.paused) if self.rng.random() < 0.5 else ()
        members = self.world.members().order(
            world_lib.flow_of(number).to_bytes(), frozenset())
        if any(m.name not in self.world.skipped for m in members):
            self.world.call(world_lib.flow_of(number), data)

    def _pause(self):
        if not self.world.paused and self.rng.random() < 0.3:
            name = self.rng.choice(sorted(self.world.agents))
            self.world.paused.add(name)
            self.resume_at_ms[name] = (self.world.clock.now_ms() +
                                       self.rng.choice((300, 1000, 2500, 6000)))

    def _leave(self):
        serving = [
            name for name, agent in self.world.agents.items()
            if agent.drain.phase is drain.Phase.SERVING
        ]
        if len(serving) > 2 and self.rng.random() < 0.2:
            self.world.agents[self.rng.choice(serving)].start_drain()

    def _join(self):
        if len(self.world.agents) < 4 and self.rng.random() < 0.3:
            name = f'n{self.request_count}-{len(self.names)}'
            self.names.append(name)
            self.world.add(name)

    def _end_leavers(self):
        for name, agent in tuple(self.world.agents.items()):
            if agent.drain.phase is drain.Phase.DONE:
                agent.publish_leave()
                agent.stop()
                del self.world.agents[name]
                self.resume_at_ms.pop(name, None)
                self.world.paused.discard(name)


@pytest.mark.parametrize('seed', SEEDS)
def test_requests_run_at_most_once_and_refusals_are_true(seed):
    """Guards against P6 and P7 under losses, copies, pauses and leaves."""
    faults = Faults(seed)
    for _ in range(STEPS):
        faults.step()
    faults.world.paused.clear()
    faults.world.run(40_000)
    ran = [run.key for run in faults.world.runs()]
    assert len(ran) == len(set(ran))
    answered = set()
    for _, _, message in faults.world.replies:
        key = message.token.decode()
        if message.code is aiocoap.CHANGED:
            answered.add(key)
        elif message.payload.decode() == states.Refusal.DID_NOT_RUN.value:
            assert key not in ran
    # Most claim acquisitions are uncertain after pauses. Without any answered
    # request the test would check nothing.
    assert answered and answered <= set(ran)
