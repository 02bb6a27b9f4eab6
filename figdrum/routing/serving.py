"""Decides whether a balancer routes packets.

Explanation
===========

A balancer routes packets from the time its replica is fresh until the process
exits, that is also while it is stopping. It drops packets while it knows that
its replica is behind. The gossip controller provides both conditions.

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
    """State of the replica, for example `sync.gossip.GossipController`."""

    @property
    def can_serve(self) -> bool:
        """Whether the replica has been fresh once since the process started."""

    def is_behind(self, now_ms: int) -> bool:
        """Returns whether the replica is known to lack a contract change."""


class ServingGate:
    """Serving state of a balancer, derived from its replica's freshness."""

    def __init__(self, freshness: Freshness):
        self._freshness = freshness
        self._stopping = False

    @property
    def state(self) -> states.ServingState:
        """The current state; `STOPPING` from the call of `stop` on."""
        if self._stopping:
            return states.ServingState.STOPPING
        if self._freshness.can_serve:
            return states.ServingState.SERVING
        return states.ServingState.STARTING

    def stop(self) -> None:
        """Records that the process is stopping; packets are still routed."""
        self._stopping = True

    def drop_reason(self, now_ms: int) -> drop_reason.DropReason | None:
        """Returns why packets are dropped now, or None if they are routed."""
        if not self._freshness.can_serve:
            return drop_reason.DropReason.NOT_SERVING
        if self._freshness.is_behind(now_ms):
            return drop_reason.DropReason.BEHIND
        return None
