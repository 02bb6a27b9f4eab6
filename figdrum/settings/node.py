"""Settings of a node that carries packets.

Explanation
===========

The file is INI like all of figdrum's settings. It is rendered by the platform
from a template, so keys that a node does not know are ignored, and it is
checked without pydantic, which takes 20 MB and is not loaded by such a node.

Examples
========

>>> cfg = parse('''[process]
... name = one
... zone = a
... [store]
... address = 10.0.0.1:80
... writes_per_s = 400
... [balancer]
... packets = 10.0.0.2:7000
... frames = 10.0.0.2:7001
... ready = 10.0.0.2:7002
... stop_s = 6
... cold_overage = 1.5
... cold_slack = 5
... ''', 'one.ini', 'balancer')
>>> cfg.balancer.frames
('10.0.0.2', 7001)
"""

import configparser
import math
import typing

from figdrum.core import errors
from figdrum.core import ids

MAX_PORT = 65_535

_TRUTH = {'true': True, 'false': False}


class BalancerSettings(typing.NamedTuple):
    """Addresses and bounds of a balancer.

    Attributes:
      packets: Where packets from clients arrive.
      frames: Where messages from agents arrive.
      ready: Where readiness is asked for.
      stop_s: Time after SIGTERM in which the process has to end.
      cold_overage: Factor on the rate that a cold target bears.
      cold_slack: Opening packets a second beyond that.
    """
    packets: ids.Address
    frames: ids.Address
    ready: ids.Address
    stop_s: float
    cold_overage: float
    cold_slack: float


class AgentSettings(typing.NamedTuple):
    """Addresses of an agent and its target.

    Attributes:
      service: Service of the target.
      frames: Where messages from balancers arrive.
      target_packets: Where the target sends its packets.
      target: Where the target takes packets (UDP) and health requests (TCP).
      ready: Where readiness is asked for.
      control: Where the target's heartbeats arrive.
      heartbeat_ms: Time between heartbeats of the target.
      first_start: Whether the whole system starts for the first time, so that
        no flows exist.
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
      zone: Its availability zone.
      store: Address of the platform's object store.
      store_writes_per_s: Writes a second that it takes from all nodes.
      balancer: Settings of a balancer, or None.
      agent: Settings of an agent, or None.
    """
    name: str
    zone: ids.ZoneName
    store: ids.Address
    store_writes_per_s: float
    balancer: BalancerSettings | None
    agent: AgentSettings | None


def _parse_address(text: str) -> ids.Address:
    host, _, port = text.rpartition(':')
    parts = host.split('.')
    if len(parts) != 4 or not all(p.isdigit() and int(p) < 256 for p in parts):
        raise ValueError('not an IPv4 address and a port')
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError('not an IPv4 address and a port')
    return host, int(port)


def _parse_positive(text: str) -> float:
    try:
        value = float(text)
    except ValueError as exc:
        raise ValueError('not a number') from exc
    if not 0 < value < math.inf:
        raise ValueError('not a number above 0')
    return value


def _parse_truth(text: str) -> bool:
    if text not in _TRUTH:
        raise ValueError('neither true nor false')
    return _TRUTH[text]


def _parse_name(text: str) -> str:
    if not text:
        raise ValueError('empty')
    return text


_PARSERS: dict[typing.Any, typing.Callable[[str], typing.Any]] = {
    ids.Address: _parse_address,
    float: _parse_positive,
    bool: _parse_truth,
    str: _parse_name,
    ids.ServiceName: _parse_name,
    ids.ZoneName: _parse_name,
}

_ROLES = {'balancer': BalancerSettings, 'agent': AgentSettings}


class _Reader:
    """Reads typed values of one file."""

    def __init__(self, parser: configparser.ConfigParser, path: str):
        self._parser = parser
        self._path = path

    def read(self, section: str, key: str, kind: typing.Any) -> typing.Any:
        """Returns a value; raises `SettingsError` naming section and key."""
        text = self._parser.get(section, key, fallback=None)
        if text is None:
            raise errors.SettingsError('read settings', self._path,
                                       f'[{section}] {key} is missing')
        try:
            return _PARSERS[kind](text)
        except ValueError as exc:
            raise errors.SettingsError(
                'read settings', self._path,
                f'[{section}] {key} = {text!r} is {exc}') from exc

    def read_section(self, section: str, kind: typing.Any) -> typing.Any:
        """Returns all values of a section as the named tuple `kind`."""
        return kind(*(self.read(section, key, annotation)
                      for key, annotation in kind.__annotations__.items()))


def parse(text: str, path: str, role: str) -> NodeSettings:
    """Returns the settings in `text`.

    Args:
      text: The file.
      path: Its name, for errors.
      role: 'balancer' or 'agent'.

    Raises:
      errors.SettingsError: if a value is missing or not valid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        raise errors.SettingsError('read settings', path,
                                   str(exc).replace('\n', ' ')) from exc
    reader = _Reader(parser, path)
    sections = {
        name: reader.read_section(name, kind) if name == role else None
        for name, kind in _ROLES.items()
    }
    return NodeSettings(reader.read('process', 'name', str),
                        reader.read('process', 'zone', ids.ZoneName),
                        reader.read('store', 'address', ids.Address),
                        reader.read('store', 'writes_per_s', float),
                        sections['balancer'], sections['agent'])


def load(path: str, role: str) -> NodeSettings:
    """Returns the settings in the file `path`.

    Raises:
      errors.SettingsError: if the file cannot be read or is not valid.
    """
    try:
        with open(path, encoding='utf-8') as file:
            return parse(file.read(), path, role)
    except OSError as exc:
        raise errors.SettingsError('read settings', path, exc.strerror or
                                   str(exc)) from exc
