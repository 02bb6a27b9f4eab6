"""Seeded faults of a packet network.

Examples
========

>>> PacketFaults(delay_ms=3).plan(random.Random(1))
(3.0,)
>>> PacketFaults(loss=1.0).plan(random.Random(1))
()
>>> len(PacketFaults(repeat=1.0).plan(random.Random(1)))
2
"""

import random
import typing


class PacketFaults(typing.NamedTuple):
    """What the network does to packets.

    Attributes:
      loss: Probability that a packet is lost.
      repeat: Probability that a packet arrives twice.
      reorder: Probability that a copy arrives `reorder_ms` later than usual,
        behind packets sent after it.
      delay_ms: Delay of every packet.
      jitter_ms: Largest further random delay.
      reorder_ms: Further delay of a reordered copy.
    """
    loss: float = 0.0
    repeat: float = 0.0
    reorder: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    reorder_ms: float = 20.0

    def plan(self, rng: random.Random) -> tuple[float, ...]:
        """Returns the delay in ms of each copy of one packet."""
        if rng.random() < self.loss:
            return ()
        copies = 2 if rng.random() < self.repeat else 1
        return tuple(self._delay(rng) for _ in range(copies))

    def _delay(self, rng: random.Random) -> float:
        delay_ms = self.delay_ms + rng.random() * self.jitter_ms
        if rng.random() < self.reorder:
            delay_ms += self.reorder_ms
        return delay_ms

    def changed(self, wanted: dict[str, typing.Any]) -> 'PacketFaults':
        """Returns the faults with the fields in `wanted` replaced.

        Raises:
          ValueError: if a field does not exist or is negative.
        """
        unknown = set(wanted) - set(self._fields)
        if unknown:
            raise ValueError(f'unknown faults {sorted(unknown)}')
        if any(float(value) < 0 for value in wanted.values()):
            raise ValueError(f'negative value in {wanted}')
        return self._replace(**{k: float(v) for k, v in wanted.items()})
