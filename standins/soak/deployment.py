"""The processes, servers, clients and store of a soak."""

import os
import pathlib
import random
import signal
import subprocess
import sys
import typing
import urllib.request

from twisted.internet import threads

from standins.soak import clients as clients_module
from standins.soak import flow_checker as flow_checker_module
from standins.soak import layout
from standins.soak import link as link_module
from standins.soak import observations as observations_module
from standins.soak import opening_checker as opening_checker_module
from standins.soak import proxy as proxy_module
from standins.soak import servers as servers_module
from standins.soak import store as store_module
from standins.soak import wire

READY_PERIOD_S = 0.5
READY_TIMEOUT_S = 0.4
READY_FAILURE_LIMIT = 2

# Event that a process logs just before it handles SIGTERM. Until then the
# signal may end it directly: it has carried no traffic (seed 9). If all
# processes start at once on a busy machine, that takes up to 3 s (seed 20000).
START_EVENT = b'"event":"start"'

# Time after which a process that ended is started again.
RESTART_S = 0.3

# Speeds of servers, relative to the mean.
SPEEDS = (0.6, 1.0, 1.6)

# Clients that upload, and those of them that also do so between bursts.
UPLOAD_CLIENTS = 36
STEADY_UPLOAD_CLIENTS = 6

# Priority and latency target in ms of each route, by its port.
CLASSES = {443: (0, 400), 8443: (3, 1_000), 9443: (3, 1_000), 9444: (6, 2_000)}


