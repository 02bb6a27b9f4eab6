"""The functions of `heapq` that are written in C."""

import _heapq

import substitutes

heapify = _heapq.heapify
heappop = _heapq.heappop
heappush = _heapq.heappush

__getattr__ = substitutes.fall_back('heapq')
