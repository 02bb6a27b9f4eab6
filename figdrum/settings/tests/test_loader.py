"""Tests of the settings loader."""

import pathlib
import re
import socket

import pytest

import figdrum
from figdrum.core import errors
from figdrum.settings import loader
from figdrum.settings import schema

# Keys that no code reads: the region is only informative.
UNREAD_KEYS = ['[process] region']
PLATFORM = '[platform]\nurl = http://127.0.0.1:8000\n'
PROCESS = '[process]\nname = muscat-1\nzone = muscat-a\nregion = om-north\n'
AGENT = ('[agent]\nservice = fieldbook\nframe_host = 127.0.0.1\n'
         'frame_port = 0\nbalancers = 127.0.0.1:7002\n'
         'target = 127.0.0.1:8080\n')
BALANCER = ('[balancer]\npacket_host = 127.0.0.1\npacket_port = 0\n'
            'frame_port = 0\ncontrol_port = 0\nfabric = 127.0.0.1:9000\n')


def faults_of(text: str, role: str = '') -> list[tuple[str, str]]:
    """Returns (section, key) of each fault in `text`."""
    return [(fault.section, fault.key)
            for fault in loader.read_text(text, 'x.ini', role).faults]


def write(tmp_path, text: str) -> str:
    """Returns the path of a new file with `text`."""
    path = tmp_path / 'x.ini'
    path.write_text(text, encoding='utf-8')
    return str(path)


def test_values_are_typed(tmp_path):
    """Guards against addresses or durations that are passed on as text."""
    cfg = loader.load(write(tmp_path, PROCESS + AGENT + PLATFORM), 'agent')
    assert cfg.process.name == 'muscat-1'
    assert cfg.agent.target == ('127.0.0.1', 8080)
    assert cfg.agent.balancers == (('127.0.0.1', 7002),)
    assert cfg.agent.linger_ms == 10_000
    assert cfg.balancer is None


def test_operator_needs_no_zone():
    """Guards against a zone or role being required in an operator's file."""
    text = '[process]\nname = salma\n' + PLATFORM
    assert not faults_of(text)


def test_given_name_replaces_the_one_in_the_file():
    """Guards against commands that run under the wrong operator's name."""
    for text in ('[process]\nname = salma\n' + PLATFORM, PLATFORM):
        cfg = loader.read_text(text, 'x.ini', name='rui').settings
        assert cfg.process.name == 'rui'


def test_role_section_is_required_only_for_its_role():
    """Guards against an agent that starts with a balancer's file."""
    text = PROCESS + BALANCER + PLATFORM
    assert not faults_of(text, 'balancer')
    assert faults_of(text, 'agent') == [('agent', '')]


@pytest.mark.parametrize('line,key', [
    ('linger_ms = 10s', 'linger_ms'),
    ('linger_ms = 1.5', 'linger_ms'),
    ('linger_ms = 0', 'linger_ms'),
    ('linger_ms = -1', 'linger_ms'),
    ('linger_s = 10', 'linger_s'),
    ('Linger_ms = 10', 'Linger_ms'),
    ('cold_rate = 2/s', 'cold_rate'),
    ('cold_rate = nan', 'cold_rate'),
    ('cold_rate = 201', 'cold_rate'),
    ('slots =', 'slots'),
    ('wake_gap_ms = 1500', 'wake_gap_ms'),
    ('key_ms = 247000', 'key_ms'),
])
def test_bad_value_is_refused(line, key):
    """Guards against values with a wrong unit, range or order."""
    text = PROCESS + AGENT + line + '\n' + PLATFORM
    assert faults_of(text, 'agent') == [('agent', key)]


