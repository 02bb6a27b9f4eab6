"""Base of the commands that start a balancer or an agent."""

from cleo.io.inputs import option as cleo_option

from figdrum.cli import base
from figdrum.cli import remedies
from figdrum.cli import serve


class RoleCommand(base.Command):
    """Parses the options and replaces this process by that of a role.

    Attributes:
      role: 'balancer' or 'agent'.
    """
    role = ''
    options = [
        base.CONFIG_OPTION,
        cleo_option.Option(
            'record',
            flag=False,
            description='File to record decisions to, for replay.'),
    ]

    def run_command(self) -> remedies.ExitCode:
        serve.replace_process(
            serve.ServeRequest(self.role, self.config_path(),
                               self.option('record') or ''))
