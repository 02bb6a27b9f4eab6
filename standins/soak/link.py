"""Network link that loses, duplicates, delays and reorders packets."""

import random
import typing


class Faults(typing.NamedTuple):
    """Impairments of a link.

    Attributes:
      loss: Share of the packets that are lost.
      duplicated: Share of the packets that arrive twice.
      delay_s: Longest delay. Each packet draws its own, which reorders them.
    """
    loss: float = 0.0
    duplicated: float = 0.0
    delay_s: float = 0.0


LOSSY = Faults(loss=0.3)
SILENT = Faults(loss=1.0)
SLOW = Faults(delay_s=0.15)
UNORDERED = Faults(loss=0.05, duplicated=0.3, delay_s=0.05)


class Link:
    """Delivers packets, subject to the current faults.

    Attributes:
      faults: Impairments of packets sent from now on.
    """

    def __init__(self, reactor: typing.Any, rng: random.Random):
        self._reactor = reactor
        self._rng = rng
        self.faults = Faults()

    def transmit(self, deliver: typing.Callable[[bytes], None],
                 raw: bytes) -> None:
        """Passes a packet to `deliver`, or loses, delays or duplicates it."""
        faults = self.faults
        if faults == Faults():
            deliver(raw)
            return
        for _ in range(1 + (self._rng.random() < faults.duplicated)):
            if self._rng.random() >= faults.loss:
                self._reactor.callLater(self._rng.random() * faults.delay_s,
                                        deliver, raw)
