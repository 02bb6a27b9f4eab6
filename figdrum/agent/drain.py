"""Hands an agent's flows to other members before it leaves.

Explanation
===========

Each held flow is offered to one member at a time until one accepts. Requests in
progress finish at this agent. Then the agent transfers its claims to other
members, forwards late packets for the linger time, and leaves the list.

References
==========

docs/design.md, section 6.4.
"""

import abc
import enum

from figdrum.agent import offer_pacer
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.telemetry import logs

# New requests of flows that no member has accepted are served for this long.
STOP_REQUESTS_AFTER_MS = 3_000
COPIES_PER_TICK = 500

_log = logs.part('agent')


class Phase(enum.Enum):
    """Phases of a drain, in their order."""
    SERVING = 'serving'
    HANDOVER = 'handover'
    FINISHING = 'finishing'
    LINGERING = 'lingering'
    DONE = 'done'


class DrainableAgent(offer_pacer.OfferSender):
    """Operations of an agent that its drain uses."""

    @abc.abstractmethod
    def send_claim_copy(self, to: service_list.Member,
                        claim: datagram.Claim) -> None:
        """Sends a copy of a claim to a member."""

    @abc.abstractmethod
    def pending_copies(self) -> int:
        """Returns the number of sent copies that are not acknowledged yet."""

    @abc.abstractmethod
    def flow_count(self) -> int:
        """Returns the number of held flows."""

    @abc.abstractmethod
    def has_open_requests(self) -> bool:
        """Returns True while requests are in progress."""

    @abc.abstractmethod
    def start_claim_transfer(
            self) -> tuple[tuple[service_list.Member, datagram.Claim], ...]:
        """Starts the transfer of claims; returns the copies to send."""

    @abc.abstractmethod
    def stop_requests(self) -> None:
        """Refuses new requests from now on."""

    @abc.abstractmethod
    def record_broken_flows(self, count: int) -> None:
        """Counts flows that no member took over in time."""


class Drain:
    """Drains an agent, driven by ticks.

    Args:
      agent: The agent.
      drain_ms: Time limit for the handover of flows, in ms.
      linger_ms: Time for which late packets are forwarded, in ms.

    Attributes:
      phase: The current phase.
    """

    def __init__(self, agent: DrainableAgent, drain_ms: int, linger_ms: int):
        self._agent = agent
        self._drain_ms = drain_ms
        self._linger_ms = linger_ms
        self._started_ms = 0
        self._phase_started_ms = 0
        self._offer_pacer = offer_pacer.OfferPacer(agent)
        self._unsent_copies: list[tuple[service_list.Member,
                                        datagram.Claim]] = []
        self.phase = Phase.SERVING

    def start(self, now_ms: int) -> None:
        """Starts the drain; has no effect after the first call."""
        if self.phase is Phase.SERVING:
            self._started_ms = now_ms
            self._enter_phase(now_ms, Phase.HANDOVER)

    def tick(self, now_ms: int) -> None:
        """Runs the current phase; call it every 100 ms."""
        elapsed_ms = now_ms - self._started_ms
        if self.phase is Phase.HANDOVER:
            if elapsed_ms >= STOP_REQUESTS_AFTER_MS:
                self._agent.stop_requests()
            if not self._agent.flow_count() or elapsed_ms >= self._drain_ms:
                self._end_handover(now_ms)
            else:
                self._offer_pacer.tick(now_ms)
        if self.phase is Phase.FINISHING:
            if not self._agent.has_open_requests(
            ) or elapsed_ms >= 2 * self._drain_ms:
                self._unsent_copies = list(self._agent.start_claim_transfer())
                self._enter_phase(now_ms, Phase.LINGERING)
        if self.phase is Phase.LINGERING:
            for member, claim in self._unsent_copies[:COPIES_PER_TICK]:
                self._agent.send_claim_copy(member, claim)
            del self._unsent_copies[:COPIES_PER_TICK]
            if (now_ms - self._phase_started_ms >= self._linger_ms and
                    not self._unsent_copies and
                    not self._agent.pending_copies()):
                self._enter_phase(now_ms, Phase.DONE)

    def _end_handover(self, now_ms: int) -> None:
        self._agent.stop_requests()
        flow_count = self._agent.flow_count()
        if flow_count:
            _log.warning('%d flows broken: no member took them over',
                         flow_count)
            self._agent.record_broken_flows(flow_count)
        self._enter_phase(now_ms, Phase.FINISHING)

    def _enter_phase(self, now_ms: int, phase: Phase) -> None:
        _log.info('drain: %s', phase.value)
        self.phase = phase
        self._phase_started_ms = now_ms
