"""HTML report of the events in the logs of several nodes.

Explanation
===========

The report shows the events of all processes on one time axis: requests that
agents passed to their targets, failures of flows, and changes of processes, the
store, the configuration and zones. Lines that processes dropped because of
their rate limit (`lines_dropped`) are counted separately.

Examples
========

>>> line = '{"time_ms": 5200, "process": "p", "event": "stop"}'
>>> read_events(['not a line', line])
[Event(time_ms=5200, process='p', name='stop', fields={})]
>>> count_by_second(read_events([line]), {'stop': 'stops'}, 4, 6)
{'stops': [0, 1, 0]}
"""

import collections
import collections.abc
import html
import json
import typing

from figdrum.core import clock

# Labels of the series in the two charts, by event.
REQUESTS = {'request': 'requests begun'}
FAILURES = {
    'request cut': 'requests cut',
    'flow reset': 'flows reset by balancers',
    'flows reset': 'flows reset by agents',
    'target refused': 'opening packets refused',
    'owner not found': 'owners not found',
    'no target yet': 'no target yet',
}

# Events that are marked on the time axis and listed as changes, with the fields
# that the list shows.
TIMELINE_EVENTS = {
    'start': (),
    'stop': (),
    'stopping': (),
    'store lost': ('kind',),
    'store regained': ('kind',),
    'configuration': ('version',),
    'zones out': ('zones',),
    'target started': ('target',),
    'agent gone': ('target',),
}

_COLOURS = ('#3b6ea5', '#c0504d', '#e0a030', '#7a5195', '#4f9d69', '#777777')
_WIDTH = 1_100
_HEIGHT = 180
_LEFT_MARGIN = 50
_STYLE = ('body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}'
          'td,th{padding:2px 10px;text-align:right}svg{background:#f7f7f7}')


class Event(typing.NamedTuple):
    """A line of a node's log.

    Attributes:
      time_ms: Time in ms since the Unix epoch.
      process: Name of the process.
      name: Name of the event.
      fields: The other fields of the line.
    """
    time_ms: int
    process: str
    name: str
    fields: dict[str, typing.Any]


def read_events(lines: collections.abc.Iterable[str]) -> list[Event]:
    """Returns the events in the lines of one or more logs, sorted by time.

    Lines that are not events, such as those of a traceback, are ignored.
    """
    events = []
    for line in lines:
        try:
            row = json.loads(line)
            event = Event(int(row.pop('time_ms')), str(row.pop('process')),
                          str(row.pop('event')), row)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        events.append(event)
    return sorted(events, key=lambda event: event.time_ms)


