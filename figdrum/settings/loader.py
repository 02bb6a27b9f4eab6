"""Reads settings files and reports all of their faults.

Explanation
===========

`load` returns typed settings, or raises a single error that lists every fault
in the file. `read` returns the faults as values, for `figdrum check`.
`check_ports` detects ports that are in use by another process, before this
process starts to serve.

Examples
========

>>> fault = Fault('a.ini', 'agent', 'slots', 'two', 'expected a whole number')
>>> str(fault)
"a.ini: [agent] slots = 'two': expected a whole number"

References
==========

The file format is that of configparser:
https://docs.python.org/3/library/configparser.html
"""

import configparser
import difflib
import re
import socket
import typing

import pydantic

from figdrum.core import errors
from figdrum.settings import schema

_HEADER_PATTERN = re.compile(r'\[(?P<name>[^]]*)\]')
_OPTION_PATTERN = re.compile(r'(?P<name>[^\s#;=:][^=:]*?)\s*[=:]')


class Fault(typing.NamedTuple):
    """A fault in a settings file.

    Attributes:
      file: Path of the file.
      section: Section with the fault, or '' if it is outside of sections.
      key: Key with the fault, or ''.
      value: Invalid text, or ''.
      reason: Description of the fault.
    """
    file: str
    section: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        place = self.file + ':'
        if self.section:
            place += f' [{self.section}]'
        if self.key:
            place += f' {self.key}'
        if self.value:
            place += f' = {self.value!r}'
        return f'{place.rstrip(":")}: {self.reason}'


class ReadResult(typing.NamedTuple):
    """Result of reading a settings file.

    Attributes:
      settings: The settings, or None if there are faults.
      faults: Faults of the file.
    """
    settings: schema.Settings | None
    faults: tuple[Fault, ...]


class _FaultCollector:
    """Collects the faults of one file."""

    def __init__(self, path: str):
        self._path = path
        self.faults: list[Fault] = []

    def add(self, section: str, key: str, value: str, reason: str) -> None:
        """Adds a fault."""
        self.faults.append(Fault(self._path, section, key, value, reason))


def load(path: str, role: str = '', name: str = '') -> schema.Settings:
    """Returns the settings in the file `path`.

    Args:
      path: An INI file.
      role: 'balancer' or 'agent' if the file must have that section, or ''.
      name: Name of the process that overrides the one in the file, or ''.

    Raises:
      errors.SettingsError: if the file cannot be read or has any fault; the
        reason lists all faults.
    """
    reading = read(path, role, name)
    if reading.settings is None:
        raise errors.SettingsError(
            'load settings', path,
            '; '.join(str(fault) for fault in reading.faults))
    return reading.settings


def read(path: str, role: str = '', name: str = '') -> ReadResult:
    """Returns the settings in the file `path`, or all of its faults.

    Args:
      path: An INI file.
      role: As in `load`.
      name: As in `load`.
    """
    collector = _FaultCollector(path)
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        collector.add('', '', '', f'cannot read the file: {exc}')
        return ReadResult(None, tuple(collector.faults))
    return read_text(text, path, role, name)


def read_text(text: str,
              path: str,
              role: str = '',
              name: str = '') -> ReadResult:
    """Returns the settings in `text`, or all of its faults.

    Args:
      text: Text of a settings file.
      path: Path of the file, for the faults.
      role: As in `load`.
      name: As in `load`.
    """
    collector = _FaultCollector(path)
    _find_duplicates(text, collector)
    sections = _parse(text, collector)
    if name:
        sections.setdefault('process', {})['name'] = name
    built = {}
    for title, pairs in sections.items():
        if title not in schema.SECTIONS:
            collector.add(
                title, '', '',
                'unknown section' + _suggestion(title, schema.SECTIONS))
            continue
        section = _build(title, pairs, collector)
        if section is not None:
            built[title] = section
    _check_sections(sections, role, collector)
    _check_values(built, collector)
    if collector.faults:
        return ReadResult(None, tuple(collector.faults))
    return ReadResult(schema.Settings(**built), ())


def _parse(text: str, collector: _FaultCollector) -> dict[str, dict[str, str]]:
    # The default section is given a name that no file contains. Otherwise the
    # keys of a section [DEFAULT] would be added to every other section.
    parser = configparser.ConfigParser(interpolation=None,
                                       strict=False,
                                       default_section='\0')
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as exc:
        collector.add('', '', exc.line.strip(),
                      f'line {exc.lineno} precedes the first section')
        return {}
    except configparser.ParsingError as exc:
        for lineno, line in exc.errors:
            collector.add('', '', str(line),
                          f'line {lineno} is not of the form key = value')
    return {name: dict(parser.items(name)) for name in parser.sections()}


