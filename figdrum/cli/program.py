"""Command line with which this program can execute itself again."""

import os

# First argument that makes the single file run `serve` instead of a command.
SERVE_FLAG = '--serve'
SERVE_MODULE = 'figdrum.cli.serve'

_archives: list[str] = []


def set_archive_path(path: str) -> None:
    """Sets the path of the single file from which the program runs."""
    _archives.append(os.path.abspath(path))


def serve_arguments() -> list[str]:
    """Returns the arguments of the Python interpreter that run `serve`.

    Examples
    ========

    >>> serve_arguments()
    ['-m', 'figdrum.cli.serve']
    """
    if _archives:
        return [_archives[0], SERVE_FLAG]
    return ['-m', SERVE_MODULE]
