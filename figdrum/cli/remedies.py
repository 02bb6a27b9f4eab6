"""What each error means for the person at the terminal.

Explanation
===========

Each error code has a part (the prefix of its log lines), an exit code, a cause
and a remedy. docs/operators/errors.md is written from this table.

Examples
========

>>> find(errors.ConflictError('put', 'platform', 'x')).exit_code.name
'REFUSED'
"""

import enum
import typing

from figdrum.core import errors


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""
    OK = 0
    FAULT = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4


EXIT_MEANINGS = {
    ExitCode.OK:
        'The command did what was asked.',
    ExitCode.FAULT:
        'A fault of a file, a message or a process.',
    ExitCode.USAGE:
        'Unknown command, option or argument.',
    ExitCode.REFUSED:
        'The change was refused, or another one came first.',
    ExitCode.UNREACHABLE:
        'The platform did not answer; the outcome of a write is unknown.',
}


class Remedy(typing.NamedTuple):
    """Explains one error code.

    Attributes:
      part: Prefix of the log lines of the part that raises it.
      exit_code: Exit code of a command that ends with it.
      cause: How it comes about.
      remedy: What to do.
    """
    part: str
    exit_code: ExitCode
    cause: str
    remedy: str


REMEDIES: dict[type[errors.FigdrumError], Remedy] = {
    errors.FigdrumError:
        Remedy('cli', ExitCode.FAULT,
               'An error without a more exact code, which is a defect.',
               'Report it with the whole line.'),
    errors.MessageError:
        Remedy(
            'sync', ExitCode.FAULT,
            'A datagram, a control message or an object of the platform is '
            'damaged or not figdrum\'s.',
            'Look at the peer that the line names. If it is an object of the '
            'platform, see who wrote it with `figdrum audit`. Single '
            'datagrams are dropped and need no action.'),
    errors.VersionError:
        Remedy(
            'sync', ExitCode.FAULT,
            'The peer runs a version of figdrum with another message format.',
            'Replace the older process of the two; until then it drops '
            'what it cannot read.'),
    errors.StoreError:
        Remedy(
            'platform', ExitCode.UNREACHABLE,
            'The platform is down, slow or limits the rate of calls.',
            'Traffic goes on. Wait, then see with `figdrum contract list` and '
            '`figdrum contract history` whether a write took effect before '
            'you repeat it.'),
    errors.ConflictError:
        Remedy(
            'platform', ExitCode.REFUSED,
            'Somebody else wrote the object between your read and your write.',
            'Show the object again and decide again.'),
    errors.ValueTooLargeError:
        Remedy(
            'platform', ExitCode.REFUSED,
            'The object would be larger than the 1 MB that the platform '
            'holds.', 'Split the contract: fewer grants or sources in each.'),
    errors.SettingsError:
        Remedy(
            'cli', ExitCode.FAULT,
            'The settings file has faults, or a port in it is in use.',
            'Correct each fault that `figdrum check FILE` names. For a port '
            'in use, stop the other process or choose another port.'),
    errors.ContractError:
        Remedy(
            'contracts', ExitCode.REFUSED,
            'The contract or the change is not valid, for example because an '
            'address is granted in another contract.',
            'Correct the file that you proposed and propose it again.'),
    errors.ApprovalError:
        Remedy(
            'contracts', ExitCode.REFUSED,
            'The proposal is your own, or it is not open any more.',
            'Ask another operator to approve. See its state with '
            '`figdrum contract show ID`.'),
    errors.ChangeRaceError:
        Remedy(
            'contracts', ExitCode.REFUSED,
            'Another change to the same contract or zone was approved first.',
            'Read the change that the line names with '
            '`figdrum contract history`, then propose yours anew.'),
    errors.NotReadyError:
        Remedy(
            'balancer', ExitCode.FAULT,
            'A process has no state that it may serve from, because the '
            'platform is down and too few peers answered; or a balancer that '
            'was asked does not answer.',
            'Check that the process runs, and that it reaches the platform or '
            'two balancers of its zone. It goes on trying.'),
    errors.TargetError:
        Remedy(
            'coap', ExitCode.FAULT,
            'The target did not answer, closed the connection or broke HTTP; '
            'the outcome of the request is unknown.',
            'Look at the target\'s own log. Callers repeat with the same key '
            'and learn the outcome.'),
    errors.TraceError:
        Remedy(
            'cli', ExitCode.FAULT,
            'A trace is damaged, of another version, or names a controller '
            'that this version does not have.',
            'Replay with the version that recorded the trace.'),
}


def find(exc: errors.FigdrumError) -> Remedy:
    """Returns the remedy of the error's own class or its nearest base."""
    return next(REMEDIES[cls] for cls in type(exc).__mro__ if cls in REMEDIES)


def describe(exc: errors.FigdrumError) -> list[str]:
    """Returns the lines that tell an operator of an error."""
    remedy = find(exc)
    return [
        f'{remedy.part}: {exc.code} in step "{exc.step}" at {exc.peer}',
        *(f'  {reason}' for reason in exc.reason.split('; ')),
        f'What to do: {remedy.remedy}',
    ]
