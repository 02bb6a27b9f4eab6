"""Rendezvous (highest random weight) order of a service's members.

Explanation
===========

Each member's weight is a hash of the key and the member's name. A member that
joins or leaves does not change the order of the others, so balancers whose
lists differ in one member order all other members alike.

Examples
========

>>> full = order(b'flow', ['a', 'b', 'c'])
>>> [name for name in full if name != 'b'] == order(b'flow', ['a', 'c'])
True

References
==========

Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import collections.abc

import xxhash


def weight(key: bytes, name: str) -> int:
    """Returns the 64-bit weight of member `name` for `key`."""
    return xxhash.xxh3_64_intdigest(key + b'\0' + name.encode())


def order(key: bytes, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns `names` in order of descending weight for `key`.

  Args:
    key: Canonical bytes of a flow key or an idempotency key.
    names: Distinct member names, in any order.

  Returns:
    The same names; names of equal weight are in alphabetical order.
  """
    return [
        name for _, name in sorted((-weight(key, name), name) for name in names)
    ]


def precedes(key: bytes, one: str, other: str) -> bool:
    """Returns whether `one` comes before `other` in the order of `key`."""
    return (-weight(key, one), one) < (-weight(key, other), other)