def count_by_second(events: collections.abc.Iterable[Event], labels: dict[str,
                                                                          str],
                    first_s: int, last_s: int) -> dict[str, list[int]]:
    """Returns the number of events in each second.

    Args:
      events: Events to count.
      labels: Label of the series by event name; other events are ignored.
      first_s: First second, in s since the Unix epoch.
      last_s: Last second, in s since the Unix epoch.

    Returns:
      Counts per second by label; labels without events are omitted.
    """
    counts: dict[str, list[int]] = {}
    for event in events:
        label = labels.get(event.name)
        if label is not None:
            series = counts.setdefault(label, [0] * (last_s - first_s + 1))
            series[event.time_ms // clock.MS_PER_S - first_s] += 1
    return counts


def count_by_target(
        events: collections.abc.Iterable[Event]
) -> list[tuple[str, int, int, int]]:
    """Counts events by target.

    A target can have two rows, because balancers log the name of its
    registration and agents log its incarnation.

    Returns:
      Rows of target, placed flows, requests and refused opening packets, sorted
      by target.
    """
    columns = {'flow placed': 0, 'request': 1, 'target refused': 2}
    found: dict[str, list[int]] = collections.defaultdict(lambda: [0, 0, 0])
    for event in events:
        if event.name in columns:
            target = str(event.fields.get('target', ''))
            found[target][columns[event.name]] += 1
    return [(name, *counts) for name, counts in sorted(found.items())]


def count_dropped_lines(events: collections.abc.Iterable[Event]) -> int:
    """Returns the number of lines that the processes dropped."""
    return sum(int(event.fields.get('lines_dropped', 0)) for event in events)


def render(events: collections.abc.Sequence[Event], title: str) -> str:
    """Returns the report as a self-contained HTML page."""
    if not events:
        return f'<!doctype html><title>{html.escape(title)}</title>No events.'
    first_s = events[0].time_ms // clock.MS_PER_S
    last_s = events[-1].time_ms // clock.MS_PER_S
    marks = [event for event in events if event.name in TIMELINE_EVENTS]
    parts = [
        f'<!doctype html><meta charset="utf-8"><title>{html.escape(title)}'
        f'</title><style>{_STYLE}</style><h1>{html.escape(title)}</h1>',
        f'<p>{len(events)} lines of '
        f'{len({event.process for event in events})} processes, '
        f'{last_s - first_s + 1} s; {count_dropped_lines(events)} lines were '
        'left out under load. Times are seconds from the first line.</p>'
    ]
    for heading, labels in (('Requests', REQUESTS), ('Troubles', FAILURES)):
        counts = count_by_second(events, labels, first_s, last_s)
        parts += [
            f'<h2>{heading} a second</h2>',
            _chart(counts,
                   [m.time_ms / clock.MS_PER_S - first_s for m in marks]),
            _legend(counts)
        ]
    parts += [
        '<h2>Targets</h2>',
        _table(('target', 'flows placed', 'requests', 'refused'),
               count_by_target(events))
    ]
    parts += [
        '<h2>Changes</h2>',
        _table(('s', 'process', 'event', 'what'),
               [_change_row(event, first_s) for event in marks])
    ]
    return '\n'.join(parts)


def _change_row(event: Event, first_s: int) -> tuple[str, str, str, str]:
    what = ', '.join(
        str(event.fields.get(name, '')) for name in TIMELINE_EVENTS[event.name])
    return (f'{event.time_ms / clock.MS_PER_S - first_s:.2f}', event.process,
            event.name, what)


def _chart(counts: dict[str, list[int]], marks_s: list[float]) -> str:
    seconds = max((len(series) for series in counts.values()), default=1)
    totals = [sum(column) for column in zip(*counts.values())]
    highest = max(totals, default=1)
    step = (_WIDTH - _LEFT_MARGIN) / seconds
    positions = [_LEFT_MARGIN + mark_s * step for mark_s in marks_s]
    shapes = [
        f'<line x1="{x:.1f}" x2="{x:.1f}" y1="0" y2="{_HEIGHT}" stroke="#bbb"/>'
        for x in positions
    ]
    stacked = [0] * seconds
    for colour, series in zip(_COLOURS, counts.values()):
        for second, count in enumerate(series):
            if not count:
                continue
            stacked[second] += count
            shapes.append(
                f'<rect x="{_LEFT_MARGIN + second * step:.1f}" '
                f'y="{_HEIGHT - stacked[second] * _HEIGHT / highest:.1f}" '
                f'width="{max(step - 1, 1):.1f}" '
                f'height="{count * _HEIGHT / highest:.1f}" fill="{colour}"/>')
    shapes.append(
        f'<text x="2" y="14">{highest}</text>'
        f'<text x="2" y="{_HEIGHT - 4}">0</text>'
        f'<text x="{_WIDTH - 40}" y="{_HEIGHT + 16}">{seconds} s</text>')
    return (f'<svg width="{_WIDTH}" height="{_HEIGHT + 20}">'
            f'{"".join(shapes)}</svg>')


def _legend(counts: dict[str, list[int]]) -> str:
    return '<p>' + ' &nbsp; '.join(
        f'<span style="color:{colour}">&#9632;</span> {html.escape(label)} '
        f'({sum(series)})'
        for colour, (label, series) in zip(_COLOURS, counts.items())) + '</p>'


def _table(headers: collections.abc.Iterable[str],
           rows: collections.abc.Iterable[tuple]) -> str:
    lines = ['<tr>' + ''.join(f'<th>{head}</th>' for head in headers) + '</tr>']
    lines += [
        '<tr>' + ''.join(f'<td>{html.escape(str(cell))}</td>'
                         for cell in row) + '</tr>'
        for row in rows
    ]
    return f'<table>{"".join(lines)}</table>'
