"""Starts and stops the processes of the demo."""

import contextlib
import pathlib
import random
import socket
import subprocess
import sys
import time
import typing

from figdrum.core import ids
from figdrum.core import states
from figdrum.membership import service_list
from standins import demo_plan
from standins import http_call
from standins import ledger
from standins import process

START_TIMEOUT_S = 30
_STOP_TIMEOUT_S = 5
_POLL_S = 0.1
_ROOT = pathlib.Path(__file__).resolve().parent.parent


class DemoSite:
    """Starts, watches and stops the processes of the demo.

    The kernel picks free ports. Each balancer and agent has its own loopback
    host, so that no other process takes a port between its choice and its
    use.

    Attributes:
      balancers: Plans of the balancers.
      agents: Plans of the agents.
      running: Every process by name.
      services: Service addresses by (service, number).
    """

    def __init__(self, directory: pathlib.Path, binary: str,
                 rng: random.Random):
        self.running: dict[str, process.Process] = {}
        self.services: dict[tuple[str, int], ids.Address] = {}
        self._directory = directory
        self._program = ([str(pathlib.Path(binary).resolve())]
                         if binary else [sys.executable, '-m', 'figdrum'])
        self._files = contextlib.ExitStack()
        net = f'127.{rng.randrange(64, 128)}.{rng.randrange(1, 255)}'
        self._service_net = f'127.{rng.randrange(128, 192)}.0'
        self.balancers = [
            self._plan_balancer(number, zone, f'{net}.{number}')
            for number, zone in enumerate(demo_plan.ZONES, 1)
        ]
        self.agents = [
            demo_plan.AgentPlan(f'{service}-{number}', service, zone, host :=
                                f'{net}.{10 * place + number}',
                                _free_port(host, socket.SOCK_DGRAM))
            for place, service in enumerate(demo_plan.SERVICES, 1)
            for number, zone in enumerate(demo_plan.ZONES, 1)
        ]

    def start_environment(self) -> None:
        """Starts the platform, the fabric and the targets."""
        self._start_standin('platform_server', 'platform')
        wanted = [('fieldbook', 1), ('booking', 1), ('fieldbook', 2)]
        flags = list(demo_plan.FABRIC_FLAGS)
        for number, _ in enumerate(wanted, 1):
            flags += ['--service', f'{self._service_net}.{number}:0']
        for plan in self.balancers:
            flags += ['--balancer', f'{plan.host}:{plan.packet_port}']
        fabric = self._start_standin('fabric', 'fabric', *flags)
        for name, (host, port) in zip(wanted, fabric.announced['services']):
            self.services[name] = (host, port)
        for plan in self.agents:
            self._start_standin('target', f'target-{plan.name}', '--name',
                                plan.name, '--service', plan.service,
                                '--roster-ms', str(demo_plan.ROSTER_MS))

    def start_figdrum(self) -> None:
        """Starts the balancers and the agents."""
        peers = [plan.control for plan in self.balancers]
        for plan in self.balancers:
            text = plan.settings(self.platform,
                                 self.running['fabric'].address('reply'),
                                 [p for p in peers if p != plan.control])
            self._start_figdrum('balancer', plan.name, text)
        for agent in self.agents:
            target = self.running[f'target-{agent.name}'].address('http')
            own_first = sorted(self.balancers,
                               key=lambda b, zone=agent.zone: b.zone != zone)
            text = agent.settings(self.platform, target,
                                  [b.control for b in own_first])
            self._start_figdrum('agent', agent.name, text)

    @property
    def platform(self) -> str:
        """The platform's address."""
        return self.running['platform'].address('http')

    def wait_until_joined(self) -> None:
        """Waits until every agent is listed and every balancer registered.

        Raises:
          RuntimeError: if a process ends or the time-out expires.
        """
        limit = time.monotonic() + START_TIMEOUT_S
        while not self._all_joined():
            self.check_running()
            if time.monotonic() > limit:
                raise RuntimeError('balancers and agents did not join within '
                                   f'{START_TIMEOUT_S} s')
            time.sleep(_POLL_S)

    def check_running(self) -> None:
        """Raises RuntimeError if a process has ended."""
        for name, running in self.running.items():
            if not running.is_running():
                raise RuntimeError(f'{name} ended with {running.exit_code()}: '
                                   f'{self._last_lines(name)}')

    def command(self, *args: str) -> str:
        """Runs one command of figdrum and returns its output.

        Raises:
          RuntimeError: if it does not exit 0.
        """
        path = self._write('operator.ini',
                           demo_plan.operator_settings(self.platform))
        done = subprocess.run([*self._program, *args, '-c', path],
                              cwd=_ROOT,
                              capture_output=True,
                              text=True,
                              timeout=START_TIMEOUT_S,
                              check=False)
        if done.returncode:
            raise RuntimeError(f'{" ".join(args)} exited {done.returncode}: '
                               f'{done.stdout}{done.stderr}')
        return done.stdout

    def change_contract(self, service: str, numbers: tuple[int, ...]) -> None:
        """Proposes a customer's contract and approves it as another operator.

        Args:
          service: Service that the contract grants.
          numbers: Numbers of the granted addresses of the service.
        """
        customer = demo_plan.CUSTOMERS[service]
        addresses = [self.services[service, number] for number in numbers]
        path = self._write(f'{customer}.json',
                           demo_plan.contract(customer, service, addresses))
        output = self.command('contract', 'propose', path, '--operator',
                              'salma')
        self.command('contract', 'approve',
                     output.split()[0], '--operator', 'rui')

    def set_fabric_balancers(self, names: list[str]) -> None:
        """Sets the balancers to which the fabric forwards, by name."""
        http_call.send(
            self.running['fabric'].address('control'), '/control', {
                'balancers': [
                    f'{b.host}:{b.packet_port}' for b in self.balancers
                    if b.name in names
                ]
            })

    def ledgers(self) -> list[ledger.LedgerEntry]:
        """Returns the entries of every target's ledger."""
        return [
            ledger.LedgerEntry.from_json(row)
            for plan in self.agents
            for row in http_call.get(
                self.running[f'target-{plan.name}'].address('http'), '/ledger')
        ]

    def collapses(self) -> int:
        """Returns how often cold targets collapsed under too many starts."""
        return sum(
            http_call.get(self.running[f'target-{plan.name}'].address('http'),
                          '/control')['collapses'] for plan in self.agents)

    def stop(self) -> None:
        """Sends SIGTERM to every process, SIGKILL after `_STOP_TIMEOUT_S`."""
        for running in self.running.values():
            if running.is_running():
                running.terminate()
        limit = time.monotonic() + _STOP_TIMEOUT_S
        for running in self.running.values():
            try:
                running.wait(max(_POLL_S, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                running.kill()
                running.wait()
        self._files.close()

    def _all_joined(self) -> bool:
        items = http_call.get(self.platform, '/objects?prefix=')['items']
        members = {
            member.name for item in items if item['key'].startswith('lists/')
            for member in service_list.ServiceList.from_json(
                item['key'], item['version'], item['value']).members
            if member.state is states.MemberState.ACTIVE
        }
        registry = ''.join(item['value']
                           for item in items
                           if item['key'].startswith('balancers/'))
        return (members >= {plan.name for plan in self.agents} and
                all(f'"{plan.name}"' in registry for plan in self.balancers))

    def _plan_balancer(self, number: int, zone: str,
                       host: str) -> demo_plan.BalancerPlan:
        return demo_plan.BalancerPlan(f'lb-{number}', zone, host,
                                      *_free_ports(host))

    def _start_standin(self, module: str, name: str, *flags:
                       str) -> process.Process:
        started = process.Process.start_standin(module,
                                                *flags,
                                                name=name,
                                                log=self._log(name))
        self.running[name] = started
        return started

    def _start_figdrum(self, role: str, name: str, text: str) -> None:
        path = self._write(f'{name}.ini', text)
        self.running[name] = process.Process(name,
                                             [*self._program, role, '-c', path],
                                             self._log(name),
                                             log_stdout=True)

    def _write(self, name: str, text: str) -> str:
        path = self._directory / name
        path.write_text(text, encoding='utf-8')
        return str(path)

    def _log(self, name: str) -> typing.IO:
        return self._files.enter_context(
            open(self._directory / f'{name}.log', 'w', encoding='utf-8'))

    def _last_lines(self, name: str) -> str:
        path = self._directory / f'{name}.log'
        lines = path.read_text(encoding='utf-8').splitlines()
        return ' | '.join(lines[-5:])


def _free_ports(host: str) -> tuple[int, int, int]:
    packet = _free_port(host, socket.SOCK_DGRAM)
    frame = packet
    while frame == packet:
        frame = _free_port(host, socket.SOCK_DGRAM)
    return packet, frame, _free_port(host, socket.SOCK_STREAM)


def _free_port(host: str, kind: int) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]
