"""Packets and operations that wait for a newer list of the service."""

import collections.abc
import typing

from twisted.internet import defer

from figdrum.messages import datagram

MAX_PARKED = 1_000


class _Parked(typing.NamedTuple):
    expires_ms: int
    packet: datagram.Packet


class _Waiter(typing.NamedTuple):
    expires_ms: int
    list_version: int
    done: defer.Deferred


class ListWaits:
    """Holds packets and operations back for a limited time.

    Args:
      park_ms: Time limit for each wait, in ms.
      fetch: Asks the balancers for the list.

    Attributes:
      fetch: Asks the balancers for the list.
    """

    def __init__(self, park_ms: int, fetch: collections.abc.Callable[[], None]):
        self._park_ms = park_ms
        self.fetch = fetch
        self._parked: list[_Parked] = []
        self._waiters: list[_Waiter] = []

    def park(self, now_ms: int, packet: datagram.Packet) -> bool:
        """Holds a packet back; returns False if too many wait already."""
        if len(self._parked) >= MAX_PARKED:
            return False
        self._parked.append(_Parked(now_ms + self._park_ms, packet))
        self.fetch()
        return True

    def wait(self, now_ms: int, list_version: int) -> defer.Deferred:
        """Waits for a list.

        Returns:
          A Deferred that fires with None when the list has `list_version` or
          the time limit has passed.
        """
        done: defer.Deferred = defer.Deferred()
        self._waiters.append(_Waiter(now_ms + self._park_ms, list_version,
                                     done))
        self.fetch()
        return done

    def on_list(self, list_version: int) -> tuple[datagram.Packet, ...]:
        """Ends the waits for this list; returns the packets to decide on."""
        ready = tuple(item.packet
                      for item in self._parked
                      if item.packet.list_version <= list_version)
        self._parked = [
            item for item in self._parked
            if item.packet.list_version > list_version
        ]
        self._complete(lambda item: item.list_version <= list_version)
        return ready

    def expire(self, now_ms: int) -> int:
        """Ends expired waits; returns the number of packets dropped."""
        kept = [item for item in self._parked if item.expires_ms > now_ms]
        dropped = len(self._parked) - len(kept)
        self._parked = kept
        self._complete(lambda item: item.expires_ms <= now_ms)
        return dropped

    def _complete(self, has_ended: collections.abc.Callable[[_Waiter],
                                                            bool]) -> None:
        ended = [item for item in self._waiters if has_ended(item)]
        self._waiters = [item for item in self._waiters if not has_ended(item)]
        for item in ended:
            item.done.callback(None)
