"""A link that loses, repeats and delays packets."""

import random
import typing


class Faults(typing.NamedTuple):
    """What a link does to packets.

    Attributes:
      loss: Share of the packets that are lost.
      duplicated: Share of the packets that arrive twice.
      delay_s: Longest time by which a packet is late.
    """
    loss: float = 0.0
    duplicated: float = 0.0
    delay_s: float = 0.0


LOSSY = Faults(loss=0.3)
SILENT = Faults(loss=1.0)
SLOW = Faults(delay_s=0.15)
UNORDERED = Faults(loss=0.05, duplicated=0.3, delay_s=0.05)


class Link:
    """Carries packets, as its faults say.

    Attributes:
      faults: What it does to packets from now on.
    """

    def __init__(self, reactor: typing.Any, rng: random.Random):
        self._reactor = reactor
        self._rng = rng
        self.faults = Faults()

    def transmit(self, deliver: typing.Callable[[bytes], None],
                 raw: bytes) -> None:
        """Hands a packet to `deliver`, or loses it."""
        faults = self.faults
        if faults == Faults():
            deliver(raw)
            return
        for _ in range(1 + (self._rng.random() < faults.duplicated)):
            if self._rng.random() >= faults.loss:
                self._reactor.callLater(self._rng.random() * faults.delay_s,
                                        deliver, raw)
