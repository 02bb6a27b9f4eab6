"""Base of the commands that start a balancer or an agent."""

from cleo.io.inputs import option as cleo_option

from figdrum.cli import base
from figdrum.cli import remedies
from figdrum.cli import serve


class RoleCommand(base.Command):
    """Reads the options and goes on as the process of a role."""
    role = ''
    options = [
        base.CONFIG_OPTION,
        cleo_option.Option(
            'record',
            flag=False,
            description='Record decisions to this file for replay.'),
    ]

    def run_command(self) -> remedies.ExitCode:
        serve.replace_process(
            serve.ServeRequest(self.role, self.config_path(),
                               self.option('record') or ''))
