"""Random faults of a packet network, reproducible from a seed.

Examples
========

>>> PacketFaults(delay_ms=3).copy_delays_ms(random.Random(1))
(3.0,)
>>> PacketFaults(loss=1.0).copy_delays_ms(random.Random(1))
()
>>> len(PacketFaults(repeat=1.0).copy_delays_ms(random.Random(1)))
2
"""

import random
import typing


class PacketFaults(typing.NamedTuple):
    """Fault probabilities and delays of the network.

    Attributes:
      loss: Probability that a packet is lost.
      repeat: Probability that a packet arrives twice.
      reorder: Probability that a copy arrives `reorder_ms` later than usual,
        behind packets sent after it.
      delay_ms: Delay of every packet.
      jitter_ms: Upper bound of the random delay added to `delay_ms`.
      reorder_ms: Delay added to a reordered copy.
    """
    loss: float = 0.0
    repeat: float = 0.0
    reorder: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    reorder_ms: float = 20.0

    def copy_delays_ms(self, rng: random.Random) -> tuple[float, ...]:
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

    def changed(self, changes: dict[str, typing.Any]) -> 'PacketFaults':
        """Returns the faults with the fields in `changes` replaced.

        Raises:
          ValueError: if a field does not exist or is negative.
        """
        unknown = set(changes) - set(self._fields)
        if unknown:
            raise ValueError(f'unknown faults {sorted(unknown)}')
        if any(float(value) < 0 for value in changes.values()):
            raise ValueError(f'negative value in {changes}')
        return self._replace(**{k: float(v) for k, v in changes.items()})
