"""Divides a customer's limits among the members of a service.

Explanation
===========

Members share no counter. Each takes the whole part of limit / n and the first
members in name order take the remainder, so that the shares of one list add up
to the limit exactly. While a leaver's flows last, the total may exceed the
limit by the leaver's share, ceil(limit / n).

Examples
========

>>> [share(5, ('a', 'b', 'c'), name) for name in 'abc']
[2, 2, 1]
>>> share(5, ('a', 'b'), 'z')
0

References
==========

docs/design.md, section 5.6.
"""

import collections.abc
import typing

from figdrum.core import clock


class Limits(typing.NamedTuple):
    """A customer's limits for one service; None is no limit.

    Attributes:
      flows: Flows held at once.
      new_flows: New flows a second.
      requests: Requests in progress or queued at once.
    """
    flows: int | None = None
    new_flows: int | None = None
    requests: int | None = None


def share(limit: int, names: collections.abc.Collection[str], name: str) -> int:
    """Returns the part of `limit` that member `name` may use.

    Args:
      limit: The customer's limit.
      names: Admitting members.
      name: The member in question; a name that is not admitting gets 0.
    """
    ordered = sorted(names)
    if name not in ordered:
        return 0
    whole, rest = divmod(max(0, limit), len(ordered))
    return whole + (1 if ordered.index(name) < rest else 0)


def share_of(limits: Limits, names: collections.abc.Collection[str],
             name: str) -> Limits:
    """Returns the part of each of `limits` that member `name` may use."""
    return Limits(*[
        None if limit is None else share(limit, names, name) for limit in limits
    ])


class TokenBucket:
    """Allows `rate` events a second with a burst of one second's worth."""

    def __init__(self, now_ms: int, rate: float):
        self._rate = rate
        self._tokens = float(rate)
        self._at_ms = now_ms

    def set_rate(self, now_ms: int, rate: float) -> None:
        """Changes the rate; tokens beyond the new burst are lost."""
        self._refill(now_ms)
        self._rate = rate
        self._tokens = min(self._tokens, rate)

    def has_token(self, now_ms: int) -> bool:
        """Returns True if an event is allowed now."""
        self._refill(now_ms)
        return self._tokens >= 1

    def take(self, now_ms: int) -> bool:
        """Uses a token if there is one."""
        if not self.has_token(now_ms):
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_ms: int) -> None:
        passed_ms = max(0, now_ms - self._at_ms)
        self._at_ms = max(self._at_ms, now_ms)
        self._tokens = min(
            self._rate, self._tokens + self._rate * passed_ms / clock.MS_PER_S)
