"""Base of the commands that start a balancer or an agent."""

import importlib

from cleo.io.inputs import option as cleo_option

from figdrum.cli import base
from figdrum.cli import remedies
from figdrum.settings import loader
from figdrum.telemetry import logs


class RoleCommand(base.Command):
    """Loads the settings of a role, opens the log and runs the process."""
    role = ''
    options = [
        base.CONFIG_OPTION,
        cleo_option.Option(
            'record',
            flag=False,
            description='Record decisions to this file for replay.'),
    ]

    def act(self) -> remedies.ExitCode:
        path = self.config_path()
        cfg = loader.load(path, self.role)
        record = self.option('record')
        if record:
            process = cfg.process.model_copy(update={'record': record})
            cfg = cfg.model_copy(update={'process': process})
        loader.check_ports(cfg, path, self.role)
        logs.setup(cfg.process.name, cfg.process.log_level,
                   cfg.process.log_format)
        logs.bridge_twisted()
        # The process and its reactor are loaded only for sound settings.
        process = importlib.import_module(f'figdrum.{self.role}.process')
        return remedies.ExitCode(process.run(cfg) or 0)
