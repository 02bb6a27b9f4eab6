"""Failure detector of a balancer: finds agents that do not respond.

Explanation
===========

An agent's silence starts with the first frame sent to it after the last frame
received from it, so an agent to which nothing was sent is never suspected.
Pings start after 500 ms of silence. An agent is suspected after 1,500 ms of
silence, at least 1,000 ms of which must follow the first ping: when the limit
on the rate of pings delays that ping, the suspicion is delayed as well. Agents
treat a gap of 500 ms in their own clock as a pause, so an agent that is
suspected because it was paused always detects the pause.

A balancer that was paused itself may have unread frames in its socket buffer,
so a gap of 500 ms between two calls of `due_pings` restarts all silences.

Examples
========

>>> table = SuspicionTable()
>>> agent = ('10.0.0.1', 7000)
>>> table.on_sent(0, agent)
>>> [table.due_pings(t) for t in (100, 500)]
[(), (('10.0.0.1', 7000),)]
>>> for t in range(600, 1501, 100):
...     _ = table.due_pings(t)
>>> table.is_suspected(agent)
True
>>> table.on_heard(1600, agent)
>>> table.is_suspected(agent)
False
"""

import collections
import collections.abc
import dataclasses
import typing

from figdrum.core import ids
from figdrum.core import limits as limits_lib

TICK_MS = 100

_PING_WINDOW_MS = 1000


class SuspicionLimits(typing.NamedTuple):
    """Time limits and rate limit for pinging and suspecting agents.

    Attributes:
        ping_after_ms: Silence after which an agent is pinged, and the time
            between two pings of an agent that is not suspected.
        suspect_after_ms: Silence after which an agent is suspected.
        suspect_ping_ms: Time between two pings of a suspected agent.
        pings_per_s: Maximum number of pings to all agents in any 1,000 ms.
    """
    ping_after_ms: int = 500
    suspect_after_ms: int = limits_lib.SUSPECT_AFTER_MS
    suspect_ping_ms: int = 1000
    pings_per_s: int = 10


@dataclasses.dataclass(slots=True)
class _Silence:
    since_ms: int
    next_ping_ms: int
    first_ping_ms: int | None = None


class SuspicionTable:
    """Agents that have not responded since the last frame sent to them."""

    def __init__(self, limits: SuspicionLimits = SuspicionLimits()):
        self._limits = limits
        # Ordered by `since_ms`, because new entries are appended only.
        self._silent: dict[ids.Address, _Silence] = {}
        self._suspected: dict[ids.Address, int] = {}
        self._ping_times: collections.deque[int] = collections.deque()
        self._last_tick_ms: int | None = None

    def on_sent(self, now_ms: int, agent: ids.Address) -> None:
        """Records that a frame other than a ping was sent to `agent`."""
        if agent not in self._silent and agent not in self._suspected:
            self._silent[agent] = self._new_silence(now_ms)

    def on_heard(self, now_ms: int, agent: ids.Address) -> None:
        """Records a frame from `agent`; ends its silence and suspicion."""
        del now_ms
        self._silent.pop(agent, None)
        self._suspected.pop(agent, None)

    def is_suspected(self, agent: ids.Address) -> bool:
        """Returns True if routing skips `agent` because it is suspected."""
        return agent in self._suspected

    @property
    def any_suspected(self) -> bool:
        """Whether at least one agent is suspected."""
        return bool(self._suspected)

    def suspected(self) -> tuple[ids.Address, ...]:
        """Returns the addresses of the suspected agents."""
        return tuple(self._suspected)

    def retain(self, agents: collections.abc.Container[ids.Address]) -> None:
        """Discards all agents that are not in `agents`.

        Args:
            agents: Frame addresses of the members of all service lists.
        """
        self._silent = {a: s for a, s in self._silent.items() if a in agents}
        self._suspected = {
            a: at for a, at in self._suspected.items() if a in agents
        }

    def due_pings(self, now_ms: int) -> tuple[ids.Address, ...]:
        """Suspects agents that are silent for too long; returns whom to ping.

        Call this every `TICK_MS`.

        Args:
            now_ms: Own clock.

        Returns:
            The agents whose pings are due, the most overdue first, limited so
            that no more than `pings_per_s` pings are sent in any 1,000 ms.
        """
        if (self._last_tick_ms is not None and
                now_ms - self._last_tick_ms >= limits_lib.WAKE_GAP_MS):
            self._restart_silences(now_ms)
        self._last_tick_ms = now_ms
        self._suspect_silent(now_ms)
        return self._select_pings(now_ms)

    def _restart_silences(self, now_ms: int) -> None:
        self._silent = {
            agent: self._new_silence(now_ms) for agent in self._silent
        }

    def _new_silence(self, now_ms: int) -> _Silence:
        return _Silence(now_ms, now_ms + self._limits.ping_after_ms)

    def _suspect_silent(self, now_ms: int) -> None:
        limits = self._limits
        latest_first_ping_ms = now_ms - (limits.suspect_after_ms -
                                         limits.ping_after_ms)
        due = []
        for agent, silence in self._silent.items():
            if silence.since_ms > now_ms - limits.suspect_after_ms:
                break
            first = silence.first_ping_ms
            if first is not None and first <= latest_first_ping_ms:
                due.append(agent)
        for agent in due:
            del self._silent[agent]
            self._suspected[agent] = now_ms + self._limits.suspect_ping_ms

    def _select_pings(self, now_ms: int) -> tuple[ids.Address, ...]:
        while (self._ping_times and
               self._ping_times[0] <= now_ms - _PING_WINDOW_MS):
            self._ping_times.popleft()
        remaining = self._limits.pings_per_s - len(self._ping_times)
        due = [
            (at, agent) for agent, at in self._suspected.items() if at <= now_ms
        ]
        for agent, silence in self._silent.items():
            if silence.since_ms > now_ms - self._limits.ping_after_ms:
                break
            if silence.next_ping_ms <= now_ms:
                due.append((silence.next_ping_ms, agent))
        chosen = tuple(agent for _, agent in sorted(due)[:remaining])
        for agent in chosen:
            self._record_ping(now_ms, agent)
        return chosen

    def _record_ping(self, now_ms: int, agent: ids.Address) -> None:
        self._ping_times.append(now_ms)
        if agent in self._suspected:
            self._suspected[agent] = now_ms + self._limits.suspect_ping_ms
            return
        silence = self._silent[agent]
        silence.next_ping_ms = now_ms + self._limits.ping_after_ms
        if silence.first_ping_ms is None:
            silence.first_ping_ms = now_ms
