"""Checks with the target that a heartbeat is its own.

Explanation
===========

Any process can send a heartbeat to an agent, and one of a crashed target may
arrive late. Only the target itself, at its own address, can say which target
runs there: its health response has its name. A heartbeat with another name than
the last one that the target stated is kept until the target has been asked.

A target may not answer, since the request waits for a free slot. So a second
heartbeat is accepted in place of an answer, if the known target has missed one.
This is enough to admit flows, but proves nothing about the flows of an earlier
target.

Examples
========

>>> check = IdentityCheck(1200)
>>> beat = target.Heartbeat('i-2', 'booking', target.TargetState.READY, 1, 0,
...                         1)
>>> check.add(1000, 7, beat)
>>> check.try_start_query(1000), check.try_start_query(1100)
(True, False)
>>> check.on_stated('i-1') is None, check.has_pending
(True, False)
"""

import typing

from figdrum.flows import target

# Heartbeats kept at most, one for each name. An agent has one target; more
# names mean that another process sends heartbeats.
MAX_NAMES = 4

# Shortest time in ms between two health requests; each occupies a slot.
QUERY_PERIOD_MS = 500

# Time in heartbeat periods after which a heartbeat is discarded.
MAX_AGE_PERIODS = 3

# Time in heartbeat periods without a heartbeat after which the known target has
# missed one.
MISSED_PERIODS = 2


class Unconfirmed(typing.NamedTuple):
    """The newest heartbeat with some name.

    Attributes:
      first_ms: Time of the first heartbeat of the same incarnation.
      arrived_ms: Time of this one.
      started_ms: Start of the incarnation, by the target's clock.
      heartbeat: The heartbeat.
    """
    first_ms: int
    arrived_ms: int
    started_ms: int
    heartbeat: target.Heartbeat


class IdentityCheck:
    """The target's name by its own word, and heartbeats with other names.

    Attributes:
      stated_name: Name in the target's last health response, empty before one.
    """

    def __init__(self, period_ms: int):
        self.stated_name = ''
        self._period_ms = period_ms
        self._by_name: dict[str, Unconfirmed] = {}
        self._query_ms: int | None = None

    @property
    def has_pending(self) -> bool:
        """Whether a heartbeat waits for the target's answer."""
        return bool(self._by_name)

    def add(self, now_ms: int, started_ms: int,
            heartbeat: target.Heartbeat) -> None:
        """Adds a heartbeat, unless a later one of its incarnation is kept."""
        self.expire(now_ms)
        known = self._by_name.pop(heartbeat.target, None)
        first_ms = now_ms
        if known is not None and known.started_ms == started_ms:
            if heartbeat.sequence <= known.heartbeat.sequence:
                heartbeat = known.heartbeat
            first_ms = known.first_ms
        self._by_name[heartbeat.target] = Unconfirmed(first_ms, now_ms,
                                                      started_ms, heartbeat)
        if len(self._by_name) > MAX_NAMES:
            del self._by_name[next(iter(self._by_name))]

    def try_start_query(self, now_ms: int) -> bool:
        """Records the start of a query and returns True, if one is due."""
        if (self._query_ms is not None and
                now_ms - self._query_ms < QUERY_PERIOD_MS):
            return False
        self._query_ms = now_ms
        return True

    def on_stated(self, name: str) -> Unconfirmed | None:
        """Handles the target's answer; returns its heartbeat, if one waits.

        The others are discarded. One that arrived after the query is kept,
        since its target may have started after the answer.
        """
        self.stated_name = name
        confirmed = self._by_name.pop(name, None)
        query_ms = self._query_ms
        if query_ms is not None:
            self._by_name = {
                other: item
                for other, item in self._by_name.items()
                if item.arrived_ms > query_ms
            }
        return confirmed

    def take_repeated(self, now_ms: int,
                      last_known_ms: int | None) -> Unconfirmed | None:
        """Returns and removes a heartbeat that was repeated, or None.

        Args:
          now_ms: Time.
          last_known_ms: Time of the last heartbeat of the known target, or
            None.
        """
        if (last_known_ms is not None and
                now_ms - last_known_ms < MISSED_PERIODS * self._period_ms):
            return None
        # Late heartbeats may arrive together.
        return next(
            (self._by_name.pop(name)
             for name, item in tuple(self._by_name.items())
             if item.arrived_ms - item.first_ms >= self._period_ms // 2), None)

    def may_be_cold(self) -> bool:
        """Returns whether one of the targets is warming up."""
        return any(item.heartbeat.warmup_left_ms > 0
                   for item in self._by_name.values())

    def expire(self, now_ms: int) -> None:
        """Discards heartbeats that were not confirmed in time."""
        limit_ms = MAX_AGE_PERIODS * self._period_ms
        for name, item in tuple(self._by_name.items()):
            if now_ms - item.arrived_ms > limit_ms:
                del self._by_name[name]
