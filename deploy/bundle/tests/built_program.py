"""Builds the program, and runs it as the deploy file does."""

import collections.abc
import contextlib
import json
import os
import pathlib
import re
import shutil
import socket
import subprocess
import sys
import threading
import typing

import httptools
import msgpack
import xxhash

ROOT = pathlib.Path(__file__).parents[3]

# The options of the interpreter are those of `deploy/system.toml`.
INTERPRETER = (sys.executable, '-S', '-OO')

TIMEOUT_S = 20

# Values of the placeholders in the templates of the settings.
_SETTINGS = {
    'zone': 'a',
    'service': 'fieldbook',
    'platform.writesPerS': '20',
    'platform.historyS': '60',
    'bounds.graceS': '6',
    'bounds.warmupOverage': '1.5',
    'bounds.warmupSlack': '5',
    'heartbeatMs': '500',
    'bootstrap': 'true',
    'seeds': '',
    'limits.linkMbps': '',
    'limits.cpuShare': '',
    'limits.cores': '',
}


def libraries() -> pathlib.Path:
    """Returns the folder of the libraries that the tests import."""
    return pathlib.Path(xxhash.__file__).parents[1]


def build(folder: pathlib.Path) -> pathlib.Path:
    """Runs `build.sh` in a copy of the sources.

    The libraries are those of this interpreter.

    Args:
      folder: An empty folder.

    Returns:
      The folder `target/app`.
    """
    for name in ('figdrum', 'platform', 'deploy'):
        shutil.copytree(ROOT / name,
                        folder / name,
                        ignore=shutil.ignore_patterns('__pycache__'))
    deps = folder / 'target' / 'deps'
    for library in (httptools, msgpack, xxhash):
        source = pathlib.Path(library.__file__).parent
        shutil.copytree(source, deps / source.name)
    (deps / '.installed').touch()
    interpreters = pathlib.Path(sys.executable).parent
    subprocess.run(['sh', 'platform/build.sh'],
                   cwd=folder,
                   env={
                       **os.environ, 'PATH':
                           f'{interpreters}:{os.environ["PATH"]}'
                   },
                   check=True)
    return folder / 'target' / 'app'


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


class _Settings(dict):
    """Values of a template: free addresses where nothing else is given."""

    def __missing__(self, key: str) -> str:
        self[key] = _free_address()
        return self[key]


class Running(typing.NamedTuple):
    """A process that has started.

    Attributes:
      process: The process.
      settings: Values of the placeholders in its settings.
      path: Path of its settings file.
      start_line: The line of its log with the event `start`.
      stderr: Text of its standard error, empty until it has ended.
    """
    process: subprocess.Popen
    settings: dict[str, str]
    path: pathlib.Path
    start_line: dict[str, typing.Any]
    stderr: list[str]

    def address(self, placeholder: str) -> tuple[str, int]:
        """Returns the address that a placeholder stands for."""
        host, _, port = self.settings[placeholder].partition(':')
        return host, int(port)

    def has_logged(self, event: str) -> bool:
        """Returns whether the process logs an event before it ends.

        It is killed if it does not within `TIMEOUT_S`.
        """
        timer = threading.Timer(TIMEOUT_S, self.process.kill)
        timer.start()
        try:
            return any(
                json.loads(line)['event'] == event
                for line in self.process.stdout)
        finally:
            timer.cancel()


@contextlib.contextmanager
def start(app: pathlib.Path,
          role: str,
          folder: pathlib.Path,
          options: tuple[str, ...] = (),
          **settings: str) -> collections.abc.Iterator[Running]:
    """Runs a role until the end of the context.

    Args:
      app: Folder of the build.
      role: Role of the process.
      folder: Folder for its settings file.
      options: Further options of the interpreter.
      **settings: Values of placeholders.
    """
    values = _Settings({**_SETTINGS, 'nodeName': f'{role}-1', **settings})
    template = (ROOT / 'platform' / f'{role}.ini').read_text('utf-8')
    template = template.replace('{{ip}}:{{internalPorts.0}}', '{{internal}}')
    path = folder / f'{role}.ini'
    path.write_text(
        re.sub('{{(.*?)}}', lambda match: values[match[1]], template), 'utf-8')
    stderr: list[str] = []
    with subprocess.Popen(
        [*INTERPRETER, *options,
         str(app / 'platform' / 'main.py'), role],
            env={
                'FIGDRUM_SETTINGS': str(path),
                'PYTHONPATH': str(app.parent / 'deps')
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE) as process:
        try:
            line = json.loads(process.stdout.readline())
            yield Running(process, values, path, line, stderr)
        finally:
            process.kill()
            stderr.append(process.stderr.read().decode())
