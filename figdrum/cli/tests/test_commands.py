"""Tests of the commands with an in-memory store."""

import importlib
import json
import os
import pathlib
import re
import subprocess
import sys
import tomllib

from cleo.io.outputs import buffered_output
import pytest
from twisted.internet import defer
from twisted.python import failure

import figdrum
from figdrum.cli import app
from figdrum.cli import node_query
from figdrum.cli import operator
from figdrum.cli import remedies
from figdrum.core import errors
from figdrum.messages import control
from figdrum.object_api import memory_store

ROOT = pathlib.Path(figdrum.__file__).parent.parent
DEADLINE_S = 120
CONTRACT = {
    'customer': 'rider-1',
    'grants': [{
        'service': 'fieldbook',
        'host': '10.9.0.1',
        'port': 5683
    }],
    'sources': [],
    'limits': {
        'flows': 100,
        'new_flows': 10,
        'requests': 20
    },
    'rank': 2,
}


class CommandRunner:
    """Runs operators' commands against one in-memory platform."""

    def __init__(self, path: pathlib.Path):
        self.store = memory_store.MemoryStore()
        self._path = path
        self.config = self.write('op.ini',
                                 '[platform]\nurl = http://127.0.0.1:1\n')
        self.errors = ''

    def write(self, name: str, text: str) -> str:
        """Writes a file and returns its path."""
        path = self._path / name
        path.write_text(text, encoding='utf-8')
        return str(path)

    def run(self, *argv: str) -> tuple[int, list[str]]:
        """Runs a command; returns its exit code and output lines."""
        output = buffered_output.BufferedOutput()
        error_output = buffered_output.BufferedOutput()
        code = app.main(argv, output, error_output)
        self.errors = error_output.fetch()
        return code, output.fetch().splitlines()

    def run_as(self, who: str, *argv: str) -> tuple[int, list[str]]:
        """Runs a command as the operator `who`."""
        return self.run(*argv, '-c', self.config, '--operator', who)


def run_now(work):
    """Replaces `operator.run_reactor` for a store without delays, whose
    Deferreds have all fired."""
    outcome = []
    defer.maybeDeferred(work, None).addBoth(outcome.append)
    if isinstance(outcome[0], failure.Failure):
        outcome[0].raiseException()
    return outcome[0]


@pytest.fixture(name='runner')
def fixture_runner(tmp_path, monkeypatch) -> CommandRunner:
    """Command runner for an empty platform."""
    runner = CommandRunner(tmp_path)
    monkeypatch.setattr(operator, 'run_reactor', run_now)
    monkeypatch.setattr(operator, 'open_store', lambda *_: runner.store)
    return runner


def propose(runner: CommandRunner, **changes) -> str:
    """Returns the id of salma's proposal of a contract."""
    path = runner.write('contract.json', json.dumps(CONTRACT | changes))
    code, lines = runner.run_as('salma', 'contract', 'propose', path,
                                '--reason', 'season start')
    assert code == remedies.ExitCode.OK
    return lines[0]


def test_a_contract_goes_from_proposal_to_audit(runner):
    """Guards against commands that omit or confuse steps of an approval."""
    first = propose(runner)
    assert re.fullmatch('[0-9a-f]{12}', first)
    assert runner.run_as('rui', 'contract', 'approve', first)[0] == 0
    assert runner.run_as('rui', 'contract', 'show', '--customer',
                         'rider-1')[0] == 0
    assert any('season start' in line
               for line in runner.run_as('rui', 'contract', 'show', first)[1])
    second = propose(runner, rank=3)
    assert runner.run_as('rui', 'contract', 'reject', second, '--reason',
                         'no')[0] == 0
    code, lines = runner.run_as('rui', 'contract', 'list', '--status', 'all')
    assert code == 0 and len(lines) == 3
    assert len(runner.run_as('rui', 'contract', 'history')[1]) == 1
    code, lines = runner.run_as('rui', 'audit', '--json')
    rows = [json.loads(line) for line in lines]
    assert [row['proposal']['status'] for row in rows
           ] == ['approved', 'rejected']
    assert rows[0]['change']['approver'] == 'rui'
    assert rows[0]['proposal']['purpose'] == 'season start'
    third = runner.run_as('salma', 'contract', 'propose', '--remove', 'rider-1')
    assert runner.run_as('rui', 'contract', 'approve', third[1][0])[0] == 0
    assert runner.run_as('rui', 'contract', 'list')[1] == []


