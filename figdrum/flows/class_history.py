"""Tells the request classes with short flows from those with long ones.

Explanation
===========

Some clients open a flow for each request, others keep it open. A target may
serve both, for example lookups and streams, so the agent counts by the class
that the route of a flow has. A class is unknown until a few of its flows have
had a second request or were closed after the first one.

Examples
========

>>> history = ClassHistory()
>>> lookups, streams = routes.RequestClass(1), routes.RequestClass(2)
>>> history.flow_kind(lookups).value
'unknown'
>>> for _ in range(MIN_OBSERVATIONS):
...     history.observe(lookups, True)
...     history.observe(streams, False)
>>> history.flow_kind(lookups).value, history.flow_kind(streams).value
('short', 'long')
"""

import enum

from figdrum.flows import routes

# Weight of one flow in the average that tells short flows from long ones.
SHORT_FLOW_WEIGHT = 0.25

# Flows of a class until the class is known.
MIN_OBSERVATIONS = 4

# Classes that are told apart. A service has a few routes; without a bound,
# odd messages could fill the memory.
MAX_CLASSES = 32


class FlowKind(enum.Enum):
    """Whether most flows of a class are closed after their first request."""
    UNKNOWN = 'unknown'
    SHORT = 'short'
    LONG = 'long'


class _Average:
    """Share of short flows among the last ones of a class."""
    __slots__ = ('share', 'count')

    def __init__(self):
        self.share = 0.0
        self.count = 0

    def add(self, is_short: bool) -> None:
        """Adds a flow."""
        self.share += SHORT_FLOW_WEIGHT * (is_short - self.share)
        self.count += 1


class ClassHistory:
    """Kind of the flows of each request class at one target."""

    def __init__(self):
        self._total = _Average()
        self._by_class: dict[routes.RequestClass | None, _Average] = {}

    @property
    def has_short_flows(self) -> bool:
        """Whether most flows of all classes are short.

        It is False until a few flows have been closed.
        """
        return self._total.share > 0.5

    def assume_short_flows(self) -> None:
        """Takes flows to be short until enough of them have been seen."""
        self._total.share = 1.0

    def observe(self, request_class: routes.RequestClass | None,
                is_short: bool) -> None:
        """Records a flow that was closed after one request, or had a second.

        Args:
          request_class: Class of the flow, None if its opening packet named
            none.
          is_short: Whether it was closed after its first request.
        """
        self._total.add(is_short)
        average = self._by_class.get(request_class)
        if average is None:
            if len(self._by_class) >= MAX_CLASSES:
                return
            average = self._by_class[request_class] = _Average()
        average.add(is_short)

    def flow_kind(self, request_class: routes.RequestClass | None) -> FlowKind:
        """Returns what is known of the flows of a class.

        A class that was not observed enough is unknown, unless most flows of
        the others, or of the target before a restart, are short.
        """
        average = self._by_class.get(request_class)
        if average is None or average.count < MIN_OBSERVATIONS:
            return (FlowKind.SHORT
                    if self.has_short_flows else FlowKind.UNKNOWN)
        return FlowKind.SHORT if average.share > 0.5 else FlowKind.LONG
