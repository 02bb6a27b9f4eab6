"""Random numbers, without the distributions of the standard module."""

import posix

import xxhash

import substitutes

BITS = 53


class Random:
    """Numbers from a hash of the seed and a counter."""

    def __init__(self, seed=None):
        self._seed = posix.urandom(8).hex() if seed is None else str(seed)
        self._count = 0

    def random(self):
        """Returns a float from 0 to below 1."""
        self._count += 1
        digest = xxhash.xxh3_64_intdigest(
            f'{self._seed} {self._count}'.encode())
        return (digest >> (64 - BITS)) / (1 << BITS)

    def randint(self, low, high):
        """Returns an integer from `low` to `high`, which are below 2**50."""
        if low > high:
            # The standard module raises its own error.
            import random  # pylint: disable=import-outside-toplevel
            return random.randint(low, high)
        return low + int(self.random() * (high - low + 1))

    def uniform(self, low, high):
        """Returns a float from `low` to `high`."""
        return low + (high - low) * self.random()

    def __getattr__(self, name):
        import random  # pylint: disable=import-outside-toplevel
        return getattr(random.Random(self.random()), name)


__getattr__ = substitutes.fall_back('random')
