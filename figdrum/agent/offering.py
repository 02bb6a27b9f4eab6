"""Offers held flows to other members until each is taken.

Explanation
===========

Each flow is offered to the next member in its order. A member that declines is
passed over for that flow until all have declined; then they are asked again.
"""

import abc
import collections.abc
import dataclasses

from figdrum.core import ids
from figdrum.messages import datagram
from figdrum.ownership import actions

REPEAT_MS = 300
DECLINED_MS = 1_000
# Bounds the burst that a leave of an agent with 2,000 flows sends at once.
OFFERS_PER_TICK = 200


class Giver(abc.ABC):
    """An agent that gives its flows away."""

    @abc.abstractmethod
    def offers(
            self, declined: frozenset[str]
    ) -> collections.abc.Iterable[actions.Offer]:
        """Returns offers of all held flows to members not in `declined`."""

    @abc.abstractmethod
    def send_offer(self, offer: actions.Offer) -> None:
        """Sends one offer."""


@dataclasses.dataclass(slots=True)
class _Offered:
    at_ms: int
    declined: frozenset[str] = frozenset()


class Offering:
    """Paces the offers of one agent.

    Args:
      giver: The agent.
    """

    def __init__(self, giver: Giver):
        self._giver = giver
        self._offered: dict[ids.FlowKey, _Offered] = {}

    def on_reply(self, now_ms: int, reply: datagram.HandoverReply) -> None:
        """Notes a member's answer to an offer."""
        offered = self._offered.get(reply.flow)
        if reply.accepted:
            self._offered.pop(reply.flow, None)
        elif offered is not None:
            offered.declined |= {reply.name}
            offered.at_ms = now_ms - REPEAT_MS

    def tick(self, now_ms: int) -> None:
        """Sends the offers that are due; to be called each 100 ms."""
        budget = OFFERS_PER_TICK
        groups = {offered.declined for offered in self._offered.values()}
        for declined in groups | {frozenset()}:
            reachable = set()
            for offer in self._giver.offers(declined):
                offered = self._offered.setdefault(offer.flow,
                                                   _Offered(now_ms - REPEAT_MS))
                if offered.declined != declined:
                    continue
                reachable.add(offer.flow)
                if budget and now_ms - offered.at_ms >= REPEAT_MS:
                    budget -= 1
                    offered.at_ms = now_ms
                    self._giver.send_offer(offer)
            self._ask_again(now_ms, declined, reachable)

    def _ask_again(self, now_ms: int, declined: frozenset[str],
                   reachable: set[ids.FlowKey]) -> None:
        """Forgets the refusals of flows that every member declined."""
        if not declined:
            return
        for flow, offered in self._offered.items():
            if (offered.declined == declined and flow not in reachable and
                    now_ms - offered.at_ms >= DECLINED_MS):
                offered.declined = frozenset()
