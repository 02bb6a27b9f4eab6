"""Tests of logging."""

import json
import logging
import os

import pytest

from figdrum.telemetry import logs


@pytest.fixture(name='pipe')
def fixture_pipe():
    """Pipe that receives the log: (read end, write end)."""
    ends = os.pipe()
    before = logging.getLogger().handlers[:]
    yield ends
    logging.getLogger().handlers[:] = before
    for fd in ends:
        try:
            os.close(fd)
        except OSError:
            pass


def test_text_line_has_the_prefix_of_its_part(pipe):
    """Guards against lines that do not name their part."""
    logs.setup('muscat-1', fd=pipe[1])
    logs.part('balancer').info('serving at revision %d', 7)
    logs.part('balancer').debug('left out')
    assert os.read(pipe[0],
                   9_999).endswith(b' INFO balancer: serving at revision 7\n')


def test_json_line_has_the_part_and_the_trace(pipe):
    """Guards against JSON lines with the prefix or without the traceback."""
    logs.setup('muscat-1', log_format='json', fd=pipe[1])
    try:
        raise KeyError('x')
    except KeyError:
        logs.part('sync').exception('cannot apply')
    row = json.loads(os.read(pipe[0], 9_999))
    assert (row['process'], row['part'], row['message']) == ('muscat-1', 'sync',
                                                             'cannot apply')
    assert 'KeyError' in row['trace']


def test_full_log_target_drops_and_counts(pipe):
    """Guards against a process that blocks because nobody reads its log."""
    handler = logs.setup('muscat-1', fd=pipe[1])
    for _ in range(2_000):
        logs.part('agent').warning('x' * 500)
    dropped = handler.dropped
    assert 0 < dropped < 2_000
    while len(os.read(pipe[0], 65_536)) == 65_536:
        pass
    logs.part('agent').warning('again')
    lines = os.read(pipe[0], 65_536).decode().splitlines()
    assert lines[-2].endswith(f'cli: {dropped} log lines dropped')
    assert lines[-1].endswith('agent: again')
    assert handler.dropped == 0


def test_closed_log_target_does_not_raise(pipe):
    """Guards against a process that fails when its log reader has ended."""
    handler = logs.setup('muscat-1', fd=pipe[1])
    os.close(pipe[0])
    logs.part('agent').warning('nobody reads this')
    assert handler.dropped == 1


def test_unknown_part_is_refused():
    """Guards against prefixes that are missing in the operators' pages."""
    with pytest.raises(ValueError):
        logs.part('thing')
