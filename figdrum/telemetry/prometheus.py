"""Gauges, histograms and event counts in Prometheus' text format.

Examples
========

>>> metrics = MetricSet()
>>> metrics.observe('search_ms', 3)
>>> print(render(metrics, {'flow placed': 2}))
figdrum_events_total{event="flow placed"} 2
figdrum_search_ms_bucket{le="1"} 0
figdrum_search_ms_bucket{le="2"} 0
figdrum_search_ms_bucket{le="5"} 1
figdrum_search_ms_bucket{le="10"} 1
figdrum_search_ms_bucket{le="20"} 1
figdrum_search_ms_bucket{le="50"} 1
figdrum_search_ms_bucket{le="100"} 1
figdrum_search_ms_bucket{le="200"} 1
figdrum_search_ms_bucket{le="500"} 1
figdrum_search_ms_bucket{le="1000"} 1
figdrum_search_ms_bucket{le="2000"} 1
figdrum_search_ms_bucket{le="5000"} 1
figdrum_search_ms_bucket{le="+Inf"} 1
figdrum_search_ms_sum 3
figdrum_search_ms_count 1
<BLANKLINE>

References
==========

https://prometheus.io/docs/instrumenting/exposition_formats/
"""

import collections.abc

# Upper bounds of the histogram buckets in ms, three per decade. They range from
# the latency between two zones to the longest deadline of a request.
BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Histogram:
    """Histogram of durations in ms.

    Attributes:
      buckets: Number of values in each bucket; the last bucket holds the values
        above all bounds.
      total: Sum of the values in ms.
    """

    def __init__(self):
        self.buckets = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self.total = 0

    def observe(self, value: int) -> None:
        """Adds a value in ms."""
        self.total += value
        for index, bound in enumerate(BUCKET_BOUNDS_MS):
            if value <= bound:
                self.buckets[index] += 1
                return
        self.buckets[-1] += 1


class MetricSet:
    """Gauges and histograms of a process.

    Attributes:
      gauges: Current values by name.
      histograms: Histograms by name.
    """

    def __init__(self):
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, Histogram] = {}

    def observe(self, name: str, value: int) -> None:
        """Adds a value in ms to the histogram `name`, created if absent."""
        self.histograms.setdefault(name, Histogram()).observe(value)


def render(metrics: MetricSet, counts: collections.abc.Mapping[str,
                                                               int]) -> str:
    """Returns metrics in Prometheus' text format.

    Args:
      metrics: Gauges and histograms.
      counts: Number of events by name.
    """
    lines = [
        f'figdrum_events_total{{event="{event}"}} {count}'
        for event, count in sorted(counts.items())
    ]
    lines += [
        f'figdrum_{name} {value}'
        for name, value in sorted(metrics.gauges.items())
    ]
    for name, histogram in sorted(metrics.histograms.items()):
        bounds = [str(bound) for bound in BUCKET_BOUNDS_MS] + ['+Inf']
        cumulative = 0
        for bound, count in zip(bounds, histogram.buckets):
            cumulative += count
            lines.append(f'figdrum_{name}_bucket{{le="{bound}"}} {cumulative}')
        lines.append(f'figdrum_{name}_sum {histogram.total}')
        lines.append(f'figdrum_{name}_count {cumulative}')
    return '\n'.join(lines) + '\n'
