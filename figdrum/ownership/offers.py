"""Offers of a leaving agent's flows to the other members.

Explanation
===========

A flow is state to one member at a time, until that member declines or is no
longer a candidate, because two members could both accept two open offers. When
all members have declined, a new attempt starts. A member that declined an
attempt never accepts it later.
"""

import collections.abc
import typing

from figdrum.core import ids
from figdrum.membership import service_list
from figdrum.messages import datagram

_MAX_DECLINED = 20_000


class OfferState(typing.NamedTuple):
    """State of the offers of one flow.

    Attributes:
      to: Member that has the open offer, or None without an open offer.
      declined: Members that declined this attempt.
      attempt: Number of the attempt.
    """
    to: service_list.Member | None = None
    declined: frozenset[str] = frozenset()
    attempt: int = 0


def choose(
        state: OfferState,
        candidates: collections.abc.Sequence[service_list.Member]
) -> OfferState:
    """Returns the offer to send now.

    Args:
      state: State after the last offer.
      candidates: Active members that are not suspected, in the rendezvous
        order of the flow.

    Returns:
      The same offer while its member is a candidate. Otherwise an offer to the
      first candidate that has not declined this attempt, or to the first
      candidate in a new attempt if all have declined.

    Examples
    ========

    >>> from figdrum.core import states
    >>> one = service_list.Member('a', ('10.0.0.1', 7000), 'muscat-a', 1,
    ...                           states.MemberState.ACTIVE)
    >>> choose(OfferState(declined=frozenset('a')), [one]).attempt
    1
    """
    if state.to in candidates:
        return state
    remaining = [m for m in candidates if m.name not in state.declined]
    if not remaining and candidates and state.declined:
        return OfferState(candidates[0], frozenset(), state.attempt + 1)
    return state._replace(to=remaining[0] if remaining else None)


def on_reply(state: OfferState,
             reply: datagram.HandoverReply) -> OfferState | None:
    """Returns the state after a reply, or None if it answers another offer."""
    if (state.to is None or state.to.name != reply.name or
            state.attempt != reply.attempt):
        return None
    if reply.accepted:
        return state
    return state._replace(to=None, declined=state.declined | {reply.name})


class DeclinedOffers:
    """Offers that this agent declined: the last attempt by member and flow."""

    def __init__(self):
        self._attempts: dict[tuple[str, ids.FlowKey], tuple[int, int]] = {}

    def is_declined(self, handover: datagram.Handover) -> bool:
        """Returns whether this offer or a later attempt was declined before."""
        found = self._attempts.get((handover.leaving_member, handover.flow))
        return found is not None and handover.attempt <= found[0]

    def is_full(self) -> bool:
        """Returns whether no further declined offer can be recorded."""
        return len(self._attempts) >= _MAX_DECLINED

    def add(self, now_ms: int, handover: datagram.Handover) -> None:
        """Records that this offer was declined."""
        self._attempts[(handover.leaving_member,
                        handover.flow)] = (handover.attempt, now_ms)

    def expire(self, limit_ms: int) -> None:
        """Removes the offers that were declined at or before `limit_ms`."""
        self._attempts = {
            key: value
            for key, value in self._attempts.items()
            if value[1] > limit_ms
        }
