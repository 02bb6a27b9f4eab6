"""Chooses the target of a new flow.

Explanation
===========

The first few eligible targets in the flow's rendezvous order are its
candidates, and the flow goes to the least loaded of them. With few candidates,
another balancer finds the flow's owner after few queries. Two or more balance
the load almost as well as a choice among all targets.

References
==========

Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import collections.abc

from figdrum.core import ids
from figdrum.flows import target_view

# Number of candidates of a flow.
CANDIDATE_COUNT = 3

# Added to the load (requests in progress per slot) of a target in another zone,
# so that targets in the balancer's own zone are preferred.
OTHER_ZONE_PENALTY = 0.05

# Added to the load of a cold target, which is slower and accepts few opening
# packets.
COLD_PENALTY = 0.5


def eligible_targets(
        now_ms: int, ordered: collections.abc.Iterable[target_view.TargetView],
        zones_out: collections.abc.Container[ids.ZoneName],
        excluded: collections.abc.Container[str]
) -> list[target_view.TargetView]:
    """Returns the targets that can get a new flow, in the given order.

    Targets with silent agents are included only if there are no others.

    Args:
      now_ms: Time.
      ordered: Targets of the service in the flow's rendezvous order.
      zones_out: Zones that operators have taken out.
      excluded: Names of targets that have refused the flow or did not answer.
    """
    ready = [
        view for view in ordered if view.is_ready() and
        view.name not in excluded and view.registration.zone not in zones_out
    ]
    answering = [view for view in ready if not view.is_silent(now_ms)]
    return answering or ready


def choose_target(candidates: collections.abc.Sequence[target_view.TargetView],
                  own_zone: ids.ZoneName,
                  busy_per_flow: float) -> target_view.TargetView | None:
    """Returns the least loaded candidate, or None if there is none.

    Args:
      candidates: Eligible targets in the flow's order; only the first few
        count.
      own_zone: Zone of the balancer.
      busy_per_flow: Requests in progress per open flow of the service.
    """

    def cost(view: target_view.TargetView) -> float:
        load = view.load(busy_per_flow)
        if view.registration.zone != own_zone:
            load += OTHER_ZONE_PENALTY
        if view.is_cold():
            load += COLD_PENALTY
        return load

    return min(candidates[:CANDIDATE_COUNT], key=cost, default=None)
