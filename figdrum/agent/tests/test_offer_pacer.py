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

    def __init__(self, count, accept, rng):
        self.flows = {world.flow_of(n) for n in range(count)}
        self.accept = accept
        self.rng = rng
        self.sent = []
        self.open = {}
        self.counted = 0
        self.in_progress = False
        self.stopped = False

    def offers(self):
        made = []
        for flow in sorted(self.flows):
            offered = offers.choose(self.open.get(flow, offers.OfferState()),
                                    MEMBERS)
            self.open[flow] = offered
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
        self.counted += count

    def reply(self):
        """Lets the members reply to the offers sent so far; some are lost."""
        sent, self.sent = self.sent, []
        for offer in sent:
            if self.rng.random() < 0.2:
                continue
            taken = self.rng.random() < self.accept
            if taken:
                self.flows.discard(offer.flow)
            reply = datagram.HandoverReply(offer.flow, taken, offer.to.name, 1,
                                           offer.attempt)
            self.open[offer.flow] = offers.on_reply(self.open[offer.flow],
                                                    reply)
        return len(sent)


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(strategies.integers(0, 2**32), strategies.integers(0, 300))
def test_every_flow_is_taken_although_members_decline(seed, count):
    """Guards against a flow that is never offered again."""
    leaver = _FakeAgent(count, 0.5, random.Random(seed))
    pace = offer_pacer.OfferPacer(leaver)
    for now_ms in range(0, 60_000, 100):
        pace.tick(now_ms)
        assert leaver.reply() <= offer_pacer.OFFERS_PER_TICK
    assert not leaver.flows


def test_drain_ends_in_time_and_counts_what_nobody_took():
    """Guards against a drain that hangs, and against uncounted broken flows."""
    leaver = _FakeAgent(5, 0, random.Random(1))
    leave = drain.Drain(leaver, 10_000, 2_000)
    leave.start(0)
    phases = {}
    for now_ms in range(0, 40_000, 100):
        leave.tick(now_ms)
        leaver.reply()
        phases.setdefault(leave.phase, now_ms)
    assert leaver.counted == 5 and leaver.stopped
    assert phases[drain.Phase.LINGERING] == 10_000
    assert phases[drain.Phase.DONE] == 12_000


def test_drain_waits_for_requests_in_progress():
    """Guards against a stop that aborts a request (P9)."""
    leaver = _FakeAgent(0, 1, random.Random(1))
    leaver.in_progress = True
    leave = drain.Drain(leaver, 10_000, 2_000)
    leave.start(0)
    for now_ms in range(0, 5_000, 100):
        leave.tick(now_ms)
    assert leave.phase is drain.Phase.FINISHING
    leaver.in_progress = False
    leave.tick(5_000)
    assert leave.phase is drain.Phase.LINGERING
