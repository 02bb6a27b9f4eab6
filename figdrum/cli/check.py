"""`figdrum check`: reports the faults of a settings file."""

from cleo.io.inputs import argument

from figdrum.cli import base
from figdrum.cli import remedies
from figdrum.settings import loader


class CheckCommand(base.Command):
    """Prints the faults of a settings file, one per line."""
    name = 'check'
    description = 'Reports every fault of a settings file.'
    arguments = [argument.Argument('file', description='Settings file (INI).')]

    def run_command(self) -> remedies.ExitCode:
        path = self.argument('file')
        reading = loader.read(path)
        if reading.settings is None:
            for fault in reading.faults:
                self.print(str(fault))
            return remedies.ExitCode.FAULT
        self.print(f'{path}: sound')
        return remedies.ExitCode.OK
