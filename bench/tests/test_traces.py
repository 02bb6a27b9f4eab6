"""Compares the recorded traces with their expected outcomes."""

import json

import pytest

from bench import record_traces
from figdrum.telemetry import replay
from figdrum.telemetry import trace_reader


def _steps(name):
    return list(
        trace_reader.TraceReader(str(record_traces.TRACES /
                                     f'{name}.trace')).steps())


@pytest.mark.parametrize('name', sorted(record_traces.EVENTS))
def test_trace_replays_with_the_stated_outcome(name):
    """Guards against decision code that decides differently from the recording,
    and against a recording with an unexpected outcome."""
    steps = _steps(name)
    stated = json.loads((record_traces.TRACES / f'{name}.json').read_text())
    assert record_traces.summarize(steps)._asdict() == stated
    assert replay.replay(steps) == replay.ReplayResult(len(steps), None)


@pytest.mark.parametrize('name', sorted(record_traces.EVENTS))
def test_altered_trace_is_found_at_the_first_step_that_differs(name):
    """Guards against a replay that compares nothing."""
    steps = _steps(name)
    altered = [
        i for i, step in enumerate(steps)
        if step.method in ('on_packet', 'route')
    ][3::5]
    for i in altered:
        steps[i] = steps[i]._replace(actions={'raised': 'altered'})
    found = replay.replay(steps)
    assert found.steps == altered[0]
    assert found.difference.step == steps[altered[0]]
