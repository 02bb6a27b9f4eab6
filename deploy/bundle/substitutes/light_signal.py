"""Signals without the enumerations of the standard module."""

from _signal import *  # pylint: disable=wildcard-import,unused-wildcard-import

import substitutes

__getattr__ = substitutes.fall_back('signal')
