"""The module `datetime` without its version in Python, as from Python 3.12.

`msgpack` uses its classes and its interface for extension modules.
"""

from _datetime import *  # pylint: disable=wildcard-import,unused-wildcard-import
