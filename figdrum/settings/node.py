"""Settings of a node that forwards packets.

Explanation
===========

The INI file is rendered by the platform from a template, so keys that the node
does not know are ignored. The values are checked without pydantic, which takes
20 MB of memory and is not loaded by such a node.

Examples
========

>>> cfg = parse('''[process]
... name = one
... zone = a
... [store]
... address = 10.0.0.1:80
... writes_per_s = 400
... history_s = 20
... [balancer]
... packets = 10.0.0.2:7000
... frames = 10.0.0.2:7001
... ready = 10.0.0.2:7002
... stop_s = 6
... cold_overage = 1.5
... cold_slack = 5
... control = 10.0.0.2:7003
... peers = 10.0.0.2:7003,10.0.0.3:7003
... ''', 'one.ini', 'balancer')
>>> cfg.balancer.frames
('10.0.0.2', 7001)
>>> cfg.balancer.peers
(('10.0.0.2', 7003), ('10.0.0.3', 7003))
>>> cfg.balancer.link_mbps is None
True
"""

import collections.abc
import math
import typing

from figdrum.core import errors
from figdrum.core import ids
from figdrum.settings import ini

MAX_PORT = 65_535

_BOOLEANS = {'true': True, 'false': False}


class BalancerSettings(typing.NamedTuple):
    """Addresses and limits of a balancer.

    Attributes:
      packets: Address that receives packets from clients.
      frames: Address that receives messages from agents.
      ready: Address of the readiness endpoint.
      stop_s: Time in s after SIGTERM within which the process must end.
      cold_overage: Multiple of a cold target's rate up to which opening packets
        are sent to it.
      cold_slack: Opening packets per second that are allowed in addition.
      control: Address at which other balancers read what this one knows.
      peers: Control addresses of some balancers. They may be down, and this
        balancer may be among them.
      link_mbps: Rate of the machine's link in Mbit/s, in each direction. No
        limit without it.
      cpu_share: Share of one core that the process gets. No limit without it.
      cores: Cores of the machine, of which the process uses at most one. No
        limit without it.
    """
    packets: ids.Address
    frames: ids.Address
    ready: ids.Address
    stop_s: float
    cold_overage: float
    cold_slack: float
    control: ids.Address
    peers: tuple[ids.Address, ...]
    link_mbps: float | None = None
    cpu_share: float | None = None
    cores: float | None = None


class AgentSettings(typing.NamedTuple):
    """Addresses of an agent and its target.

    Attributes:
      service: Service of the target.
      frames: Address that receives messages from balancers.
      target_packets: Address that receives packets from the target.
      target: Address on which the target receives packets (UDP) and health
        requests (TCP).
      ready: Address of the readiness endpoint.
      control: Address that receives the target's heartbeats.
      heartbeat_ms: Interval between heartbeats of the target, in ms.
      first_start: Whether the whole system starts for the first time, so that
        no flows exist yet.
    """
    service: ids.ServiceName
    frames: ids.Address
    target_packets: ids.Address
    target: ids.Address
    ready: ids.Address
    control: ids.Address
    heartbeat_ms: float
    first_start: bool


class NodeSettings(typing.NamedTuple):
    """Settings of one process.

    Attributes:
      name: Name of the process.
      zone: Availability zone of the process.
      store: Address of the platform's object store.
      store_writes_per_s: Writes per second that the store accepts from all
        nodes together.
      store_history_s: Time in s for which the store keeps changes.
      balancer: Settings of a balancer, or None.
      agent: Settings of an agent, or None.
    """
    name: str
    zone: ids.ZoneName
    store: ids.Address
    store_writes_per_s: float
    store_history_s: float
    balancer: BalancerSettings | None
    agent: AgentSettings | None

    @property
    def packet_addresses(self) -> tuple[ids.Address, ...]:
        """The addresses that receive packets and messages."""
        if self.balancer is not None:
            return self.balancer.packets, self.balancer.frames
        assert self.agent is not None
        return self.agent.frames, self.agent.target_packets


def _parse_address(text: str) -> ids.Address:
    host, _, port = text.rpartition(':')
    parts = host.split('.')
    if len(parts) != 4 or not all(p.isdigit() and int(p) < 256 for p in parts):
        raise ValueError('not an IPv4 address and a port')
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError('not an IPv4 address and a port')
    return host, int(port)