def test_own_proposal_is_refused_with_a_remedy(runner):
    """Guards against approval by the proposer, or an unexplained refusal."""
    first = propose(runner)
    code, lines = runner.run_as('salma', 'contract', 'approve', first)
    assert (code, lines) == (remedies.ExitCode.REFUSED, [])
    for part in ('contracts: FD401', 'step "approve"', first, 'What to do'):
        assert part in runner.errors


def test_race_names_what_won(runner):
    """Guards against a lost race that is reported without the other change."""
    first, second = propose(runner), propose(runner, rank=3)
    assert runner.run_as('rui', 'contract', 'approve', first)[0] == 0
    code, _ = runner.run_as('rui', 'contract', 'approve', second)
    assert code == remedies.ExitCode.REFUSED
    assert 'FD402' in runner.errors and 'change 1' in runner.errors


def test_zone_goes_out_and_in_with_two_operators(runner):
    """Guards against a zone change that one operator makes alone."""
    for verb, out in (('out', True), ('in', False)):
        code, lines = runner.run_as('salma', 'zone', verb, 'muscat-a')
        assert code == 0 and 'no back end is in zone' in runner.errors
        assert ('zone  muscat-a  out' in runner.run_as('rui',
                                                       'status')[1]) is not out
        assert runner.run_as('rui', 'contract', 'approve', lines[0])[0] == 0
        assert ('zone  muscat-a  out' in runner.run_as('rui',
                                                       'status')[1]) is out


def test_status_shows_back_ends_and_balancers(runner, monkeypatch):
    """Guards against a status that omits objects of the platform."""
    row = {
        'name': 'fieldbook-1',
        'host': '10.0.0.1',
        'port': 7000,
        'zone': 'muscat-a',
        'incarnation': 1,
        'state': 'draining',
        'rejoined': False
    }
    runner.store.put('lists/fieldbook', json.dumps({'members': [row]}), 0)
    runner.store.put(
        'balancers/muscat-a',
        '{"balancers": [{"name": "b1", "host": "10.0.0.9", "port": 7003}]}', 0)
    reply = control.Digest('b1', 'muscat-a', '10.0.0.9', 7003, 2, 400, True, 0)
    monkeypatch.setattr(node_query, 'query_balancers',
                        lambda *_: defer.succeed([reply]))
    text = '\n'.join(runner.run_as('rui', 'status')[1])
    for part in ('fieldbook  version 1  1 draining', 'fieldbook-1  draining',
                 'b1  muscat-a  change 0  revision 2  confirmed 0.4 s ago'):
        assert part in text


def test_platform_down_has_its_own_code_and_a_safe_repeat(runner):
    """Guards against a duplicate proposal when a failed command is repeated."""
    path = runner.write('contract.json', json.dumps(CONTRACT))
    runner.store.down = True
    code, _ = runner.run_as('salma', 'contract', 'propose', path)
    assert code == remedies.ExitCode.UNREACHABLE
    name = re.search('--id ([0-9a-f]+)', runner.errors)[1]
    runner.store.down = False
    for _ in range(2):
        code, lines = runner.run_as('salma', 'contract', 'propose', path,
                                    '--id', name)
        assert (code, lines[0]) == (0, name)
    assert len(runner.run_as('rui', 'contract', 'list')[1]) == 1


