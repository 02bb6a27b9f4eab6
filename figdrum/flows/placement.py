"""Chooses the target of a new flow.

Explanation
===========

The first few eligible targets in the flow's rendezvous order are its
candidates, and the least loaded of them gets it. Few candidates keep the search
for the flow's owner short; two or more even out the load almost as well as a
choice among all.

References
==========

Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import collections.abc

from figdrum.core import ids
from figdrum.flows import target_view

# Candidates of a flow.
CANDIDATE_COUNT = 3

# Load, in requests in progress per slot, that a target in another zone must be
# below one in the balancer's own zone to be chosen instead.
OTHER_ZONE_PENALTY = 0.05

# Load that a cold target must be below a warm one: a cold one is slower and
# takes few opening packets.
COLD_PENALTY = 0.5


def eligible_targets(
        now_ms: int, ordered: collections.abc.Iterable[target_view.TargetView],
        zones_out: collections.abc.Container[ids.ZoneName],
        tried: collections.abc.Container[str]) -> list[target_view.TargetView]:
    """Returns the targets that may get a new flow, in the given order.

    Targets whose agents are silent are left out unless only such are left.

    Args:
      now_ms: Time.
      ordered: Targets of the service in the flow's order.
      zones_out: Zones that operators have taken out.
      tried: Names of targets that have refused the flow.
    """
    ready = [
        view for view in ordered if view.is_ready() and
        view.name not in tried and view.registration.zone not in zones_out
    ]
    answering = [view for view in ready if not view.is_silent(now_ms)]
    return answering or ready


def choose_target(candidates: collections.abc.Sequence[target_view.TargetView],
                  own_zone: ids.ZoneName,
                  busy_per_flow: float) -> target_view.TargetView | None:
    """Returns the best of the first candidates, or None if there is none."""

    def cost(view: target_view.TargetView) -> float:
        load = view.load(busy_per_flow)
        if view.registration.zone != own_zone:
            load += OTHER_ZONE_PENALTY
        if view.is_cold():
            load += COLD_PENALTY
        return load

    return min(candidates[:CANDIDATE_COUNT], key=cost, default=None)
