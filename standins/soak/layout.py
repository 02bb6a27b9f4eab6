"""Loopback addresses of the machines, and their settings files."""

import pathlib
import re
import typing

ROOT = pathlib.Path(__file__).resolve().parents[2]

PACKET_PORT = 21_001
READY_PORT = 21_002
CONTROL_PORT = 21_003
OUTBOUND_PORT = 21_004
TARGET_PORT = 21_005
INTERNAL_PORT = 21_006

ZONES = ('a', 'b', 'c')

# Deadlines that the requirements set. RECONNECT_MS is the time that a machine
# has, after a disturbance, to be in contact again.
DRAIN_MS = 3_000
ZONE_OUT_MS = 5_000
CONFIGURATION_MS = 3_000
RECOVERY_MS = 12_000
RECONNECT_MS = 4_000
REORDER_MS = 2_000
HEARTBEAT_MS = 1_200
GRACE_S = 6

# Time in s for which the store says that it keeps changes.
HISTORY_S = 20

# Opening packets per second that a cold target can take, and how far the
# requirements allow that rate to be exceeded: by a factor, and by a number of
# packets.
COLD_PER_S = 2.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5


class Machine(typing.NamedTuple):
    """A machine that runs a balancer, or an agent with its target.

    Attributes:
      name: Unique name, also of its settings and log files.
      role: 'balancer' or 'agent'.
      zone: Its availability zone.
      host: Its loopback address.
      service: Service of its target, empty for a balancer.
    """
    name: str
    role: str
    zone: str
    host: str
    service: str


def plan_machines(network: int, balancers: int, by_service: dict[str, int],
                  zones: int) -> list[Machine]:
    """Returns the machines, spread evenly over the zones.

    Args:
      network: Second byte of all addresses; it differs between soaks that run
        at the same time.
      balancers: Number of balancers in all zones.
      by_service: Number of targets by service.
      zones: Number of zones in use.
    """
    machines = []
    for number in range(balancers):
        machines.append(
            Machine(f'front-{number}', 'balancer', ZONES[number % zones],
                    f'127.{network}.1.{number + 1}', ''))
    number = 0
    for service, count in by_service.items():
        for _ in range(count):
            machines.append(
                Machine(f'side-{number}', 'agent', ZONES[number % zones],
                        f'127.{network}.2.{number + 1}', service))
            number += 1
    return machines


# Number of balancers that the settings name, as on the platform.
SEED_COUNT = 3


def settings_fields(machine: Machine, store: str,
                    first_start: bool) -> dict[str, typing.Any]:
    """Returns the values of the placeholders in the platform's templates."""
    host = machine.host
    return {
        'nodeName':
            machine.name,
        'zone':
            machine.zone,
        'ip':
            host,
        'service':
            machine.service,
        'app':
            f'{host}:{TARGET_PORT}',
        'heartbeatMs':
            HEARTBEAT_MS,
        'bootstrap':
            first_start,
        'seeds':
            ','.join(f'{host.rpartition(".")[0]}.{number}:{CONTROL_PORT}'
                     for number in range(1, SEED_COUNT + 1)),
        'internalPorts': [INTERNAL_PORT, INTERNAL_PORT + 1],
        'listen': {
            'datagramAddr': f'{host}:{PACKET_PORT}',
            'ready': f'{host}:{READY_PORT}',
            'control': f'{host}:{CONTROL_PORT}',
            'outbound': f'{host}:{OUTBOUND_PORT}',
        },
        'platform': {
            'address': store,
            'writesPerS': 400,
            'historyS': HISTORY_S
        },
        'bounds': {
            'graceS': GRACE_S,
            'evacuateMs': ZONE_OUT_MS,
            'warmupOverage': COLD_OVERAGE,
            'warmupSlack': COLD_SLACK,
        },
        # The platform renders a value that it does not know as ''.
        'limits': {
            'linkMbps': '',
            'cpuShare': '',
            'cores': '',
        },
    }


def render_settings(role: str, fields: dict[str, typing.Any]) -> str:
    """Returns the text of a role's settings file.

    It fills in the template as the platform does.
    """

    def value(match: re.Match) -> str:
        found: typing.Any = fields
        for name in match.group(1).split('.'):
            found = found[int(name)] if name.isdigit() else found[name]
        return str(found).lower() if isinstance(found, bool) else str(found)

    template = (ROOT / 'platform' / f'{role}.ini').read_text()
    return re.sub(r'\{\{([\w.]+)\}\}', value, template)