@pytest.mark.parametrize('argv', [
    ('what',),
    ('contract', 'what'),
    ('check',),
    ('check', 'a', 'b'),
    ('status',),
    ('status', '--what'),
    ('contract', 'list', '-c', 'CONFIG', '--status', 'what'),
    ('contract', 'show', '-c', 'CONFIG'),
    ('contract', 'propose', '-c', 'CONFIG', '--operator', 'rui'),
])
def test_wrong_usage_has_its_own_code(runner, argv):
    """Guards against usage errors that look like refusals to a script."""
    argv = [runner.config if arg == 'CONFIG' else arg for arg in argv]
    if runner.config in argv:
        argv += ['--operator', 'rui']
    assert runner.run(*argv)[0] == remedies.ExitCode.USAGE
    assert runner.errors


@pytest.mark.parametrize('text', ['', '{', '[]', '{"customer": "x"}'])
def test_bad_contract_file_is_refused(runner, text):
    """Guards against a traceback for an invalid contract file."""
    path = runner.write('contract.json', text)
    code, _ = runner.run_as('salma', 'contract', 'propose', path)
    assert code == remedies.ExitCode.REFUSED and 'FD400' in runner.errors


def test_check_prints_each_fault_and_exits_non_zero(runner):
    """Guards against a deployment that continues with an invalid file."""
    path = runner.write('bad.ini', '[process]\nname = A B\n[x]\n')
    code, lines = runner.run('check', path)
    assert code == remedies.ExitCode.FAULT
    assert [line.startswith(path) for line in lines] == [True] * 3
    code, lines = runner.run(
        'check',
        runner.write(
            'ok.ini', '[process]\nname = rui\n'
            '[platform]\nurl = http://1.2.3.4:5\n'))
    assert (code, len(lines)) == (0, 1)


def test_every_error_has_a_remedy():
    """Guards against an error class or exit code without an explanation."""
    classes = {
        value for value in vars(errors).values()
        if isinstance(value, type) and issubclass(value, errors.FigdrumError)
    }
    assert classes == set(remedies.REMEDIES)
    assert set(remedies.ExitCode) == set(remedies.EXIT_MEANINGS)


def test_every_command_can_be_made():
    """Guards against a command whose module or class is misnamed."""
    for name, import_path in app.COMMANDS.items():
        module, _, cls = import_path.partition(':')
        assert getattr(importlib.import_module(module), cls)().name == name


def test_version_matches_the_project():
    """Guards against a program that reports another version."""
    text = (ROOT / 'pyproject.toml').read_text(encoding='utf-8')
    assert tomllib.loads(text)['project']['version'] == figdrum.__version__


def run_process(*argv: str) -> subprocess.CompletedProcess:
    """Runs the program in a process of its own."""
    return subprocess.run([sys.executable, '-m', 'figdrum', *argv],
                          cwd=ROOT,
                          env=os.environ | {'PYTHONPATH': str(ROOT)},
                          capture_output=True,
                          text=True,
                          timeout=DEADLINE_S,
                          check=False)


def test_program_reports_an_unreachable_platform(tmp_path):
    """Guards against a traceback or a hang with a real reactor."""
    path = tmp_path / 'op.ini'
    path.write_text(
        '[process]\nname = rui\n[platform]\nurl = http://127.0.0.1:1\n'
        'timeout_ms = 200\n',
        encoding='utf-8')
    done = run_process('contract', 'list', '-c', str(path))
    assert done.returncode == remedies.ExitCode.UNREACHABLE
    assert 'platform: FD200' in done.stderr
    assert 'Traceback' not in done.stderr


def test_small_commands_do_not_load_the_reactor():
    """Guards against commands that import modules they do not use."""
    code = ('import sys; from figdrum.cli import app; app.main(["check", "x"]);'
            'sys.exit("twisted" in sys.modules)')
    done = subprocess.run([sys.executable, '-c', code],
                          cwd=ROOT,
                          timeout=DEADLINE_S,
                          capture_output=True,
                          check=False)
    assert done.returncode == 0, done.stderr
