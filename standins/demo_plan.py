"""Processes of the demo, their addresses and their settings files."""

import json
import typing

REGION = 'om-north'
ZONES = ('muscat-a', 'muscat-b', 'sohar-a')
SERVICES = ('fieldbook', 'booking')
CUSTOMERS = {'fieldbook': 'al-sahil', 'booking': 'cabeleira'}
LINGER_MS = 3_000
DRAIN_MS = 20_000
# Interval of the changes of the roster; a live feed notifies that often.
ROSTER_MS = 3_000
# RFC 7252 section 4.2: a notification that is lost twice arrives with the third
# transmission, after at most 2 s x 1.5 x (1 + 2) = 9 s.
LONGEST_GAP_MS = ROSTER_MS + 9_000
# Clients are about 3 ms from the fabric.
FABRIC_FLAGS = ('--delay-ms', '3', '--jitter-ms', '1', '--loss', '0.005',
                '--repeat', '0.01', '--reorder', '0.01')
LIMITS = {'flows': 3_000, 'new_flows': 300, 'requests': 300}


class BalancerPlan(typing.NamedTuple):
    """Zone and listening addresses of a balancer.

    Attributes:
      name: Its name.
      zone: Its zone.
      host: Loopback address of all its ports.
      packet_port: UDP port for packets from the fabric.
      frame_port: UDP port for frames from agents.
      control_port: TCP port for gossip and subscriptions.
    """
    name: str
    zone: str
    host: str
    packet_port: int
    frame_port: int
    control_port: int

    @property
    def control(self) -> str:
        """The control address as `host:port`."""
        return f'{self.host}:{self.control_port}'

    def settings(self, platform: str, fabric: str, peers: list[str]) -> str:
        """Returns the content of the settings file."""
        return '\n'.join([
            *_process_lines(self.name, self.zone),
            '[balancer]',
            f'packet_host = {self.host}',
            f'packet_port = {self.packet_port}',
            f'frame_port = {self.frame_port}',
            f'control_port = {self.control_port}',
            f'fabric = {fabric}',
            f'peers = {", ".join(peers)}',
            f'linger_ms = {LINGER_MS}',
            *_platform_lines(platform),
        ])


class AgentPlan(typing.NamedTuple):
    """Service, zone and listening address of an agent.

    Attributes:
      name: Its name, and its target's.
      service: Service that its target serves.
      zone: Its zone.
      host: Address of the frame port.
      frame_port: UDP port for frames.
    """
    name: str
    service: str
    zone: str
    host: str
    frame_port: int

    def settings(self, platform: str, target: str, balancers: list[str]) -> str:
        """Returns the content of the settings file."""
        return '\n'.join([
            *_process_lines(self.name, self.zone),
            '[agent]',
            f'service = {self.service}',
            f'frame_host = {self.host}',
            f'frame_port = {self.frame_port}',
            f'balancers = {", ".join(balancers)}',
            f'target = {target}',
            'slots = 1',
            f'drain_ms = {DRAIN_MS}',
            f'linger_ms = {LINGER_MS}',
            *_platform_lines(platform),
        ])


def operator_settings(platform: str) -> str:
    """Returns the content of the settings file for operators' commands."""
    return '\n'.join(
        ['[process]', 'name = operator', *_platform_lines(platform)])


def contract(customer: str, service: str, addresses: list[tuple[str,
                                                                int]]) -> str:
    """Returns the JSON of a contract that grants `service` at each address."""
    grants = [{
        'service': service,
        'host': host,
        'port': port
    } for host, port in addresses]
    return json.dumps({
        'customer': customer,
        'grants': grants,
        'sources': ['127.0.0.0/8'],
        'limits': LIMITS,
        'rank': 1
    })


def _process_lines(name: str, zone: str) -> list[str]:
    return [
        '[process]', f'name = {name}', f'zone = {zone}', f'region = {REGION}'
    ]


def _platform_lines(platform: str) -> list[str]:
    return ['[platform]', f'url = http://{platform}', '']
