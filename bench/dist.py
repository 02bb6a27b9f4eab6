"""Builds the executable archive `build/figdrum` (`make dist`).

Explanation
===========

The file holds the package without its tests, and the dependencies that
pyproject.toml names with their own dependencies, copied from the virtual
environment in the versions that requirements.txt pins. Nothing is downloaded.
Byte code is stored beside the sources, so that nothing is compiled at start-up;
another minor version of Python ignores it. Builds are reproducible: the same
input gives the same bytes.

See docs/decisions.md, section "One file".
"""

import hashlib
import importlib.metadata
import io
import pathlib
import py_compile
import re
import sys
import tempfile
import tomllib
import typing
import zipfile

from packaging import requirements as requirements_lib

from figdrum.cli import onefile

ROOT = pathlib.Path(__file__).parent.parent
OUTPUT_PATH = ROOT / 'build' / 'figdrum'
PACKAGE = 'figdrum'
SHEBANG = b'#!/usr/bin/env python3\n'
MAIN_SOURCE = ('import sys\n'
               'from figdrum.cli import onefile\n'
               'sys.exit(onefile.main(sys.argv[0]))\n')
# The first date that a zip archive can hold.
ENTRY_DATE = (1980, 1, 1, 0, 0, 0)
FILE_MODE = 0o100644
TEST_DIRECTORIES = frozenset(('test', 'tests', '_test', '__pycache__'))
NATIVE_SUFFIX = '.so'
SOURCE_SUFFIX = '.py'
BYTE_CODE_SUFFIX = '.pyc'


class DistError(Exception):
    """The environment does not match the project's pins."""


class Entry(typing.NamedTuple):
    """A file of the archive.

    Attributes:
      name: Path from the root of an import path.
      data: Its content.
    """
    name: str
    data: bytes

    @property
    def top_level_name(self) -> str:
        """The first part of the name: a package or a module."""
        return self.name.partition('/')[0]


def normalise(name: str) -> str:
    """Returns a distribution's name in the normalized form that PyPI uses.

    Examples
    ========

    >>> normalise('Zope.Interface')
    'zope-interface'
    """
    return re.sub('[-_.]+', '-', name).lower()


def read_pins(text: str) -> dict[str, str]:
    """Returns versions by normalised name.

    Examples
    ========

    >>> read_pins('Twisted==1.0')
    {'twisted': '1.0'}
    """
    pairs = (line.strip().split('==') for line in text.splitlines())
    return {normalise(pair[0]): pair[1] for pair in pairs if len(pair) == 2}


def find_distributions(
        root: pathlib.Path = ROOT) -> list[importlib.metadata.Distribution]:
    """Returns the run-time distributions, sorted by name.

    Raises:
      DistError: if one is missing, not pinned, or not of the pinned version.
    """
    project = tomllib.loads((root / 'pyproject.toml').read_text('utf-8'))
    pins = read_pins((root / 'requirements.txt').read_text('utf-8'))
    pending = list(project['project']['dependencies'])
    found: dict[str, importlib.metadata.Distribution] = {}
    while pending:
        requirement = requirements_lib.Requirement(pending.pop())
        name = normalise(requirement.name)
        if name in found or (requirement.marker and
                             not requirement.marker.evaluate({'extra': ''})):
            continue
        found[name] = _find_pinned(name, pins)
        pending.extend(found[name].requires or ())
    return [found[name] for name in sorted(found)]


def _find_pinned(name: str, pins: dict[str,
                                       str]) -> importlib.metadata.Distribution:
    try:
        dist = importlib.metadata.distribution(name)
    except importlib.metadata.PackageNotFoundError as exc:
        raise DistError(f'{name} is not installed') from exc
    if pins.get(name) != dist.version:
        raise DistError(f'{name} is installed in version {dist.version}, '
                        f'requirements.txt pins {pins.get(name)}')
    return dist


