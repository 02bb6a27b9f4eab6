"""Tests of the HTML report from the logs of nodes."""

import json
import re
import xml.etree.ElementTree

from figdrum.cli import app
from figdrum.telemetry import day_report


def _line(time_ms, process, event, **fields):
    return json.dumps({
        'time_ms': time_ms,
        'process': process,
        'event': event,
        **fields
    })


# Log lines of two processes: 'front', a balancer, and 'side', an agent. 't1'
# and 'i-1@5' are identities of targets. The last two lines are not events.
LINES = [
    _line(9_100, 'front', 'flow placed', target='t1'),
    _line(7_000, 'front', 'start', role='balancer'),
    _line(9_200, 'side', 'request', target='i-1@5', lines_dropped=3),
    _line(9_900, 'side', 'request', target='i-1@5'),
    _line(10_000, 'front', 'flow reset', cause='<no owner>'),
    _line(10_500, 'front', 'target refused', target='t1', reason=2),
    'Traceback (most recent call last):',
    '["no", "event"]',
]


def test_events_of_all_processes_are_in_order():
    events = day_report.read_events(LINES)
    assert [e.time_ms for e in events] == sorted(e.time_ms for e in events)
    assert len(events) == 6
    assert day_report.count_dropped_lines(events) == 3


def test_events_are_counted_by_second_and_target():
    events = day_report.read_events(LINES)
    assert day_report.count_by_second(events, day_report.REQUESTS, 7, 10) == {
        'requests begun': [0, 0, 2, 0]
    }
    assert day_report.count_by_target(events) == [('i-1@5', 0, 2, 0),
                                                  ('t1', 1, 0, 1)]


def test_page_shows_charts_and_changes():
    page = day_report.render(day_report.read_events(LINES), 'a <day>')
    charts = re.findall(r'<svg.*?</svg>', page, re.S)
    bars = [
        len(xml.etree.ElementTree.fromstring(chart).findall('rect'))
        for chart in charts
    ]
    assert bars == [1, 2]
    assert 'a &lt;day&gt;' in page
    assert '<td>front</td><td>start</td>' in page


def test_command_writes_the_page(tmp_path):
    log = tmp_path / 'front.log'
    log.write_text('\n'.join(LINES))
    page = tmp_path / 'day.html'
    assert app.main(['report', '-o', str(page), str(log)]) == 0
    assert 'flows reset by balancers' in page.read_text()


def test_missing_log_fails(tmp_path):
    assert app.main(['report', str(tmp_path / 'none.log')]) != 0