def _parse_addresses(text: str) -> tuple[ids.Address, ...]:
    return tuple(_parse_address(part) for part in text.split(',') if part)


def _parse_positive_float(text: str) -> float:
    try:
        value = float(text)
    except ValueError as exc:
        raise ValueError('not a number') from exc
    if not 0 < value < math.inf:
        raise ValueError('not a number above 0')
    return value


def _parse_limit(text: str) -> float | None:
    """Parses a limit; the platform renders an unknown value as ''."""
    return _parse_positive_float(text) if text else None


def _parse_bool(text: str) -> bool:
    if text not in _BOOLEANS:
        raise ValueError('neither true nor false')
    return _BOOLEANS[text]


def _parse_name(text: str) -> str:
    if not text:
        raise ValueError('empty')
    return text


Parser = collections.abc.Callable[[str], typing.Any]

# The parsers of the fields of `BalancerSettings` and `AgentSettings`.
_BALANCER_PARSERS: dict[str, Parser] = {
    'packets': _parse_address,
    'frames': _parse_address,
    'ready': _parse_address,
    'stop_s': _parse_positive_float,
    'cold_overage': _parse_positive_float,
    'cold_slack': _parse_positive_float,
    'control': _parse_address,
    'peers': _parse_addresses,
    'link_mbps': _parse_limit,
    'cpu_share': _parse_limit,
    'cores': _parse_limit,
}
_AGENT_PARSERS: dict[str, Parser] = {
    'service': _parse_name,
    'frames': _parse_address,
    'target_packets': _parse_address,
    'target': _parse_address,
    'ready': _parse_address,
    'control': _parse_address,
    'heartbeat_ms': _parse_positive_float,
    'first_start': _parse_bool,
}


class _Reader:
    """Reads typed values from one file."""

    def __init__(self, sections: dict[str, dict[str, str]], path: str):
        self._sections = sections
        self._path = path

    def read(self, section: str, key: str, parser: Parser) -> typing.Any:
        """Returns the value of a key.

        Args:
          section: Section of the file.
          key: Key in the section.
          parser: Returns the value for its text. The key of a limit may be
            missing.

        Raises:
          errors.SettingsError: if the key is missing or its value is invalid.
        """
        fallback = '' if parser is _parse_limit else None
        text = self._sections.get(section, {}).get(key, fallback)
        if text is None:
            raise errors.SettingsError('read settings', self._path,
                                       f'[{section}] {key} is missing')
        try:
            return parser(text)
        except ValueError as exc:
            raise errors.SettingsError(
                'read settings', self._path,
                f'[{section}] {key} = {text!r} is {exc}') from exc

    def read_section(self, section: str,
                     parsers: dict[str, Parser]) -> dict[str, typing.Any]:
        """Returns the values of a section for the keys of `parsers`."""
        return {
            key: self.read(section, key, parser)
            for key, parser in parsers.items()
        }


def parse(text: str, path: str, role: str) -> NodeSettings:
    """Returns the settings in `text`.

    Args:
      text: Text of the settings file.
      path: Path of the file, for errors.
      role: 'balancer' or 'agent'.

    Raises:
      errors.SettingsError: if a value is missing or invalid.
    """
    try:
        reader = _Reader(ini.parse(text), path)
    except ValueError as exc:
        raise errors.SettingsError('read settings', path, str(exc)) from exc
    balancer = agent = None
    if role == 'balancer':
        balancer = BalancerSettings(
            **reader.read_section(role, _BALANCER_PARSERS))
    else:
        agent = AgentSettings(**reader.read_section(role, _AGENT_PARSERS))
    return NodeSettings(
        reader.read('process', 'name', _parse_name),
        reader.read('process', 'zone', _parse_name),
        reader.read('store', 'address', _parse_address),
        reader.read('store', 'writes_per_s', _parse_positive_float),
        reader.read('store', 'history_s', _parse_positive_float), balancer,
        agent)


def load(path: str, role: str) -> NodeSettings:
    """Returns the settings in the file `path`.

    Raises:
      errors.SettingsError: if the file cannot be read, or a value is missing or
        invalid.
    """
    try:
        with open(path, encoding='utf-8') as file:
            return parse(file.read(), path, role)
    except OSError as exc:
        raise errors.SettingsError('read settings', path, exc.strerror or
                                   str(exc)) from exc
    except UnicodeDecodeError as exc:
        raise errors.SettingsError('read settings', path, str(exc)) from exc
