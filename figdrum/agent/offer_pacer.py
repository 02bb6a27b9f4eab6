"""Offers held flows to other members until each is accepted.

Explanation
===========

The owner chooses one member at a time for each flow, see
`figdrum.ownership.offers`; this module limits the rate of the offers.
"""

import abc
import collections.abc

from figdrum.ownership import actions

OFFER_REPEAT_MS = 300
RETRY_AFTER_DECLINE_MS = 1_000
# Limits the burst of offers when an agent with 2,000 flows leaves.
OFFERS_PER_TICK = 200


class OfferSender(abc.ABC):
    """An agent that offers its flows to other members."""

    @abc.abstractmethod
    def offers(self) -> collections.abc.Iterable[actions.Offer]:
        """Returns the current offer of each held flow."""

    @abc.abstractmethod
    def send_offer(self, offer: actions.Offer) -> None:
        """Sends one offer."""


class OfferPacer:
    """Sends the offers of one agent at a limited rate.

    Args:
      offer_sender: The agent.
    """

    def __init__(self, offer_sender: OfferSender):
        self._offer_sender = offer_sender
        self._sent_ms: dict[actions.Offer, int] = {}

    def tick(self, now_ms: int) -> None:
        """Sends the offers that are due; call it every 100 ms."""
        remaining = OFFERS_PER_TICK
        sent_ms = {}
        for offer in self._offer_sender.offers():
            # After a decline the next attempt waits, so that members can
            # free capacity.
            last_ms = self._sent_ms.get(
                offer,
                now_ms - OFFER_REPEAT_MS if not offer.attempt else now_ms +
                RETRY_AFTER_DECLINE_MS - OFFER_REPEAT_MS)
            if remaining and now_ms - last_ms >= OFFER_REPEAT_MS:
                remaining -= 1
                last_ms = now_ms
                self._offer_sender.send_offer(offer)
            sent_ms[offer] = last_ms
        self._sent_ms = sent_ms
