"""Runs a balancer or an agent without loading the command line library.

Explanation
===========

`figdrum balancer` and `figdrum agent` parse their options and then execute this
module in the same process (execve, which keeps the process id). The command
line library and the modules that only it imports take about 5 MB of memory
(`python -m bench.memory`), which a process that runs for months does not need.
"""

import collections.abc
import importlib
import os
import sys
import typing

from figdrum.cli import program
from figdrum.cli import remedies
from figdrum.core import errors
from figdrum.settings import loader
from figdrum.telemetry import logs


class ServeRequest(typing.NamedTuple):
    """Arguments of a balancer or agent process.

    Attributes:
      role: 'balancer' or 'agent'.
      path: Path of the settings file.
      record: File to record decisions to, or '' for the one in the settings.
    """
    role: str
    path: str
    record: str


def replace_process(request: ServeRequest) -> typing.NoReturn:
    """Replaces the image of this process by one that runs `request`."""
    sys.stdout.flush()
    sys.stderr.flush()
    os.execv(sys.executable,
             [sys.executable, *program.serve_arguments(), *request])


def run(request: ServeRequest) -> int:
    """Runs a balancer or an agent until it stops; returns the exit code."""
    try:
        cfg = loader.load(request.path, request.role)
        if request.record:
            process = cfg.process.model_copy(update={'record': request.record})
            cfg = cfg.model_copy(update={'process': process})
        loader.check_ports(cfg, request.path, request.role)
        logs.setup(cfg.process.name, cfg.process.log_level,
                   cfg.process.log_format)
        logs.bridge_twisted()
        # Loaded only after the settings and ports have been checked.
        module = importlib.import_module(f'figdrum.{request.role}.process')
        return module.run(cfg) or 0
    except errors.FigdrumError as exc:
        for line in remedies.describe(exc):
            print(line, file=sys.stderr)
        return int(remedies.find_remedy(exc).exit_code)


def main(argv: collections.abc.Sequence[str]) -> int:
    """Runs the request whose fields are `argv`; see `replace_process`."""
    return run(ServeRequest(*argv))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
