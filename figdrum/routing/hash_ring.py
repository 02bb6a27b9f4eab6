"""A ring of hashed points that orders members by a key.

Explanation
===========

Each member has several points on a ring of 64-bit numbers. The order for a key
is that of the points that follow the key's own number, without repetitions. A
member that joins or leaves does not change the order of the others, so
balancers whose lists differ in one member order all other members alike.

The first members of an order are found in time that grows with the logarithm of
the number of members, while `rendezvous.order` hashes each of them.

Examples
========

>>> ring = HashRing()
>>> for name in ('a', 'b', 'c'):
...     ring.add(name)
>>> full = list(ring.walk(b'flow'))
>>> ring.remove('b')
>>> list(ring.walk(b'flow')) == [name for name in full if name != 'b']
True

References
==========

Karger et al., "Consistent hashing and random trees", STOC 1997.
"""

import bisect
import collections.abc
import struct
import typing

import xxhash

# Points of each member. The share of keys for which a member comes first has a
# standard deviation of 1 / sqrt(POINTS_PER_MEMBER), a sixth of the mean. The
# choice among the first few members by their load evens this out.
POINTS_PER_MEMBER = 32


class HashRing:
    """The points of all members, in ascending order."""

    def __init__(self):
        self._set_points([])
        self._names: set[str] = set()
        # Members without points yet. Many members are added at once when a
        # process starts.
        self._added: set[str] = set()

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        """Adds a member, unless it is already on the ring."""
        if name not in self._names:
            self._names.add(name)
            self._added.add(name)

    def remove(self, name: str) -> None:
        """Removes a member, if it is on the ring."""
        if name not in self._names:
            return
        self._names.discard(name)
        if name in self._added:
            self._added.discard(name)
            return
        self._set_points([
            pair for pair in zip(self._points, self._owners) if pair[1] != name
        ])

    def walk(self, key: bytes) -> collections.abc.Iterator[str]:
        """Yields all members in the order for `key`.

        The ring must not change during the iteration.

        Args:
          key: Canonical bytes of a flow key.
        """
        if self._added:
            self._insert_added()
        start = bisect.bisect_left(self._points, xxhash.xxh3_64_intdigest(key))
        owners = self._owners
        seen: set[str] = set()
        for index in range(start - len(owners), start):
            name = owners[index]
            if name not in seen:
                seen.add(name)
                yield name
                if len(seen) == len(self._names):
                    return

    def _insert_added(self) -> None:
        pairs = list(zip(self._points, self._owners))
        for name in self._added:
            pairs += ((point, name) for point in _points(name))
        self._added.clear()
        self._set_points(sorted(pairs))

    def _set_points(self, pairs: list[tuple[int, str]]) -> None:
        # A view takes a fifth of a list's memory. So does an array, but to
        # import `array` takes 4 ms, since it imports abstract classes.
        packed = struct.pack(f'{len(pairs)}Q', *(point for point, _ in pairs))
        self._points = memoryview(packed).cast('Q')
        self._owners = [owner for _, owner in pairs]

    def __getstate__(self) -> dict[str, typing.Any]:
        # A view cannot be copied by pickle, as the model checker does.
        return self.__dict__ | {'_points': self._points.tobytes()}

    def __setstate__(self, state: dict[str, typing.Any]) -> None:
        self.__dict__.update(state)
        self._points = memoryview(state['_points']).cast('Q')


def _points(name: str) -> list[int]:
    return [
        xxhash.xxh3_64_intdigest(f'{name}/{number}'.encode())
        for number in range(POINTS_PER_MEMBER)
    ]
