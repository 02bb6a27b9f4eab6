"""`figdrum config check`: checks a configuration of the platform."""

import collections
import json
import typing

from cleo import exceptions
from cleo.io.inputs import argument
from cleo.io.inputs import option as cleo_option

from figdrum.cli import base
from figdrum.cli import platform_folder
from figdrum.cli import remedies
from figdrum.config_check import check
from figdrum.config_check import document
from figdrum.config_check import entries
from figdrum.config_check import findings
from figdrum.core import clock
from figdrum.core import errors
from figdrum.registry import object_store
from figdrum.runtime import http_client
from figdrum.runtime import loop as loop_module
from figdrum.settings import ini
from figdrum.settings import node as node_settings

Severity = findings.Severity


class CheckCommand(base.Command):
    """Prints findings about a configuration before it is sent."""
    name = 'config check'
    description = 'Checks a configuration of the platform before it is sent.'
    arguments = [
        argument.Argument('file',
                          description='File with the configuration (JSON).')
    ]
    options = [
        cleo_option.Option('config',
                           'c',
                           flag=False,
                           description='Settings file (INI) of a node; the '
                           'version in force is read from its store.'),
        cleo_option.Option('in-force',
                           flag=False,
                           description='File with the version in force.'),
        cleo_option.Option('platform',
                           flag=False,
                           default=platform_folder.DEFAULT_FOLDER,
                           description='Folder of the platform\'s adapter.'),
        cleo_option.Option('json',
                           flag=True,
                           description='One JSON object a line.')
    ]

    def run_command(self) -> remedies.ExitCode:
        if self.option('config') and self.option('in-force'):
            raise exceptions.CleoRuntimeError('give either -c or --in-force')
        adapter = platform_folder.load(self.option('platform'))
        cfg = (_load_settings(self.option('config'))
               if self.option('config') else None)

        def decode(spec: typing.Any):
            return adapter.documents.decode_configuration(
                adapter.documents.CONFIGURATION_NAME, spec)

        read = document.load(self.argument('file'))
        found = list(read.found)
        if not read.is_usable:
            return self._finish(found, remedies.ExitCode.USAGE)
        found += check.check(read.value, decode)
        if self.option('in-force'):
            in_force = document.load(self.option('in-force'))
            if not in_force.is_usable:
                found += [
                    item._replace(place=f'--in-force {item.place}'.strip())
                    for item in in_force.found
                ]
                return self._finish(found, remedies.ExitCode.USAGE)
            found += check.compare(read.value, in_force.value, decode)
        elif cfg is not None:
            entry = _read_in_force(cfg, adapter)
            if isinstance(entry, errors.StoreError):
                self._finish(found, remedies.ExitCode.UNREACHABLE)
                raise entry
            found += _compare_with_entry(read.value, entry, decode)
        is_sound = all(item.severity is Severity.HINT for item in found)
        return self._finish(
            found,
            remedies.ExitCode.OK if is_sound else remedies.ExitCode.FAULT)

    def _finish(self, found: list[findings.Finding],
                code: remedies.ExitCode) -> remedies.ExitCode:
        """Prints the findings and returns the exit code."""
        path = self.argument('file')
        for item in findings.in_order(found):
            self.print(
                json.dumps(item.to_dict(), sort_keys=True) if self.
                option('json') else f'{path}: {item}')
        if not self.option('json'):
            counts = collections.Counter(item.severity for item in found)
            self.print(f'{path}: ' +
                       ', '.join(f'{counts[severity]} {severity.value}'
                                 f'{"" if counts[severity] == 1 else "s"}'
                                 for severity in Severity))
        return code


def _load_settings(path: str) -> node_settings.NodeSettings:
    """Returns the settings of a balancer or an agent.

    Raises:
      exceptions.CleoRuntimeError: if the file cannot be read, or a value is
        missing or invalid.
    """
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
        role = 'balancer' if 'balancer' in ini.parse(text) else 'agent'
        return node_settings.parse(text, path, role)
    except (OSError, ValueError) as exc:
        raise exceptions.CleoRuntimeError(f'{path}: {exc}') from exc
    except errors.SettingsError as exc:
        # The command's exit code of a fault means that there are findings.
        raise exceptions.CleoRuntimeError(f'{path}: {exc.reason}') from exc


def _read_in_force(
    cfg: node_settings.NodeSettings, adapter: platform_folder.Adapter
) -> object_store.Entry | None | errors.StoreError:
    """Reads the configuration in force from the platform's store."""
    loop = loop_module.Loop(clock.SystemClock())
    store: object_store.ObjectStore = adapter.platform_store.PlatformStore(
        lambda name: http_client.HttpClient(loop, cfg.store, f'store {name}'),
        cfg.store_history_s)
    results: list[object_store.Entry | None | errors.StoreError] = []

    def on_result(result: object_store.Entry | None | errors.StoreError):
        results.append(result)
        loop.stop()

    store.read(adapter.documents.CONFIGURATION_KIND,
               adapter.documents.CONFIGURATION_NAME, on_result)
    loop.run()
    return results[0]


def _compare_with_entry(spec: typing.Any, entry: object_store.Entry | None,
                        decode: entries.Decode) -> list[findings.Finding]:
    if entry is None:
        return [
            findings.Finding(findings.Code.NOTHING_IN_FORCE, '',
                             'the store has no configuration')
        ]
    return check.compare(spec, entry.value, decode)
