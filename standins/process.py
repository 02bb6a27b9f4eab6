"""Starts a process and reads the JSON lines that it prints."""

import collections.abc
import json
import pathlib
import subprocess
import sys
import typing

STOP_TIMEOUT_S = 20
_ROOT = pathlib.Path(__file__).resolve().parent.parent


class Process:
    """A process that prints JSON lines on stdout.

    Attributes:
      name: Name in messages.
      announced: The first JSON line.

    Args:
      name: Name in messages.
      args: Program and arguments.
      log: File for stderr.
      log_stdout: Whether stdout goes to `log` too.
    """

    def __init__(self,
                 name: str,
                 args: collections.abc.Sequence[str],
                 log: typing.IO | None = None,
                 log_stdout: bool = False):
        self.name = name
        self._popen = subprocess.Popen(  # pylint: disable=consider-using-with
            list(args),
            cwd=_ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log if log_stdout else subprocess.PIPE,
            stderr=log,
            text=True)
        self.announced: dict[str, typing.Any] = {}

    @classmethod
    def start_standin(cls,
                      module: str,
                      *flags: str,
                      name: str = '',
                      log: typing.IO | None = None) -> 'Process':
        """Starts `python -m standins.<module>` and waits for its first line.

        Raises:
          RuntimeError: if the process ends before it prints a line.
        """
        started = cls(name or module,
                      (sys.executable, '-m', f'standins.{module}', *flags), log)
        line = ''
        try:
            line = started.read_line()
        finally:
            # A signal handler may raise before the caller holds the process.
            if not line:
                started.stop()
        if not line:
            raise RuntimeError(
                f'{started.name} ended with {started.exit_code()} before '
                'it printed a line')
        started.announced = json.loads(line)
        return started

    def address(self, name: str) -> str:
        """Returns an announced address as `host:port`."""
        host, port = self.announced[name]
        return f'{host}:{port}'

    def read_line(self) -> str:
        """Returns the next line on stdout, or the empty string at the end."""
        return self._popen.stdout.readline()

    def exit_code(self) -> int | None:
        """Returns the exit code, or None while the process runs."""
        return self._popen.poll()

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.exit_code() is None

    def terminate(self) -> None:
        """Sends SIGTERM."""
        self._popen.terminate()

    def kill(self) -> None:
        """Sends SIGKILL."""
        self._popen.kill()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the end and returns the exit code.

        Raises:
          subprocess.TimeoutExpired: if it does not end in time.
        """
        return self._popen.wait(timeout_s)

    def stop(self) -> int:
        """Sends SIGTERM, then SIGKILL if the process does not end in time.

        Returns:
          The exit code.
        """
        self.terminate()
        try:
            code = self.wait()
        except subprocess.TimeoutExpired:
            self.kill()
            code = self.wait()
        if self._popen.stdout is not None:
            self._popen.stdout.close()
        return code
