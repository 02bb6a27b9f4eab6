"""Seeds that have failed before, each with its cause.

`python -m standins.soak --seeds 9 --faults 12` plays one again.
"""

FAULTS = 12

CAUSES = {
    9: 'a balancer told to stop while it started ended by the signal itself',
}
