"""Hands an agent's flows to other members before it leaves.

Explanation
===========

Each held flow is offered to one member at a time until one accepts, see
`figdrum.ownership.offers`.
Requests in progress end here, then the agent gives its
claims away, lingers to pass late packets on, and leaves the list.

References
==========

docs/design.md, section 6.4.
"""

import abc
import collections.abc
import enum

from figdrum.core import ids
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.ownership import actions
from figdrum.telemetry import logs

# Requests of flows that nobody has taken yet are served for this long.
REQUESTS_STOP_MS = 3_000
REPEAT_MS = 300
DECLINED_MS = 1_000
# Bounds the burst that a leave of an agent with 2,000 flows sends at once.
OFFERS_PER_TICK = 200
CLAIMS_PER_TICK = 500

_log = logs.part('agent')


class Phase(enum.Enum):
    """How far a leave has come."""
    SERVING = 'serving'
    HANDOVER = 'handover'
    FINISHING = 'finishing'
    LINGERING = 'lingering'
    DONE = 'done'


class Leaver(abc.ABC):
    """What a drain needs of its agent."""

    @abc.abstractmethod
    def offers(self) -> collections.abc.Iterable[actions.Offer]:
        """Returns the offer of each held flow."""

    @abc.abstractmethod
    def send_offer(self, offer: actions.Offer) -> None:
        """Sends one offer."""

    @abc.abstractmethod
    def send_claim(self, to: service_list.Member,
                   claim: datagram.Claim) -> None:
        """Sends one copy of a claim."""

    @abc.abstractmethod
    def held(self) -> int:
        """Returns the number of flows held."""

    @abc.abstractmethod
    def busy(self) -> bool:
        """Returns True while requests are in progress."""

    @abc.abstractmethod
    def claim_copies(
            self) -> tuple[tuple[service_list.Member, datagram.Claim], ...]:
        """Returns the claims to give away."""

    @abc.abstractmethod
    def stop_requests(self) -> None:
        """Takes no new request from now on."""

    @abc.abstractmethod
    def broken(self, count: int) -> None:
        """Records flows that nobody took over in time."""


class Drain:
    """The steps of a leave, driven by ticks.

    Args:
      leaver: The agent.
      drain_ms: Time in which flows are handed over.
      linger_ms: Time to pass late packets on.
    """

    def __init__(self, leaver: Leaver, drain_ms: int, linger_ms: int):
        self._leaver = leaver
        self._drain_ms = drain_ms
        self._linger_ms = linger_ms
        self._started_ms = 0
        self._phase_ms = 0
        self._sent_ms: dict[tuple[ids.FlowKey, str, int], int] = {}
        self._claims: list[tuple[service_list.Member, datagram.Claim]] = []
        self.phase = Phase.SERVING

    def start(self, now_ms: int) -> None:
        """Begins the leave."""
        if self.phase is Phase.SERVING:
            self._started_ms = now_ms
            self._enter(now_ms, Phase.HANDOVER)

    def tick(self, now_ms: int) -> None:
        """Goes on; to be called each 100 ms."""
        late = now_ms - self._started_ms
        if self.phase is Phase.HANDOVER:
            if late >= REQUESTS_STOP_MS:
                self._leaver.stop_requests()
            if not self._leaver.held() or late >= self._drain_ms:
                self._end_handover(now_ms)
            else:
                self._offer(now_ms)
        if self.phase is Phase.FINISHING:
            if not self._leaver.busy() or late >= 2 * self._drain_ms:
                self._claims = list(self._leaver.claim_copies())
                self._enter(now_ms, Phase.LINGERING)
        if self.phase is Phase.LINGERING:
            for member, claim in self._claims[:CLAIMS_PER_TICK]:
                self._leaver.send_claim(member, claim)
            del self._claims[:CLAIMS_PER_TICK]
            if now_ms - self._phase_ms >= self._linger_ms and not self._claims:
                self._enter(now_ms, Phase.DONE)

    def _end_handover(self, now_ms: int) -> None:
        self._leaver.stop_requests()
        held = self._leaver.held()
        if held:
            _log.warning('%d flows broken, no member took them over', held)
            self._leaver.broken(held)
        self._enter(now_ms, Phase.FINISHING)

    def _offer(self, now_ms: int) -> None:
        budget = OFFERS_PER_TICK
        sent_ms = {}
        for offer in self._leaver.offers():
            key = (offer.flow, offer.to.name, offer.attempt)
            last_ms = self._sent_ms.get(key)
            if budget and self._is_due(now_ms, offer, last_ms):
                budget -= 1
                last_ms = now_ms
                self._leaver.send_offer(offer)
            if last_ms is not None:
                sent_ms[key] = last_ms
        self._sent_ms = sent_ms

    def _is_due(self, now_ms: int, offer: actions.Offer,
                last_ms: int | None) -> bool:
        if last_ms is not None:
            return now_ms - last_ms >= REPEAT_MS
        # Members that have just declined get time to free a place.
        return now_ms - self._started_ms >= offer.attempt * DECLINED_MS

    def _enter(self, now_ms: int, phase: Phase) -> None:
        _log.info('drain: %s', phase.value)
        self.phase = phase
        self._phase_ms = now_ms
