"""Runs a balancer or an agent, without the command line's library.

Explanation
===========

`figdrum balancer` and `figdrum agent` parse their options and then replace
their own process image by this module (execve, the process id stays). The
command line's library and what only it imports take about 5 MB, which a process
that runs for months would keep for nothing (`python -m bench.memory`).
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
    """What to run.

    Attributes:
      role: 'balancer' or 'agent'.
      path: Settings file.
      record: File to record decisions to; '' for that of the settings.
    """
    role: str
    path: str
    record: str


def replace_process(request: ServeRequest) -> typing.NoReturn:
    """Goes on as a process that runs `request`."""
    sys.stdout.flush()
    sys.stderr.flush()
    os.execv(sys.executable,
             [sys.executable, *program.serve_arguments(), *request])


def run(request: ServeRequest) -> int:
    """Runs `request` until it stops; returns the exit code."""
    try:
        cfg = loader.load(request.path, request.role)
        if request.record:
            process = cfg.process.model_copy(update={'record': request.record})
            cfg = cfg.model_copy(update={'process': process})
        loader.check_ports(cfg, request.path, request.role)
        logs.setup(cfg.process.name, cfg.process.log_level,
                   cfg.process.log_format)
        logs.bridge_twisted()
        # The process and its reactor are loaded only for sound settings.
        module = importlib.import_module(f'figdrum.{request.role}.process')
        return module.run(cfg) or 0
    except errors.FigdrumError as exc:
        for line in remedies.describe(exc):
            print(line, file=sys.stderr)
        return int(remedies.find(exc).exit_code)


def main(argv: collections.abc.Sequence[str]) -> int:
    """Runs the request in `argv`, as `replace_process` gives it."""
    return run(ServeRequest(*argv))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
