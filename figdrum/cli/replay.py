"""`figdrum replay`: runs a recorded trace through the decision code."""

from cleo.io.inputs import argument

from figdrum.cli import base
from figdrum.cli import remedies
from figdrum.telemetry import replay
from figdrum.telemetry import trace_reader


class ReplayCommand(base.Command):
    """Prints the number of equal steps, and the first difference."""
    name = 'replay'
    description = 'Replays a trace recorded with --record.'
    arguments = [argument.Argument('file', description='Trace file.')]

    def run_command(self) -> remedies.ExitCode:
        path = self.argument('file')
        found = replay.replay(trace_reader.TraceReader(path).steps())
        if found.difference is None:
            self.print(f'{path}: {found.steps} steps with the same outcome')
            return remedies.ExitCode.OK
        step = found.difference.step
        self.print(f'{path}: step {step.step} differs after {found.steps} '
                   f'steps: {step.controller}.{step.method} at '
                   f'{step.now_ms} ms: {found.difference.reason}')
        self.print(f'  recorded: {step.actions}')
        self.print(f'  replayed: {found.difference.found}')
        return remedies.ExitCode.FAULT
