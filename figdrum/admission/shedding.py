"""Sheds load by contract rank as a target's utilisation rises.

Explanation
===========

Rank 1 is admitted up to full utilisation. Each further rank is shed at a
utilisation 5 % lower than the rank before it, so that the remaining capacity
is left to better ranks.

Examples
========

>>> admits(1, 0.97), admits(3, 0.97), admits(3, 0.89)
(True, False, True)
"""

FIRST_RANK = 1
LAST_RANK = 9
UTILISATION_STEP = 0.05


def threshold(rank: int) -> float:
    """Returns the utilisation at and above which `rank` is shed."""
    rank = min(LAST_RANK, max(FIRST_RANK, rank))
    return 1 - UTILISATION_STEP * (rank - 1)


def admits(rank: int, utilisation: float) -> bool:
    """Returns True if `rank` is admitted at `utilisation`, from 0 to 1."""
    return utilisation < threshold(rank)
