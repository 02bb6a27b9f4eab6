"""Entry point of the program `figdrum`.

Explanation
===========

Each command has its own module, which is imported only when the command runs.
This keeps unused modules out of the memory of long-running processes.
"""

import collections.abc
import importlib
import sys

from cleo import application
from cleo.commands import command as cleo_command
from cleo import exceptions
from cleo.io.inputs import argv_input
from cleo.io.outputs import output as cleo_output
from cleo.loaders import factory_command_loader

import figdrum
from figdrum.cli import remedies

COMMANDS = {
    'balancer': 'figdrum.cli.balancer:BalancerCommand',
    'agent': 'figdrum.cli.agent:AgentCommand',
    'contract propose': 'figdrum.cli.contract_propose:ProposeCommand',
    'contract show': 'figdrum.cli.contract_show:ShowCommand',
    'contract approve': 'figdrum.cli.contract_approve:ApproveCommand',
    'contract reject': 'figdrum.cli.contract_reject:RejectCommand',
    'contract list': 'figdrum.cli.contract_list:ListCommand',
    'contract history': 'figdrum.cli.contract_history:HistoryCommand',
    'zone out': 'figdrum.cli.zone:OutCommand',
    'zone in': 'figdrum.cli.zone:InCommand',
    'status': 'figdrum.cli.status:StatusCommand',
    'audit': 'figdrum.cli.audit:AuditCommand',
    'check': 'figdrum.cli.check:CheckCommand',
    'config check': 'figdrum.cli.config_check:CheckCommand',
    'replay': 'figdrum.cli.replay:ReplayCommand',
    'report': 'figdrum.cli.report:ReportCommand',
}


def _command_factory(
        import_path: str) -> collections.abc.Callable[[], cleo_command.Command]:

    def make() -> cleo_command.Command:
        module, _, name = import_path.partition(':')
        return getattr(importlib.import_module(module), name)()

    return make


def make_application() -> application.Application:
    """Returns the application; it imports commands on demand."""
    app = application.Application('figdrum', figdrum.__version__)
    app.set_command_loader(
        factory_command_loader.FactoryCommandLoader({
            name: _command_factory(import_path)
            for name, import_path in COMMANDS.items()
        }))
    app.auto_exits(False)
    app.catch_exceptions(False)
    return app


def main(argv: collections.abc.Sequence[str] | None = None,
         output: cleo_output.Output | None = None,
         error_output: cleo_output.Output | None = None) -> int:
    """Runs one command.

    Args:
      argv: Arguments after the name of the program, by default those of the
        process.
      output: Output for results, by default standard output.
      error_output: Output for errors, by default standard error.

    Returns:
      The exit code, a value of `remedies.ExitCode`.
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    app = make_application()
    parsed = argv_input.ArgvInput(['figdrum'] + arguments)
    parsed.set_stream(sys.stdin)
    try:
        return app.run(parsed, output, error_output)
    except exceptions.CleoError as exc:
        io = app.create_io(parsed, output, error_output)
        io.write_error_line(f'figdrum: {exc}')
        io.write_error_line('Commands: ' + ', '.join(COMMANDS))
        return int(remedies.ExitCode.USAGE)
