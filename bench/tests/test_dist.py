"""Tests of the executable archive."""

import os
import pathlib
import subprocess
import sys
import zipfile

import pytest

from bench import dist

DEADLINE_S = 300
SAMPLES = sorted(str(path) for path in (dist.ROOT / 'samples').rglob('*.ini'))
# Runs the archive and exits with status 99 if it starts another process.
RUN_WITHOUT_CHILDREN = '''
import os, runpy, sys
STARTS = {'subprocess.Popen', 'os.fork', 'os.forkpty', 'os.posix_spawn',
          'os.spawn', 'os.system', 'os.exec'}
sys.addaudithook(lambda event, args: os._exit(99) if event in STARTS else None)
sys.argv = sys.argv[1:]
runpy.run_path(sys.argv[0], run_name='__main__')
'''

IMPORT_ALL = '''
import importlib, pkgutil, sys
sys.path.insert(0, sys.argv[1])
import figdrum
from figdrum.cli import onefile
onefile.prepare(sys.argv[1])
for module in pkgutil.walk_packages(figdrum.__path__, 'figdrum.'):
    importlib.import_module(module.name)
    print(module.name)
'''


@pytest.fixture(name='binary', scope='module')
def fixture_binary(tmp_path_factory) -> pathlib.Path:
    """The executable archive, built once for the module."""
    output_path = tmp_path_factory.mktemp('dist') / 'figdrum'
    dist.build(output_path)
    return output_path


def run(argv, native: pathlib.Path, **env) -> subprocess.CompletedProcess:
    """Runs `argv` outside the checkout; native packages go to `native`."""
    return subprocess.run([str(arg) for arg in argv],
                          cwd=native.parent,
                          env={
                              'PATH': os.environ['PATH'],
                              'FIGDRUM_NATIVE_DIR': str(native)
                          } | env,
                          capture_output=True,
                          text=True,
                          timeout=DEADLINE_S,
                          check=False)


def test_file_checks_the_samples_and_starts_no_process(binary, tmp_path):
    """Guards against a file that lacks a module or starts a child process.

    -S keeps the environment's installed packages out, so that only those in
    the file are found.
    """
    assert SAMPLES
    for sample in SAMPLES:
        done = run([
            sys.executable, '-S', '-c', RUN_WITHOUT_CHILDREN, binary, 'check',
            sample
        ], tmp_path / 'native')
        assert (done.returncode, done.stderr) == (0, '')
        assert done.stdout == f'{sample}: sound\n'


def test_file_holds_what_its_modules_import(binary, tmp_path):
    """Guards against a missing dependency that `check` does not import."""
    done = run([sys.executable, '-S', '-c', IMPORT_ALL, binary],
               tmp_path / 'native')
    assert done.returncode == 0, done.stderr
    assert 'figdrum.cli.status' in done.stdout


def test_role_goes_on_from_the_file(binary, tmp_path):
    """Guards against a role that cannot replace its process image when it
    was started from the archive."""
    done = run([sys.executable, '-S', binary, 'agent', '-c', 'none.ini'],
               tmp_path / 'native')
    assert done.returncode == 1
    assert 'FD300 in step "load settings" at none.ini' in done.stderr


def test_file_holds_no_tests_and_no_tools(binary):
    """Guards against stand-ins, tests or tools in what is shipped."""
    with zipfile.ZipFile(binary) as archive:
        names = archive.namelist()
    top_level_names = {
        name.removeprefix('native/').partition('/')[0] for name in names
    }
    unwanted = {
        'standins', 'bench', 'spec', 'features', 'hypothesis', 'minicheck',
        'behave', 'hdrh', 'pytest', 'pylint', 'matplotlib', 'shiv'
    }
    assert not unwanted & top_level_names
    assert not [
        name for name in names if 'figdrum/' in name and '/tests/' in name
    ]


def test_same_input_gives_the_same_bytes(binary, tmp_path):
    """Guards against builds that are not reproducible."""
    again = tmp_path / 'figdrum'
    dist.build(again)
    assert again.read_bytes() == binary.read_bytes()


def test_directory_that_others_can_write_is_refused(binary, tmp_path):
    """Guards against loading native code that another user has written."""
    native = tmp_path / 'native'
    native.mkdir()
    native.chmod(0o777)
    done = run([sys.executable, binary, 'check', SAMPLES[0]], native)
    assert done.returncode == 1
    assert 'FIGDRUM_NATIVE_DIR' in done.stderr


def test_starts_at_the_same_time_do_not_disturb_each_other(binary, tmp_path):
    """Guards against a second process that sees a partly unpacked directory."""
    native = tmp_path / 'native'
    env = os.environ | {'FIGDRUM_NATIVE_DIR': str(native)}
    started = [
        subprocess.Popen(  # pylint: disable=consider-using-with
            [sys.executable, str(binary), 'check', SAMPLES[0]],
            env=env,
            stdout=subprocess.DEVNULL) for _ in range(4)
    ]
    assert [process.wait(DEADLINE_S) for process in started] == [0] * 4
    assert len(list(native.iterdir())) == 1


def test_wrong_version_is_refused(tmp_path):
    """Guards against a file built from versions that were never tested."""
    (tmp_path / 'pyproject.toml').write_text(
        '[project]\ndependencies = ["statsd"]\n', 'utf-8')
    (tmp_path / 'requirements.txt').write_text('statsd==0.0.1\n', 'utf-8')
    with pytest.raises(dist.DistError):
        dist.find_distributions(tmp_path)
