"""Whether a balancer may route packets at present.

Explanation
===========

A balancer serves once its replica is fresh, and until it exits: it goes on
forwarding while it stops. It does not route while it knows that it is behind.
Both follow from its freshness, which the gossip controller knows.

Examples
========

>>> class Fresh(Freshness):
...     can_serve = True
...     def is_behind(self, now_ms):
...         return now_ms > 7000
>>> gate = ServingGate(Fresh())
>>> gate.state
<ServingState.SERVING: 'serving'>
>>> gate.drop_reason(7000)
>>> gate.drop_reason(7001)
<DropReason.BEHIND: 'behind'>
"""

import typing

from figdrum.core import states
from figdrum.routing import drop_reason


class Freshness(typing.Protocol):
    """What the gate asks, for example `sync.gossip.GossipController`."""

    @property
    def can_serve(self) -> bool:
        """Whether the fresh-node rule has been met; it stays met."""

    def is_behind(self, now_ms: int) -> bool:
        """Returns whether the node knows that it is behind."""


class ServingGate:
    """The serving state of a balancer."""

    def __init__(self, freshness: Freshness):
        self._freshness = freshness
        self._stopping = False

    @property
    def state(self) -> states.ServingState:
        """The present state."""
        if self._stopping:
            return states.ServingState.STOPPING
        if self._freshness.can_serve:
            return states.ServingState.SERVING
        return states.ServingState.STARTING

    def stop(self) -> None:
        """Notes that the process is about to exit."""
        self._stopping = True

    def drop_reason(self, now_ms: int) -> drop_reason.DropReason | None:
        """Returns why packets are dropped, or None while they are routed."""
        if not self._freshness.can_serve:
            return drop_reason.DropReason.NOT_SERVING
        if self._freshness.is_behind(now_ms):
            return drop_reason.DropReason.BEHIND
        return None
