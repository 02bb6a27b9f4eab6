"""Which agents a balancer passes over because they do not answer.

Explanation
===========

The silence of an agent starts with the first frame sent to it after it was last
heard; an agent that was sent nothing is never suspected. Pings start after
500 ms of silence. An agent is suspected after 1,500 ms of silence, of which at
least 1,000 ms passed after the first ping: when the limit on pings delays that
one, the suspicion waits too. Agents treat a gap of 500 ms in their own clock as
a pause, so an agent that is suspected because it was paused always notices.

A balancer that was paused itself has unread answers, so a gap between two calls
of `due_pings` starts all silences anew.

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

_WINDOW_MS = 1000


class SuspicionLimits(typing.NamedTuple):
    """When an agent is pinged and suspected.

    Attributes:
        ping_after_ms: Silence after which it is pinged, and time between pings.
        suspect_after_ms: Silence after which it is suspected.
        suspect_ping_ms: Time between pings of a suspected agent.
        pings_per_s: Most pings in any 1,000 ms.
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
    """The agents that owe a sign of life, by address."""

    def __init__(self, limits: SuspicionLimits = SuspicionLimits()):
        self._limits = limits
        # Ordered by `since_ms`, as silences are only added at the end.
        self._silent: dict[ids.Address, _Silence] = {}
        self._suspected: dict[ids.Address, int] = {}
        self._ping_times: collections.deque[int] = collections.deque()
        self._last_tick_ms: int | None = None

    def on_sent(self, now_ms: int, agent: ids.Address) -> None:
        """Notes that a frame that is not a ping was sent to `agent`."""
        if agent not in self._silent and agent not in self._suspected:
            self._silent[agent] = self._silence(now_ms)

    def on_heard(self, now_ms: int, agent: ids.Address) -> None:
        """Notes any frame from `agent`; ends its silence and suspicion."""
        del now_ms
        self._silent.pop(agent, None)
        self._suspected.pop(agent, None)

    def is_suspected(self, agent: ids.Address) -> bool:
        """Returns True if `agent` is to be passed over."""
        return agent in self._suspected

    @property
    def any_suspected(self) -> bool:
        """True if at least one agent is suspected."""
        return bool(self._suspected)

    def suspected(self) -> tuple[ids.Address, ...]:
        """Returns the suspected agents."""
        return tuple(self._suspected)

    def keep_only(self, agents: collections.abc.Container[ids.Address]) -> None:
        """Forgets agents that are in no list any more."""
        self._silent = {a: s for a, s in self._silent.items() if a in agents}
        self._suspected = {
            a: at for a, at in self._suspected.items() if a in agents
        }

    def due_pings(self, now_ms: int) -> tuple[ids.Address, ...]:
        """Moves silent agents to suspicion and returns the agents to ping now.

        Args:
            now_ms: Own clock; call this each `TICK_MS`.

        Returns:
            Agents in order of how long their ping is overdue, so few that no
            1,000 ms see more than `pings_per_s` pings.
        """
        if (self._last_tick_ms is not None and
                now_ms - self._last_tick_ms >= limits_lib.WAKE_GAP_MS):
            self._restart(now_ms)
        self._last_tick_ms = now_ms
        self._suspect_silent(now_ms)
        return self._take_pings(now_ms)

    def _restart(self, now_ms: int) -> None:
        self._silent = {agent: self._silence(now_ms) for agent in self._silent}

    def _silence(self, now_ms: int) -> _Silence:
        return _Silence(now_ms, now_ms + self._limits.ping_after_ms)

    def _suspect_silent(self, now_ms: int) -> None:
        limits = self._limits
        pinged_by = now_ms - (limits.suspect_after_ms - limits.ping_after_ms)
        due = []
        for agent, silence in self._silent.items():
            if silence.since_ms > now_ms - limits.suspect_after_ms:
                break
            first = silence.first_ping_ms
            if first is not None and first <= pinged_by:
                due.append(agent)
        for agent in due:
            del self._silent[agent]
            self._suspected[agent] = now_ms + self._limits.suspect_ping_ms

    def _take_pings(self, now_ms: int) -> tuple[ids.Address, ...]:
        while (self._ping_times and self._ping_times[0] <= now_ms - _WINDOW_MS):
            self._ping_times.popleft()
        room = self._limits.pings_per_s - len(self._ping_times)
        due = [
            (at, agent) for agent, at in self._suspected.items() if at <= now_ms
        ]
        for agent, silence in self._silent.items():
            if silence.since_ms > now_ms - self._limits.ping_after_ms:
                break
            if silence.next_ping_ms <= now_ms:
                due.append((silence.next_ping_ms, agent))
        chosen = tuple(agent for _, agent in sorted(due)[:room])
        for agent in chosen:
            self._note_ping(now_ms, agent)
        return chosen

    def _note_ping(self, now_ms: int, agent: ids.Address) -> None:
        self._ping_times.append(now_ms)
        if agent in self._suspected:
            self._suspected[agent] = now_ms + self._limits.suspect_ping_ms
            return
        silence = self._silent[agent]
        silence.next_ping_ms = now_ms + self._limits.ping_after_ms
        if silence.first_ping_ms is None:
            silence.first_ping_ms = now_ms