@pytest.mark.parametrize('old,new,place', [
    ('target = 127.0.0.1:8080', 'target = localhost:8080', ('agent', 'target')),
    ('target = 127.0.0.1:8080', 'target = 127.0.0.1', ('agent', 'target')),
    ('target = 127.0.0.1:8080', 'target = 127.0.0.1:0', ('agent', 'target')),
    ('balancers = 127.0.0.1:7002', 'balancers =', ('agent', 'balancers')),
    ('balancers = 127.0.0.1:7002', 'balancers = 127.0.0.1:1, 127.0.0.1:1',
     ('agent', 'balancers')),
    ('frame_port = 0', 'frame_port = 65536', ('agent', 'frame_port')),
    ('zone = muscat-a', 'zone = Muscat A', ('process', 'zone')),
    ('zone = muscat-a', 'zone = -muscat', ('process', 'zone')),
    ('zone = muscat-a', '', ('process', 'zone')),
    ('http://127.0.0.1:8000', 'https://127.0.0.1:8000', ('platform', 'url')),
    ('http://127.0.0.1:8000', 'http://127.0.0.1', ('platform', 'url')),
    ('http://127.0.0.1:8000', 'http://127.0.0.1:8000/v1', ('platform', 'url')),
    ('[platform]', '[plattform]', ('plattform', '')),
    ('[platform]', '[DEFAULT]', ('DEFAULT', '')),
])
def test_bad_place_is_refused(old, new, place):
    """Guards against invalid addresses, zone names and unknown sections."""
    found = faults_of((PROCESS + AGENT + PLATFORM).replace(old, new))
    assert found[0] == place


def test_all_faults_are_reported_at_once(tmp_path):
    """Guards against a check that reports only one fault per run."""
    text = (PROCESS.replace('muscat-a', 'Muscat') + AGENT +
            'slots = two\nslot = 2\nslots = 3\n' +
            PLATFORM.replace('http', 'ftp') + '[what]\nstray\n')
    path = write(tmp_path, text)
    with pytest.raises(errors.SettingsError) as caught:
        loader.load(path, 'agent')
    for part in (path, "zone = 'Muscat'", '[agent] slots: line',
                 'did you mean slots?', "[platform] url = 'ftp", '[what]',
                 'stray'):
        assert part in str(caught.value)


@pytest.mark.parametrize('text', ['', 'name = x\n', '[process\n', '\0'])
def test_malformed_file_is_a_fault(text):
    """Guards against configparser exceptions that the loader lets pass."""
    assert faults_of(text)


def test_unreadable_file_is_a_settings_error(tmp_path):
    """Guards against I/O and decoding errors that the loader lets pass."""
    binary = tmp_path / 'b.ini'
    binary.write_bytes(b'\xff\xfe')
    for path in (tmp_path / 'none.ini', tmp_path, binary):
        with pytest.raises(errors.SettingsError):
            loader.load(str(path))


def test_rules_name_existing_keys():
    """Guards against a rule for keys that do not exist."""
    for rule in schema.ORDER_RULES:
        fields = schema.SECTIONS[rule.section].model_fields
        assert rule.low in fields and rule.high in fields


def test_every_key_is_read():
    """Guards against a key that no code uses."""
    root = pathlib.Path(figdrum.__file__).parent
    source = '\n'.join(
        path.read_text('utf-8')
        for path in root.rglob('*.py')
        if 'settings' not in path.parts and 'tests' not in path.parts)
    unread = [
        f'[{name}] {key}' for name, section in schema.SECTIONS.items()
        for key in section.model_fields
        if not re.search(rf'(?:cfg|{name})\.{key}\b', source)
    ]
    assert unread == UNREAD_KEYS


def test_port_in_use_is_refused_at_start(tmp_path):
    """Guards against a process that starts on ports of another process."""
    path = write(tmp_path, PROCESS + BALANCER + PLATFORM)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, \
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
        udp.bind(('127.0.0.1', 0))
        tcp.bind(('127.0.0.1', 0))
        tcp.listen()
        cfg = loader.load(path)
        loader.check_ports(cfg, path, 'balancer')
        taken = cfg.model_copy(
            update={
                'balancer':
                    cfg.balancer.model_copy(
                        update={
                            'frame_port': udp.getsockname()[1],
                            'control_port': tcp.getsockname()[1],
                        })
            })
        with pytest.raises(errors.SettingsError) as caught:
            loader.check_ports(taken, path, 'balancer')
    assert '[balancer] frame_port' in str(caught.value)
    assert '[balancer] control_port' in str(caught.value)
