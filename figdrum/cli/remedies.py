"""Exit codes, and explanations of all errors for operators.

Explanation
===========

Each error class has a part of the program (the prefix of its log lines), an
exit code, a cause and a remedy. docs/operators/errors.md is generated from this
table.

Examples
========

>>> find_remedy(errors.ConflictError('put', 'platform', 'x')).exit_code.name
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
        'The command succeeded.',
    ExitCode.FAULT:
        'An error in a file, a message or a process.',
    ExitCode.USAGE:
        'Unknown command, option or argument. Of `config check`: a file, a '
        'folder or settings that cannot be used.',
    ExitCode.REFUSED:
        'The change was refused, or another one was approved first.',
    ExitCode.UNREACHABLE:
        'The platform did not respond; the outcome of a write is unknown.',
}


class Remedy(typing.NamedTuple):
    """Explanation of one error class.

    Attributes:
      part: Part of the program that raises it, the prefix of its log lines.
      exit_code: Exit code of a command that fails with it.
      cause: Possible causes.
      remedy: What the operator should do.
    """
    part: str
    exit_code: ExitCode
    cause: str
    remedy: str


REMEDIES: dict[type[errors.FigdrumError], Remedy] = {
    errors.FigdrumError:
        Remedy('cli', ExitCode.FAULT,
               'An error without a more specific code, which is a bug.',
               'Report it with the whole line.'),
    errors.MessageError:
        Remedy(
            'sync', ExitCode.FAULT,
            'A datagram, a control message or an object of the platform is '
            'damaged or not figdrum\'s.',
            'Check the peer that the line names. For an object of the '
            'platform, see with `figdrum audit` who wrote it. Single '
            'datagrams are dropped and need no action.'),
    errors.VersionError:
        Remedy(
            'sync', ExitCode.FAULT,
            'The peer runs a version of figdrum with another message format.',
            'Upgrade the older of the two processes; until then, messages '
            'that cannot be decoded are dropped.'),
    errors.StoreError:
        Remedy(
            'platform', ExitCode.UNREACHABLE,
            'The platform is down, slow or limits the rate of calls.',
            'Traffic continues. Wait, and before you repeat a write, check '
            'with `figdrum contract list` and `figdrum contract history` '
            'whether it took effect.'),
    errors.ConflictError:
        Remedy('platform', ExitCode.REFUSED,
               'The object was modified between your read and your write.',
               'Show the object again and decide on its current state.'),
    errors.ValueTooLargeError:
        Remedy('platform', ExitCode.REFUSED,
               'The object would exceed the size limit of the platform, 1 MB.',
               'Split the contract into parts with fewer grants or sources.'),
    errors.SettingsError:
        Remedy(
            'cli', ExitCode.FAULT,
            'The settings file has faults, or one of its ports is in use.',
            'Correct the faults that `figdrum check FILE` prints. For a port '
            'in use, stop the other process or choose another port.'),
    errors.ContractError:
        Remedy(
            'contracts', ExitCode.REFUSED,
            'The contract or the change is not valid, for example because an '
            'address is granted in another contract.',
            'Correct the file and propose it again.'),
    errors.ApprovalError:
        Remedy(
            'contracts', ExitCode.REFUSED,
            'The proposal is your own, or it has already been decided.',
            'Ask another operator to approve. See its state with '
            '`figdrum contract show ID`.'),
    errors.ChangeRaceError:
        Remedy(
            'contracts', ExitCode.REFUSED,
            'Another change to the same contract or zone was approved first.',
            'Look up the change that the line names with '
            '`figdrum contract history`, then make a new proposal.'),
    errors.NotReadyError:
        Remedy(
            'balancer', ExitCode.FAULT,
            'A process cannot serve yet, because the platform is down and too '
            'few peers replied; or a balancer does not reply to '
            'a query.',
            'Check that the process runs, and that it can reach the platform '
            'or two balancers of its zone. It retries until it can.'),
    errors.TargetError:
        Remedy(
            'coap', ExitCode.FAULT,
            'The target did not respond, closed the connection or violated '
            'HTTP; the outcome of the request is unknown.',
            'Check the log of the target. Callers retry with the same key to '
            'learn the outcome.'),
    errors.TraceError:
        Remedy(
            'cli', ExitCode.FAULT,
            'A trace is damaged, has another format version, or contains a '
            'controller that this version of figdrum does not have.',
            'Replay with the version that recorded the trace.'),
}


def find_remedy(exc: errors.FigdrumError) -> Remedy:
    """Returns the remedy for the class of `exc` or its nearest base class."""
    return next(REMEDIES[cls] for cls in type(exc).__mro__ if cls in REMEDIES)


def describe(exc: errors.FigdrumError) -> list[str]:
    """Returns the lines that report `exc` to an operator."""
    remedy = find_remedy(exc)
    return [
        f'{remedy.part}: {exc.code} in step "{exc.step}" at {exc.peer}',
        *(f'  {reason}' for reason in exc.reason.split('; ')),
        f'What to do: {remedy.remedy}',
    ]
