"""The functions of `bisect` that are written in C."""

from _bisect import *  # pylint: disable=wildcard-import,unused-wildcard-import

import substitutes

__getattr__ = substitutes.fall_back('bisect')
