"""Decides by contract rank who is admitted while a target fills up.

Explanation
===========

Rank 1 is kept longest. Each rank below it stops 5 % of utilisation earlier, so
that the room near full load is left to the ranks above.

Examples
========

>>> admits(1, 0.97), admits(3, 0.97), admits(3, 0.89)
(True, False, True)
"""

FIRST_RANK = 1
LAST_RANK = 9
STEP = 0.05


def threshold(rank: int) -> float:
    """Returns the utilisation from which `rank` is no longer admitted."""
    rank = min(LAST_RANK, max(FIRST_RANK, rank))
    return 1 - STEP * (rank - 1)


def admits(rank: int, utilisation: float) -> bool:
    """Returns True if a contract of `rank` is admitted at `utilisation`."""
    return utilisation < threshold(rank)
