"""`figdrum report`: writes an HTML report from the logs of nodes."""

import pathlib

from cleo.io.inputs import argument
from cleo.io.inputs import option as cleo_option

from figdrum.cli import base
from figdrum.cli import remedies
from figdrum.core import errors
from figdrum.telemetry import day_report


class ReportCommand(base.Command):
    """Writes a page with requests, failures and changes on one time axis."""
    name = 'report'
    description = 'Writes an HTML report from the logs of balancers and agents.'
    arguments = [
        argument.Argument('logs',
                          is_list=True,
                          description='Log files of one or more nodes.')
    ]
    options = [
        cleo_option.Option('output',
                           'o',
                           flag=False,
                           default='report.html',
                           description='HTML file to write.')
    ]

    def run_command(self) -> remedies.ExitCode:
        lines: list[str] = []
        for path in self.argument('logs'):
            try:
                text = pathlib.Path(path).read_text('utf-8', errors='replace')
            except OSError as exc:
                raise errors.SettingsError('read logs', path, str(exc)) from exc
            lines += text.splitlines()
        events = day_report.read_events(lines)
        output = pathlib.Path(self.option('output'))
        output.write_text(day_report.render(events, output.stem), 'utf-8')
        self.print(f'{output}: {len(events)} of {len(lines)} lines')
        return remedies.ExitCode.OK if events else remedies.ExitCode.FAULT
