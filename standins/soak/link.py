"""Network link that loses, duplicates, delays and reorders packets."""

import random
import typing


class Faults(typing.NamedTuple):
    """Impairments of a link.

    Attributes:
      loss: Share of the packets that are lost.
      duplicated: Share of the packets that arrive twice.
      delay_s: Longest delay. Each packet draws its own, which reorders them.
      bytes_per_s: Rate at which packets pass, one after the other; 0 if it is
        not limited.
    """
    loss: float = 0.0
    duplicated: float = 0.0
    delay_s: float = 0.0
    bytes_per_s: float = 0.0


LOSSY = Faults(loss=0.3)
SILENT = Faults(loss=1.0)
SLOW = Faults(delay_s=0.15)
UNORDERED = Faults(loss=0.05, duplicated=0.3, delay_s=0.05)
NARROW = Faults(delay_s=0.1, bytes_per_s=6_000)

# Time for which packets wait at most at a link with a limited rate. A packet
# that would wait longer is lost.
MAX_WAIT_S = 0.5


class Link:
    """Delivers packets, subject to the current faults.

    Attributes:
      faults: Impairments of packets sent from now on.
    """

    def __init__(self, reactor: typing.Any, rng: random.Random):
        self._reactor = reactor
        self._rng = rng
        self.faults = Faults()
        # Time at which the packets that wait have passed.
        self._free_s = 0.0

    def transmit(self, deliver: typing.Callable[[bytes], None],
                 raw: bytes) -> None:
        """Passes a packet to `deliver`, or loses, delays or duplicates it."""
        faults = self.faults
        if faults == Faults():
            deliver(raw)
            return
        wait_s = self._wait_s(len(raw))
        if wait_s > MAX_WAIT_S:
            return
        for _ in range(1 + (self._rng.random() < faults.duplicated)):
            if self._rng.random() >= faults.loss:
                self._reactor.callLater(
                    wait_s + self._rng.random() * faults.delay_s, deliver, raw)

    def _wait_s(self, size: int) -> float:
        if not self.faults.bytes_per_s:
            return 0.0
        now_s = self._reactor.seconds()
        free_s = max(now_s, self._free_s) + size / self.faults.bytes_per_s
        if free_s - now_s <= MAX_WAIT_S:
            self._free_s = free_s
        return free_s - now_s
