"""Calls of the operating system.

Importing `os` takes 1 ms of CPU time, with the abstract classes of containers.
"""

import posix
from posix import *  # pylint: disable=wildcard-import,unused-wildcard-import,redefined-builtin

import substitutes

environ = {
    name.decode(errors='surrogateescape'):
        value.decode(errors='surrogateescape')
    for name, value in posix.environ.items()
}

__getattr__ = substitutes.fall_back('os')