# One object holds the state of a whole deployment.
# pylint: disable-next=too-many-instance-attributes
class Deployment:
    """Starts, disturbs and stops all parts of the soak.

    Attributes:
      processes: Running processes by machine name.
      missed_checks: Failed readiness checks in a row, by machine name.
      spare_machines: Machines that are not started at the beginning.
      version: Version of the configuration written last.
      proxies: Proxy between a machine and the store, by machine name.
      urgent_address: Address of the route of the most urgent class.
      upload_address: Address of the route for uploads.
      keeps_settings: Whether a process that starts again gets the settings file
        of its first start.
    """

    def __init__(self, reactor: typing.Any, seed: int, network: int,
                 directory: pathlib.Path, balancers: int, targets: int,
                 client_count: int, *, disabled_mechanism: str, is_varied: bool,
                 app: str):
        self.reactor = reactor
        self.rng = random.Random(seed)
        self.observations = observations_module.Observations()
        self.store = store_module.Store(reactor, self.rng)
        self.network = network
        self.opening_checker = opening_checker_module.OpeningChecker(
            self.observations)
        self.flow_checker = flow_checker_module.FlowChecker(
            self.observations, self.flow_holders)
        self.processes: dict[str, subprocess.Popen] = {}
        self.missed_checks: dict[str, int] = {}
        self._directory = directory
        self._disabled_mechanism = disabled_mechanism
        self._app = app
        self._is_ending = False
        # Size of a machine's log when its process was launched.
        self._log_sizes: dict[str, int] = {}
        by_service = {
            'fieldbook': targets - targets // 3 + 1,
            'reportdesk': targets // 3 + 1
        }
        self.machines = layout.plan_machines(network, balancers, by_service,
                                             len(layout.ZONES))
        # One machine of each service is left for the fault that adds machines.
        self.spare_machines = [[
            m for m in self.machines if m.service == service
        ][-1] for service in by_service]
        self.balancers = [m for m in self.machines if m.role == 'balancer']
        self.agents = [m for m in self.machines if m.role == 'agent']
        self.router = clients_module.Router(self.balancers)
        fieldbook = self.urgent_address = (f'127.{network}.9.1', 443)
        reportdesk = (f'127.{network}.9.2', 8443)
        self._services = {fieldbook: 'fieldbook', reportdesk: 'reportdesk'}
        self.upload_address = (f'127.{network}.9.4', 9444)
        self._is_varied = is_varied
        if is_varied:
            self._services[self.upload_address] = 'fieldbook'
        # Versions of the configuration add and remove a route to this address.
        self._optional_address = (f'127.{network}.9.3', 9443)
        self.servers = {
            m.name:
                servers_module.Server(reactor, m, self.rng, self.observations,
                                      self.opening_checker, self.flow_checker)
            for m in self.agents
        }
        self.clients = [
            clients_module.Client(
                reactor,
                f'127.{network}.8.{n + 1}',
                # Each service has clients in all zones.
                layout.ZONES[n // 3 % len(layout.ZONES)],
                service=self._optional_address if n % 8 == 7 else
                (reportdesk if n % 3 == 2 else fieldbook),
                is_unsafe=n % 4 == 1,
                is_counted=n % 8 != 7,
                router=self.router,
                rng=self.rng,
                observations=self.observations,
                flow_checker=self.flow_checker) for n in range(client_count)
        ]
        if is_varied:
            self._vary(seed)
        self.router.links = {
            m.name: link_module.Link(reactor, self.rng) for m in self.balancers
        }
        has_few_ports = random.Random(f'{seed} ports').random() < 0.5
        for client in self.clients:
            client.has_few_ports = has_few_ports
        self.version = 1
        # Drawn apart, so that the faults of earlier seeds stay as they are.
        self.keeps_settings = random.Random(f'{seed} settings').random() < 0.5
        self.store.era = random.Random(f'{seed} first era').choice((0, 1))
        states_names = random.Random(f'{seed} name header').random() < 0.75
        for server in self.servers.values():
            server.states_name = states_names
        self.proxies: dict[str, proxy_module.Proxy] = {}
        self._store_addresses: dict[str, str] = {}

    def _vary(self, seed: int) -> None:
        """Draws the speeds of servers, and adds clients that upload."""
        rng = random.Random(f'{seed} speeds')
        for server in self.servers.values():
            server.speed = rng.choice(SPEEDS)
        for client in self.clients:
            client.is_urgent = client.service == self.urgent_address
        for number in range(UPLOAD_CLIENTS):
            client = clients_module.Client(
                self.reactor,
                f'127.{self.network}.8.{len(self.clients) + 1}',
                layout.ZONES[number % len(layout.ZONES)],
                service=self.upload_address,
                is_unsafe=True,
                is_counted=number < STEADY_UPLOAD_CLIENTS,
                router=self.router,
                rng=self.rng,
                observations=self.observations,
                flow_checker=self.flow_checker)
            client.kind = 'upload'
            client.is_burst_only = number >= STEADY_UPLOAD_CLIENTS
            self.clients.append(client)

    def now_ms(self) -> int:
        """Returns the time in ms."""
        return int(self.reactor.seconds() * 1_000)

    def start(self) -> None:
        """Starts the store, the servers, all processes and the clients."""
        host = f'127.{self.network}.3.1'
        port = store_module.listen(self.reactor, self.store, host)
        for machine in self.machines:
            proxy = proxy_module.Proxy(self.reactor, (host, port))
            listening = self.reactor.listenTCP(0, proxy, interface=host)
            self.proxies[machine.name] = proxy
            self._store_addresses[machine.name] = (
                f'{host}:{listening.getHost().port}')
        self.write_configuration()
        self.store.make_copies()
        for machine in self.machines:
            if machine not in self.spare_machines:
                self.add_machine(machine)
        self._check_ready()
        self.reactor.callLater(2.5, self._start_clients)

    def add_machine(self, machine: layout.Machine) -> None:
        """Starts a machine for the first time, and the server of an agent."""
        if machine.role == 'agent':
            self.servers[machine.name].start()
        self.launch(machine, first_start=True)

    def _start_clients(self) -> None:
        for client in self.clients:
            client.start()

    def write_configuration(self, has_optional: bool | None = None) -> None:
        """Writes the next version of the configuration to the store.

        Args:
          has_optional: Whether it has the optional route; drawn if None.
        """
        self.version += self.rng.randint(1, 3)
        services = dict(self._services)
        is_drawn = self.rng.random() < 0.5
        if is_drawn if has_optional is None else has_optional:
            services[self._optional_address] = 'fieldbook'
        self.opening_checker.note_version(self.now_ms(), services)
        self.store.put(
            'config', 'main', {
                'version': self.version,
                'routes': [{
                    'name':
                        f'r-{address[1]}',
                    'hostname':
                        address[0],
                    'pathPrefix':
                        f'/{address[1]}/',
                    'routeType':
                        'upload' if address == self.upload_address else 'safe',
                    'timeoutMs':
                        1_000 + self.version,
                    'service':
                        service,
                    **(self._stated_class(address) if self._is_varied else {})
                } for address, service in services.items()],
                'services': [{
                    'name': service,
                    'healthPath': '/health',
                    'warmupS': servers_module.WARMUP_S,
                    'coldPerS': layout.COLD_PER_S
                } for service in self._services.values()],
                'limits': {
                    'idleTimeoutMs': 15_000
                }
            })

    def _stated_class(self, address: wire.Address) -> dict[str, int]:
        """Returns what a route states; 443 is the most urgent one."""
        priority, target_ms = CLASSES[address[1]]
        return {
            'priority': priority,
            'targetLatencyMs': target_ms,
            'timeoutMs': int(clients_module.DEADLINE_S * 1_000) + self.version
        }

    def launch(self,
               machine: layout.Machine,
               first_start: bool = False) -> None:
        """Writes the settings file of a machine and starts its process."""
        if self._is_ending:
            return
        path = self._directory / f'{machine.name}.ini'
        fields = layout.settings_fields(machine,
                                        self._store_addresses[machine.name],
                                        first_start)
        path.write_text(layout.render_settings(machine.role, fields))
        with open(self._directory / f'{machine.name}.log', 'ab') as log:
            self._log_sizes[machine.name] = log.tell()
            # The process keeps running after this method.
            # pylint: disable-next=consider-using-with
            self.processes[machine.name] = subprocess.Popen(
                self._command(machine.role),
                env={
                    **os.environ, 'FIGDRUM_SETTINGS': str(path),
                    **self._python_path()
                },
                stdout=log,
                stderr=log)

    def _command(self, role: str) -> list[str]:
        """Returns the command of a process, as the deploy file has it.

        Without a build, or with a mechanism off, the sources run.
        """
        if self._app:
            return [
                sys.executable, '-S', '-OO', f'{self._app}/platform/main.py',
                role
            ]
        return [
            sys.executable, '-m', 'standins.soak.program', role,
            self._disabled_mechanism
        ]

    def _python_path(self) -> dict[str, str]:
        """Returns the variable for the libraries of a build."""
        return {'PYTHONPATH': f'{self._app}/../deps'} if self._app else {}

    def signal(self, machine: layout.Machine, number: int) -> None:
        """Sends a signal to the process of a machine, if it is running."""
        process = self.processes.get(machine.name)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def note_disturbance(self, machine: layout.Machine,
                         duration_s: float) -> None:
        """Records that a machine is disturbed for a time from now."""
        self.observations.note_disturbance(
            machine.name,
            self.now_ms() + int(duration_s * 1_000))

    def flow_holders(
            self,
            flow: flow_checker_module.Flow) -> list[flow_checker_module.Holder]:
        """Returns the running servers that hold an open flow of a client.

        There are none if the route of the flow's service may have been removed.
        """
        if not self.opening_checker.is_routed(self.now_ms(), flow.service):
            return []
        return [
            flow_checker_module.Holder(s.name, s.machine.name)
            for s in self.servers.values()
            if s.holds(flow)
        ]

    def check_unused_servers(self,
                             idle_services: typing.Container[str]) -> None:
        """Records a violation for each ready server that gets no flows.

        Args:
          idle_services: Services with free slots. A slow server of them may get
            no flows, since faster ones take them all.
        """
        now_ms = self.now_ms()
        ready = [
            s for s in self.servers.values()
            if s.is_alive and s.state == 'ready'
        ]
        for server in ready:
            used_ms = server.last_opening_ms or server.started_ms
            is_slow = any(s.speed > server.speed
                          for s in ready
                          if s.machine.service == server.machine.service)
            if (now_ms - used_ms > layout.RECOVERY_MS and
                    not (is_slow and server.machine.service in idle_services)):
                self.observations.note_violation('unused server', now_ms,
                                                 server.name)

    def watch_processes(self) -> None:
        """Restarts processes that ended; reschedules itself every 0.25 s.

        Records a violation if a process ended in an unexpected way.
        """
        for machine in self.machines:
            process = self.processes.get(machine.name)
            if process is not None and process.poll() is not None:
                del self.processes[machine.name]
                is_stopped = (process.returncode == -signal.SIGTERM and
                              not self._has_started(machine))
                if (process.returncode not in (0, -signal.SIGKILL) and
                        not is_stopped):
                    self.observations.note_violation(
                        'process ended', self.now_ms(),
                        f'{machine.name}: {process.returncode}')
                self.note_disturbance(machine, 1.0)
                self.reactor.callLater(RESTART_S, self.launch, machine,
                                       self.keeps_settings)
        self.reactor.callLater(0.25, self.watch_processes)

    def _has_started(self, machine: layout.Machine) -> bool:
        """Returns whether the last process has logged that it started."""
        log = (self._directory / f'{machine.name}.log').read_bytes()
        return START_EVENT in log[self._log_sizes[machine.name]:]

    def end(self) -> None:
        """Kills all processes and waits for their end."""
        self._is_ending = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def _check_ready(self) -> None:
        for machine in self.balancers:
            done = threads.deferToThread(_query_ready, machine)
            done.addCallback(self._on_ready, machine)
        self.reactor.callLater(READY_PERIOD_S, self._check_ready)

    def _on_ready(self, is_ready: bool, machine: layout.Machine) -> None:
        if is_ready:
            self.missed_checks[machine.name] = 0
            self.router.in_rotation.add(machine.name)
            return
        self.missed_checks[machine.name] = self.missed_checks.get(
            machine.name, 0) + 1
        if self.missed_checks[machine.name] >= READY_FAILURE_LIMIT:
            self.router.in_rotation.discard(machine.name)


def _query_ready(machine: layout.Machine) -> bool:
    try:
        with urllib.request.urlopen(
                f'http://{machine.host}:{layout.READY_PORT}/figdrum/ready',
                timeout=READY_TIMEOUT_S) as answer:
            return answer.status == 200
    except OSError:
        return False
