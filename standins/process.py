"""Starts a process and reads what it announces."""

import collections.abc
import json
import subprocess
import sys
import typing

STOP_S = 20


class Process:
    """A process that prints JSON lines on stdout.

    Attributes:
      name: Name in messages.
      announced: The first JSON line.
    """

    def __init__(self,
                 name: str,
                 args: collections.abc.Sequence[str],
                 log: typing.IO | None = None):
        self.name = name
        self._popen = subprocess.Popen(  # pylint: disable=consider-using-with
            list(args),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=log,
            text=True)
        self.announced: dict[str, typing.Any] = {}

    @classmethod
    def standin(cls,
                module: str,
                *flags: str,
                name: str = '',
                log: typing.IO | None = None) -> 'Process':
        """Starts `python -m standins.<module>` and waits for its first line.

        Raises:
          RuntimeError: if the process ends before.
        """
        started = cls(name or module,
                      (sys.executable, '-m', f'standins.{module}', *flags), log)
        line = started.read_line()
        if not line:
            code = started.stop()
            raise RuntimeError(f'{started.name} ended with {code}')
        started.announced = json.loads(line)
        return started

    def address(self, name: str) -> str:
        """Returns an announced address as `host:port`."""
        host, port = self.announced[name]
        return f'{host}:{port}'

    def read_line(self) -> str:
        """Returns the next line on stdout, or the empty string at the end."""
        return self._popen.stdout.readline()

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def terminate(self) -> None:
        """Sends SIGTERM."""
        self._popen.terminate()

    def kill(self) -> None:
        """Sends SIGKILL."""
        self._popen.kill()

    def wait(self, timeout_s: float = STOP_S) -> int:
        """Waits for the end and returns the exit code.

        Raises:
          subprocess.TimeoutExpired: if it does not end in time.
        """
        return self._popen.wait(timeout_s)

    def stop(self) -> int:
        """Ends the process, by force when SIGTERM does not end it in time;
        returns the exit code."""
        self.terminate()
        try:
            code = self.wait()
        except subprocess.TimeoutExpired:
            self.kill()
            code = self.wait()
        self._popen.stdout.close()
        return code