def _find_duplicates(text: str, collector: _FaultCollector) -> None:
    seen: set[tuple[str, str]] = set()
    section = ''
    for lineno, line in enumerate(text.splitlines(), 1):
        header, option = _HEADER_PATTERN.match(line), _OPTION_PATTERN.match(
            line)
        if header:
            section = header['name']
        elif not option:
            continue
        place = (section, '' if header else option['name'])
        if place in seen:
            collector.add(*place, '',
                          f'line {lineno} repeats an earlier section or key')
        seen.add(place)


def _build(name: str, pairs: dict[str, str],
           collector: _FaultCollector) -> schema.Section | None:
    cls = schema.SECTIONS[name]
    try:
        return cls.model_validate(pairs)
    except pydantic.ValidationError as exc:
        for error in exc.errors(include_url=False):
            key = str(error['loc'][0])
            collector.add(name, key, str(pairs.get(key, '')),
                          _describe_error(error, key, cls))
    return None


def _describe_error(error: typing.Any, key: str,
                    cls: type[schema.Section]) -> str:
    kind = error['type']
    if kind == 'extra_forbidden':
        return 'unknown key' + _suggestion(key, cls.model_fields)
    if kind == 'missing':
        return 'a value is required'
    reason = error['msg'].removeprefix('Value error, ')
    if key.endswith('_ms') and kind == 'value_error':
        reason += '; the value is in ms'
    return reason


def _suggestion(name: str, known: typing.Iterable[str]) -> str:
    close = difflib.get_close_matches(name, list(known), n=1)
    return f'; did you mean {close[0]}?' if close else ''


def _check_sections(sections: dict[str, dict[str, str]], role: str,
                    collector: _FaultCollector) -> None:
    for name in ('process', 'platform') + ((role,) if role else ()):
        if name not in sections:
            collector.add(name, '', '', 'the section is required')
    if not any(name in sections for name in schema.ROLES):
        return
    for key in ('zone', 'region'):
        if 'process' in sections and not sections['process'].get(key):
            collector.add('process', key, '',
                          'the key is required for a balancer or agent')


def _check_values(built: dict[str, typing.Any],
                  collector: _FaultCollector) -> None:
    for rule in schema.ORDER_RULES:
        section = built.get(rule.section)
        if section is None:
            continue
        low, high = getattr(section, rule.low), getattr(section, rule.high)
        if low >= high:
            collector.add(
                rule.section, rule.low, str(low),
                f'must be less than {rule.high} = {high}: {rule.reason}')
    balancer = built.get('balancer')
    if balancer and balancer.packet_port == balancer.frame_port != 0:
        collector.add('balancer', 'frame_port', str(balancer.frame_port),
                      'packet_port uses the same UDP port')
    agent = built.get('agent')
    if agent and agent.cold_rate > agent.full_rate:
        collector.add(
            'agent', 'cold_rate', str(agent.cold_rate),
            f'must not be greater than full_rate = {agent.full_rate}')


class _Endpoint(typing.NamedTuple):
    """A local port that a process opens when it starts.

    Attributes:
      section: Section of the settings that names the port.
      key: Key of the port in that section.
      kind: `socket.SOCK_DGRAM` for UDP or `socket.SOCK_STREAM` for TCP.
      host: IPv4 address.
      port: Port number.
    """
    section: str
    key: str
    kind: socket.SocketKind
    host: str
    port: int


def check_ports(cfg: schema.Settings, path: str, role: str) -> None:
    """Checks that the ports of `role` are not in use.

    Args:
      cfg: Settings with the section of `role`.
      path: Path of the settings file, for the error.
      role: 'balancer' or 'agent'.

    Raises:
      errors.SettingsError: if any port cannot be opened; the reason lists all
        of them.
    """
    collector = _FaultCollector(path)
    for endpoint in _endpoints(cfg, role):
        with socket.socket(socket.AF_INET, endpoint.kind) as sock:
            if endpoint.kind == socket.SOCK_STREAM:
                # Like the process's listener, accept ports that are still
                # used by connections in TIME_WAIT.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((endpoint.host, endpoint.port))
            except OSError as exc:
                collector.add(
                    endpoint.section, endpoint.key, str(endpoint.port),
                    f'cannot open the port on {endpoint.host}: {exc.strerror}')
    if collector.faults:
        raise errors.SettingsError('open ports', path,
                                   '; '.join(str(f) for f in collector.faults))


def _endpoints(cfg: schema.Settings, role: str) -> tuple[_Endpoint, ...]:
    udp, tcp = socket.SOCK_DGRAM, socket.SOCK_STREAM
    if role == 'agent':
        agent = cfg.agent
        return (_Endpoint(role, 'frame_port', udp, agent.frame_host,
                          agent.frame_port),)
    balancer = cfg.balancer
    host = balancer.packet_host
    return (_Endpoint(role, 'packet_port', udp, host, balancer.packet_port),
            _Endpoint(role, 'frame_port', udp, host, balancer.frame_port),
            _Endpoint(role, 'control_port', tcp, host, balancer.control_port))
