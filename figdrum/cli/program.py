"""How this program was started, so that it can start itself again."""

import os

# First argument with which the one file runs `serve` instead of a command.
SERVE_FLAG = '--serve'
SERVE_MODULE = 'figdrum.cli.serve'

_archives: list[str] = []


def set_archive_path(path: str) -> None:
    """Notes that the one file at `path` is running."""
    _archives.append(os.path.abspath(path))


def serve_arguments() -> list[str]:
    """Returns the interpreter's arguments that run `serve`.

    Examples
    ========

    >>> serve_arguments()
    ['-m', 'figdrum.cli.serve']
    """
    if _archives:
        return [_archives[0], SERVE_FLAG]
    return ['-m', SERVE_MODULE]
