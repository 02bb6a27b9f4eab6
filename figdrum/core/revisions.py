"""Revisions of the platform's store, ordered across restores.

Explanation
===========

A store that is restored from a copy gives out its revision numbers again, and
its era rises by one. A revision is one integer with the era in its upper bits,
so that every revision after a restore is later than all those before it. The
revision 0 means that there is none.

Examples
========

>>> before, after = make(1, 37), make(2, 30)
>>> before < after
True
>>> era(after), number(after), describe(after)
(2, 30, '2.30')
"""

from figdrum.core import ids

# Bits of the number. It fits a signed 64-bit integer with an era of 23 bits.
_NUMBER_BITS = 40

# Largest number that the store can give to a revision.
MAX_NUMBER = (1 << _NUMBER_BITS) - 1


def make(store_era: int, store_number: int) -> ids.StoreRevision:
    """Returns the revision with a number in an era of the store."""
    return ids.StoreRevision((store_era << _NUMBER_BITS) | store_number)


def era(revision: ids.StoreRevision) -> int:
    """Returns the number of restores before a revision; -1 if negative."""
    return revision >> _NUMBER_BITS


def number(revision: ids.StoreRevision) -> int:
    """Returns the number that the store has given to a revision."""
    return revision & MAX_NUMBER


def describe(revision: ids.StoreRevision | None) -> str:
    """Returns a revision for logs, as `ERA.NUMBER`."""
    if revision is None or revision < 0:
        return 'none'
    return f'{era(revision)}.{number(revision)}'
