"""Packets and questions that wait for a newer list of the service."""

import collections.abc
import typing

from twisted.internet import defer

from figdrum.messages import datagram

MAX_PARKED = 1_000


class _Parked(typing.NamedTuple):
    until_ms: int
    packet: datagram.Packet


class _Waiting(typing.NamedTuple):
    until_ms: int
    list_version: int
    done: defer.Deferred


class ListWaits:
    """Parks packets and holds back questions for a bounded time.

    Args:
      park_ms: Longest time that anything waits.
      fetch: Asks the balancers for the list.

    Attributes:
      fetch: As above.
    """

    def __init__(self, park_ms: int, fetch: collections.abc.Callable[[], None]):
        self._park_ms = park_ms
        self.fetch = fetch
        self._parked: list[_Parked] = []
        self._waiting: list[_Waiting] = []

    def park(self, now_ms: int, packet: datagram.Packet) -> bool:
        """Keeps a packet; returns False if there are too many."""
        if len(self._parked) >= MAX_PARKED:
            return False
        self._parked.append(_Parked(now_ms + self._park_ms, packet))
        self.fetch()
        return True

    def wait(self, now_ms: int, list_version: int) -> defer.Deferred:
        """Returns a Deferred that fires with the list or in vain."""
        done: defer.Deferred = defer.Deferred()
        self._waiting.append(
            _Waiting(now_ms + self._park_ms, list_version, done))
        self.fetch()
        return done

    def on_list(self, list_version: int) -> tuple[datagram.Packet, ...]:
        """Ends the waits that a list ends; returns the packets to decide."""
        ready = tuple(item.packet
                      for item in self._parked
                      if item.packet.list_version <= list_version)
        self._parked = [
            item for item in self._parked
            if item.packet.list_version > list_version
        ]
        self._end(lambda item: item.list_version <= list_version)
        return ready

    def expire(self, now_ms: int) -> int:
        """Ends the waits that lasted too long; returns the packets dropped."""
        kept = [item for item in self._parked if item.until_ms > now_ms]
        dropped = len(self._parked) - len(kept)
        self._parked = kept
        self._end(lambda item: item.until_ms <= now_ms)
        return dropped

    def _end(self, over: collections.abc.Callable[[_Waiting], bool]) -> None:
        ended = [item for item in self._waiting if over(item)]
        self._waiting = [item for item in self._waiting if not over(item)]
        for item in ended:
            item.done.callback(None)
