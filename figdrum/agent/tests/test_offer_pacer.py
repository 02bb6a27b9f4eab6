"""Tests of the pacing of offers and of the phases of a drain."""

import random

import hypothesis
from hypothesis import strategies

from figdrum.agent import drain
from figdrum.agent import offer_pacer
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.ownership import offers
from standins import world

MEMBERS = [
    service_list.Member(name, (name, 1), 'muscat-a', 1,
                        states.MemberState.ACTIVE) for name in 'abc'
]


class _FakeAgent(drain.DrainableAgent):
    """An agent whose offers members accept with some probability."""

    def __init__(self, count, accept_probability, rng):
        self.flows = {world.flow_of(n) for n in range(count)}
        self.accept_probability = accept_probability
        self.rng = rng
        self.sent = []
        self.offer_states = {}
        self.broken_count = 0
        self.in_progress = False
        self.stopped = False

    def offers(self):
        made = []
        for flow in sorted(self.flows):
            offered = offers.choose(
                self.offer_states.get(flow, offers.OfferState()), MEMBERS)
            self.offer_states[flow] = offered
            made.append(actions.Offer(offered.to, flow, offered.attempt))
        return made

    def send_offer(self, offer):
        self.sent.append(offer)

    def send_claim_copy(self, to, claim):
        pass

    def pending_copies(self):
        return 0

    def flow_count(self):
        return len(self.flows)

    def has_open_requests(self):
        return self.in_progress

    def start_claim_transfer(self):
        return ()

    def stop_requests(self):
        self.stopped = True

    def record_broken_flows(self, count):
        self.broken_count += count

    def reply(self):
        """Lets the members reply to the offers sent so far; some are lost."""
        sent, self.sent = self.sent, []
        for offer in sent:
            if self.rng.random() < 0.2:
                continue
            taken = self.rng.random() < self.accept_probability
            if taken:
                self.flows.discard(offer.flow)
            reply = datagram.HandoverReply(offer.flow, taken, offer.to.name, 1,
                                           offer.attempt)
            self.offer_states[offer.flow] = offers.on_reply(
                self.offer_states[offer.flow], reply)
        return len(sent)


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(strategies.integers(0, 2**32), strategies.integers(0, 300))
def test_every_flow_is_taken_although_members_decline(seed, count):
    """Guards against a flow that is never offered again."""
    agent = _FakeAgent(count, 0.5, random.Random(seed))
    pacer = offer_pacer.OfferPacer(agent)
    for now_ms in range(0, 60_000, 100):
        pacer.tick(now_ms)
        assert agent.reply() <= offer_pacer.OFFERS_PER_TICK
    assert not agent.flows


def test_drain_ends_in_time_and_counts_what_nobody_took():
    """Guards against a drain that hangs, and against uncounted broken flows."""
    agent = _FakeAgent(5, 0, random.Random(1))
    agent_drain = drain.Drain(agent, 10_000, 2_000)
    agent_drain.start(0)
    phases = {}
    for now_ms in range(0, 40_000, 100):
        agent_drain.tick(now_ms)
        agent.reply()
        phases.setdefault(agent_drain.phase, now_ms)
    assert agent.broken_count == 5 and agent.stopped
    assert phases[drain.Phase.LINGERING] == 10_000
    assert phases[drain.Phase.DONE] == 12_000


def test_drain_waits_for_requests_in_progress():
    """Guards against a stop that aborts a request (P9)."""
    agent = _FakeAgent(0, 1, random.Random(1))
    agent.in_progress = True
    agent_drain = drain.Drain(agent, 10_000, 2_000)
    agent_drain.start(0)
    for now_ms in range(0, 5_000, 100):
        agent_drain.tick(now_ms)
    assert agent_drain.phase is drain.Phase.FINISHING
    agent.in_progress = False
    agent_drain.tick(5_000)
    assert agent_drain.phase is drain.Phase.LINGERING