def read_distribution(
        dist: importlib.metadata.Distribution) -> typing.Iterator[Entry]:
    """Yields a distribution's files that are needed at run time."""
    for path in sorted(dist.files or (), key=str):
        if '..' in path.parts or TEST_DIRECTORIES & set(path.parts):
            continue
        if path.parts[0].endswith('.dist-info') and path.name != 'METADATA':
            continue
        yield Entry(str(path), path.read_binary())


def read_package(root: pathlib.Path = ROOT) -> typing.Iterator[Entry]:
    """Yields the package's own files without its tests."""
    for path in sorted((root / PACKAGE).rglob('*' + SOURCE_SUFFIX)):
        name = path.relative_to(root)
        if not TEST_DIRECTORIES & set(name.parts):
            yield Entry(str(name), path.read_bytes())


def split_native(entries: list[Entry]) -> tuple[list[Entry], list[Entry]]:
    """Returns (pure, native): native are all files of a package that holds a
    native library, because one package is imported from one place.

    Examples
    ========

    >>> split_native([Entry('a/x.so', b''), Entry('a/y.py', b''),
    ...               Entry('b.py', b'')])[0]
    [Entry(name='b.py', data=b'')]
    """
    top_level_names = {
        e.top_level_name for e in entries if e.name.endswith(NATIVE_SUFFIX)
    }
    return ([e for e in entries if e.top_level_name not in top_level_names],
            [e for e in entries if e.top_level_name in top_level_names])


def compile_entry(entry: Entry) -> Entry:
    """Returns the byte code of a source file as an entry beside it."""
    with tempfile.TemporaryDirectory() as scratch:
        source = pathlib.Path(scratch) / 'source.py'
        source.write_bytes(entry.data)
        output_path = source.with_suffix(BYTE_CODE_SUFFIX)
        py_compile.compile(
            str(source),
            cfile=str(output_path),
            dfile=entry.name,
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH)
        return Entry(entry.name + 'c', output_path.read_bytes())


def digest(entries: list[Entry]) -> str:
    """Returns a digest of names and contents."""
    hasher = hashlib.sha256()
    for entry in entries:
        hasher.update(f'{entry.name}\0{len(entry.data)}\0'.encode())
        hasher.update(entry.data)
    return hasher.hexdigest()


def make_archive(pure: list[Entry], native: list[Entry]) -> bytes:
    """Returns the bytes of the executable archive."""
    entries = [Entry('__main__.py', MAIN_SOURCE.encode())] + pure
    entries += [
        compile_entry(entry)
        for entry in pure
        if entry.name.endswith(SOURCE_SUFFIX)
    ]
    entries += [Entry(onefile.NATIVE_PREFIX + e.name, e.data) for e in native]
    entries.append(Entry(onefile.DIGEST_NAME, digest(native).encode()))
    data = io.BytesIO()
    data.write(SHEBANG)
    with zipfile.ZipFile(data, 'a', zipfile.ZIP_DEFLATED) as archive:
        for entry in sorted(entries):
            info = zipfile.ZipInfo(entry.name, ENTRY_DATE)
            info.external_attr = FILE_MODE << 16
            info.compress_type = zipfile.ZIP_DEFLATED
            archive.writestr(info, entry.data)
    return data.getvalue()


def build(output_path: pathlib.Path = OUTPUT_PATH) -> tuple[int, int]:
    """Builds the executable archive.

    Returns:
      Its size and the size of the native packages that it unpacks, in bytes.
    """
    entries = list(read_package())
    for dist in find_distributions():
        entries.extend(read_distribution(dist))
    pure, native = split_native(entries)
    data = make_archive(pure, native)
    output_path.parent.mkdir(parents=True, exist_ok=True)
    output_path.write_bytes(data)
    output_path.chmod(0o755)
    return len(data), sum(len(entry.data) for entry in native)


def main() -> int:
    """Builds `build/figdrum` and prints its size."""
    try:
        size, unpacked = build()
    except DistError as exc:
        print(f'dist: {exc}', file=sys.stderr)
        return 1
    print(f'{OUTPUT_PATH.relative_to(ROOT)}: {size} bytes, unpacks {unpacked} '
          'bytes of native packages')
    return 0


if __name__ == '__main__':
    sys.exit(main())
