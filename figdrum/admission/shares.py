"""Divides a customer's limits among the members of a service.

Explanation
===========

Members share no counter. Each member's share is floor(limit / n), and the first
members in name order get one more each until the remainder is used up, so the
shares by one list add up to the limit exactly. As long as a leaving member
still holds flows, the total can exceed the limit by that member's share, at
most ceil(limit / n).

Examples
========

>>> [member_share(5, ('a', 'b', 'c'), name) for name in 'abc']
[2, 2, 1]
>>> member_share(5, ('a', 'b'), 'z')
0

References
==========

docs/design.md, section 5.6.
"""

import collections.abc
import typing

from figdrum.core import clock


class Limits(typing.NamedTuple):
    """A customer's limits for one service; None means unlimited.

    Attributes:
      flows: Maximum number of flows held.
      new_flows: Maximum number of new flows per second.
      requests: Maximum number of requests in progress or queued.
    """
    flows: int | None = None
    new_flows: int | None = None
    requests: int | None = None


def member_share(limit: int, names: collections.abc.Collection[str],
                 name: str) -> int:
    """Returns the share of `limit` that member `name` can use.

    Args:
      limit: The customer's limit.
      names: Names of the members that admit flows.
      name: Name of the member; the share is 0 if it is not in `names`.
    """
    ordered = sorted(names)
    if name not in ordered:
        return 0
    quotient, remainder = divmod(max(0, limit), len(ordered))
    return quotient + (1 if ordered.index(name) < remainder else 0)


def member_limits(limits: Limits, names: collections.abc.Collection[str],
                  name: str) -> Limits:
    """Returns the share of each of `limits` that member `name` can use."""
    return Limits(*[
        None if limit is None else member_share(limit, names, name)
        for limit in limits
    ])


class RateLimiter:
    """Allows `rate` events per second with bursts of up to `rate` events."""

    def __init__(self, now_ms: int, rate: float):
        self._rate = rate
        self._tokens = float(rate)
        self._refilled_ms = now_ms

    def set_rate(self, now_ms: int, rate: float) -> None:
        """Changes the rate and discards tokens beyond the new burst size."""
        self._refill(now_ms)
        self._rate = rate
        self._tokens = min(self._tokens, rate)

    def has_token(self, now_ms: int) -> bool:
        """Returns True if an event is allowed now."""
        self._refill(now_ms)
        return self._tokens >= 1

    def take(self, now_ms: int) -> bool:
        """Takes a token and returns True if an event is allowed now."""
        if not self.has_token(now_ms):
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._refilled_ms)
        self._refilled_ms = max(self._refilled_ms, now_ms)
        self._tokens = min(
            self._rate, self._tokens + self._rate * elapsed_ms / clock.MS_PER_S)
