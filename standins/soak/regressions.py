"""Seeds that failed in the past, each with its cause.

`python -m standins.soak --seeds 9 --faults 12` runs one again. Processes run in
real time, so that a seed may fail in some of its runs only.
"""

import typing


class FailedSeed(typing.NamedTuple):
    """A seed that failed.

    Attributes:
      seed: Value of `--seeds`.
      faults: Value of `--faults`.
      cause: Why it failed.
      options: Further options.
    """
    seed: int
    faults: int
    cause: str
    options: str = ''


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
    FailedSeed(
        9019, 16,
        'a balancer that started after a restore of the store took a list '
        'without the youngest agent for complete',
        '--targets 10 --store-faults 2'),
    FailedSeed(9214, 24, 'as 9019, while the agent ran on',
               '--targets 10 --store-faults 3'),
    FailedSeed(
        9004, 8,
        'an agent that started again with the settings of its first start '
        'denied the flows of its target', '--targets 10'),
    FailedSeed(
        9109, 8,
        'what was known of an earlier flow of the same address and port was '
        'taken for the later one', '--targets 10'),
    FailedSeed(9112, 8, 'as 9109', '--targets 10'),
    FailedSeed(
        20000, 14,
        'a balancer told to stop 2.4 s after its launch, before its start was '
        'logged, ended by the signal itself',
        '--targets 10 --store-faults 2 --extra-faults 4'),
    FailedSeed(
        20002, 14,
        'the soak took the time for which a flow was idle for time in which '
        'its packets were at other servers only',
        '--targets 10 --store-faults 2 --extra-faults 4'),
    FailedSeed(
        20052, 14,
        'by a test of the agent: an opening packet after a late acceptance for '
        'the same port passed as a copy, without the limit for cold targets',
        '--targets 10 --store-faults 2 --extra-faults 4'),
)
