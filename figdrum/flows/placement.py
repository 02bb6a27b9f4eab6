"""Chooses the target of a new flow.

Explanation
===========

The first few eligible targets in the flow's order on a hash ring are its
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
from figdrum.flows import load_estimate
from figdrum.flows import target_view

# Number of candidates of a flow.
CANDIDATE_COUNT = 3

# Number of targets that may decline an opening packet because they are busy. An
# agent's report is older than most requests last, so only the agent knows
# whether its target has a free slot. Each attempt takes one round trip of a
# message between zones.
MAX_DECLINES = 4

# Added to the load of a target in another zone, in times the work of a request,
# so that targets in the balancer's own zone are preferred.
OTHER_ZONE_PENALTY = 0.05

# Added in the same way to the load of a cold target, which is slower and
# accepts few opening packets.
COLD_PENALTY = 0.5


def eligible_targets(now_ms: int,
                     ordered: collections.abc.Iterable[target_view.TargetView],
                     zones_out: collections.abc.Container[ids.ZoneName],
                     excluded: collections.abc.Container[str],
                     count: int) -> list[target_view.TargetView]:
    """Returns the first targets that can get a new flow, in the given order.

    Targets with silent agents are included only if there are no others.

    Args:
      now_ms: Time.
      ordered: Targets of the service in the flow's order.
      zones_out: Zones that operators have taken out.
      excluded: Names of targets that have refused the flow or did not answer.
      count: Largest number of targets.
    """
    ready = (view for view in ordered
             if view.is_ready() and view.name not in excluded and
             view.registration.zone not in zones_out)
    answering: list[target_view.TargetView] = []
    silent: list[target_view.TargetView] = []
    for view in ready:
        (silent if view.is_silent(now_ms) else answering).append(view)
        if len(answering) == count:
            break
    return answering or silent[:count]


def choose_target(
        now_ms: int,
        candidates: collections.abc.Sequence[target_view.TargetView],
        own_zone: ids.ZoneName,
        service: load_estimate.ServiceLoad) -> target_view.TargetView | None:
    """Returns the least loaded candidate, or None if there is none.

    Args:
      now_ms: Time.
      candidates: Eligible targets in the flow's order; only the first few
        count.
      own_zone: Zone of the balancer.
      service: Load of the service.
    """

    def cost(view: target_view.TargetView) -> float:
        load_ms = service.wait_ms(now_ms, view.load)
        if view.registration.zone != own_zone:
            load_ms += OTHER_ZONE_PENALTY * service.work_ms
        if view.is_cold():
            load_ms += COLD_PENALTY * service.work_ms
        return load_ms

    return min(candidates[:CANDIDATE_COUNT], key=cost, default=None)


def least_busy_target(
    candidates: collections.abc.Iterable[target_view.TargetView],
    requests: collections.abc.Mapping[str,
                                      int]) -> target_view.TargetView | None:
    """Returns the target for an opening packet that no target may decline.

    It is the one with the fewest requests per slot when it declined, or None if
    no eligible target has declined.

    Args:
      candidates: Eligible targets in the flow's order.
      requests: Requests at each target that has declined the packet, by name.
    """
    return min((view for view in candidates if view.name in requests),
               key=lambda view: requests[view.name] / view.slots,
               default=None)
