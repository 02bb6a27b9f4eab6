"""Seeds that failed in the past, each with its cause.

`python -m standins.soak --seeds 9 --faults 12` runs one again.
"""

import typing


class FailedSeed(typing.NamedTuple):
    """A seed that failed.

    Attributes:
      seed: Value of `--seeds`.
      faults: Value of `--faults`.
      cause: Why it failed.
    """
    seed: int
    faults: int
    cause: str


FAILED_SEEDS = (
    FailedSeed(
        9, 12,
        'a balancer told to stop while it started ended by the signal itself'),
    FailedSeed(
        200, 16,
        'a client of the soak took an answer that came after its deadline, and '
        'had two requests at a time from then on'),
    FailedSeed(
        516, 14,
        'all clients of a service were in one zone, so a target in another '
        'zone got no flows and counted as unused'),
    FailedSeed(521, 14, 'as 516, for a target of the other service'),
    FailedSeed(
        538, 14,
        'a client of the soak took an acceptance that came after its deadline'),
    FailedSeed(
        527, 14,
        'an agent counted requests that clients had given up as load until '
        'their flows expired after 65 s'),
)
