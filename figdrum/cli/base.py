"""Base class and options that commands share."""

import abc

from cleo.commands import command
from cleo import exceptions
from cleo.io.inputs import option as cleo_option
from cleo.io.outputs import output as cleo_output

from figdrum.cli import remedies
from figdrum.core import errors

CONFIG_OPTION = cleo_option.Option('config',
                                   'c',
                                   flag=False,
                                   description='Settings file (INI).')


class Command(command.Command, abc.ABC):
    """A command that reports errors with a remedy and an exit code."""

    def handle(self) -> int:
        """Runs the command and returns its exit code; called by cleo."""
        try:
            return int(self.run_command())
        except errors.FigdrumError as exc:
            return self.fail(exc)

    @abc.abstractmethod
    def run_command(self) -> remedies.ExitCode:
        """Performs the command.

        Raises:
          errors.FigdrumError: if it fails; `handle` prints the error.
        """

    def fail(self, exc: errors.FigdrumError) -> int:
        """Prints `exc` with its remedy and returns the exit code."""
        for line in remedies.describe(exc):
            self.print_error(line)
        return int(remedies.find_remedy(exc).exit_code)

    def print(self, text: str) -> None:
        """Writes a line to the output, without interpreting markup in it."""
        self.io.output.write(text, new_line=True, type=cleo_output.Type.RAW)

    def print_error(self, text: str) -> None:
        """Writes a line to the error output, without interpreting markup."""
        self.io.error_output.write(text,
                                   new_line=True,
                                   type=cleo_output.Type.RAW)

    def config_path(self) -> str:
        """Returns the path given by the option --config.

        Raises:
          exceptions.CleoRuntimeError: if the option is missing.
        """
        path = self.option('config')
        if not path:
            raise exceptions.CleoRuntimeError('the option -c FILE is required')
        return path
