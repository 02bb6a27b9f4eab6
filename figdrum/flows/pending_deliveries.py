"""Packets that a target was given and has neither taken nor returned yet."""

import collections.abc
import typing

from figdrum.core import ids
from figdrum.flows import segment

# Time in ms for which a flow stays known as not held or ended. The client's
# retransmissions are at most 1.6 s apart.
DENIAL_TTL_MS = 2_000


class PendingDelivery:
    """A packet whose outcome is open.

    Attributes:
      sent_ms: When the target was given it.
      is_opening: It opens a flow.
      raw: The datagram.
      origins: Balancers that want to know the outcome.
      waiting: Later packets of the flow.
    """
    __slots__ = ('sent_ms', 'is_opening', 'raw', 'origins', 'waiting')

    def __init__(self, now_ms: int, is_opening: bool, raw: bytes):
        self.sent_ms = now_ms
        self.is_opening = is_opening
        self.raw = raw
        self.origins: set[ids.Address] = set()
        self.waiting: list[bytes] = []


class _Denial(typing.NamedTuple):
    until_ms: int
    ended: bool


class PendingDeliveries:
    """Open trials and the flows that the target is known not to hold."""

    def __init__(self):
        self._open: dict[bytes, PendingDelivery] = {}
        self._denials: dict[bytes, _Denial] = {}

    def __bool__(self) -> bool:
        return bool(self._open)

    def start(self, now_ms: int, key: bytes, is_opening: bool, raw: bytes,
              origin: ids.Address) -> bool:
        """Notes a packet; returns whether it is to go to the target now.

        Copies of an opening packet go at once; other packets of a flow wait
        for the outcome of the first one.
        """
        trial = self._open.get(key)
        is_first = trial is None
        if trial is None:
            trial = self._open[key] = PendingDelivery(now_ms, is_opening, raw)
        trial.origins.add(origin)
        if is_opening:
            self._denials.pop(key, None)
            return True
        if not is_first and len(trial.waiting) < segment.PACKETS_IN_FLIGHT:
            trial.waiting.append(raw)
        return is_first

    def finish(self, key: bytes) -> PendingDelivery | None:
        """Ends the trial of a flow and returns it."""
        return self._open.pop(key, None)

    def all(self) -> collections.abc.Iterable[tuple[bytes, PendingDelivery]]:
        """Returns the open trials; they may be ended meanwhile."""
        return tuple(self._open.items())

    def add_denial(self, now_ms: int, key: bytes, ended: bool) -> None:
        """Notes that the target does not hold a flow.

        Args:
          now_ms: Time.
          key: Key of the flow.
          ended: The target had held it.
        """
        self._denials[key] = _Denial(now_ms + DENIAL_TTL_MS, ended)

    def denial(self, now_ms: int, key: bytes) -> bool | None:
        """Returns whether a denied flow had ended, or None if none is known."""
        denial = self._denials.get(key)
        if denial is None or denial.until_ms <= now_ms:
            return None
        return denial.ended

    def expire(self, now_ms: int) -> None:
        """Forgets old denials."""
        for key, denial in tuple(self._denials.items()):
            if denial.until_ms <= now_ms:
                del self._denials[key]
