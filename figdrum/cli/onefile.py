"""Starts figdrum from the one file that `make dist` builds.

Explanation
===========

The file is a zip archive that Python runs. Pure Python modules are imported
from it directly. Native libraries can only be loaded from a file system, so the
packages that hold them lie under `native/` in the archive and are unpacked
once, into a directory of the user's own that is named after their digest:

    $FIGDRUM_NATIVE_DIR, or figdrum-<user id> in the directory for temporary
    files (on a machine without disks, a tmpfs)

Two processes that start at once do not disturb each other: each unpacks into a
directory of its own and renames it, and one of the two renames fails. No child
process is started.

References
==========

PEP 441, Improving Python ZIP Application Support. PEP 273, Import Modules from
Zip Archives: native libraries are not imported from an archive.
"""

import os
import pathlib
import shutil
import stat
import sys
import tempfile
import zipfile

NATIVE = 'native/'
DIGEST_NAME = 'native.digest'
DIRECTORY_VARIABLE = 'FIGDRUM_NATIVE_DIR'
PRIVATE_MODE = 0o700
OTHERS_MAY_WRITE = stat.S_IWGRP | stat.S_IWOTH
EXIT_FAULT = 1


class NativeError(Exception):
    """The native libraries cannot be unpacked or trusted."""


def prepare(path: str) -> None:
    """Puts the native packages of the file at `path` on the import path.

    Raises:
      NativeError: if they cannot be unpacked or others may change them.
    """
    try:
        sys.path.insert(0, str(unpack(path)))
    except (OSError, zipfile.BadZipFile, KeyError) as exc:
        raise NativeError(f'cannot unpack native libraries: {exc}') from exc


def unpack(path: str) -> pathlib.Path:
    """Returns the directory with the native packages of the file at `path`."""
    root = _root()
    root.mkdir(PRIVATE_MODE, parents=True, exist_ok=True)
    _check_private(root)
    with zipfile.ZipFile(path) as source:
        target = root / source.read(DIGEST_NAME).decode().strip()
        if not target.exists():
            _extract(source, root, target)
    _check_private(target)
    return target


def _root() -> pathlib.Path:
    chosen = os.environ.get(DIRECTORY_VARIABLE)
    if chosen:
        return pathlib.Path(chosen)
    return pathlib.Path(tempfile.gettempdir()) / f'figdrum-{os.geteuid()}'


def _check_private(path: pathlib.Path) -> None:
    found = os.lstat(path)
    if (not stat.S_ISDIR(found.st_mode) or found.st_uid != os.geteuid() or
            found.st_mode & OTHERS_MAY_WRITE):
        # Code is loaded from here, so nobody else may be able to change it.
        raise NativeError(f'{path} is not a directory that only this user '
                          'can write')


def _extract(source: zipfile.ZipFile, root: pathlib.Path,
             target: pathlib.Path) -> None:
    scratch = pathlib.Path(tempfile.mkdtemp(dir=root))
    try:
        names = [n for n in source.namelist() if n.startswith(NATIVE)]
        source.extractall(scratch, names)
        try:
            os.rename(scratch / NATIVE, target)
        except OSError:
            # Another process was first.
            if not target.exists():
                raise
    finally:
        shutil.rmtree(scratch, ignore_errors=True)


def main(path: str) -> int:
    """Runs the program in the one file at `path` and returns its exit code."""
    try:
        prepare(path)
    except NativeError as exc:
        print(f'cli: {exc}', file=sys.stderr)
        print(
            f'What to do: set {DIRECTORY_VARIABLE} to a directory of your '
            'own on a file system that allows programs.',
            file=sys.stderr)
        return EXIT_FAULT
    # The imports need the native packages, and each of them takes memory.
    # pylint: disable=import-outside-toplevel
    from figdrum.cli import program
    program.set_archive_path(path)
    if sys.argv[1:2] == [program.SERVE_FLAG]:
        from figdrum.cli import serve
        return serve.main(sys.argv[2:])
    from figdrum.cli import app
    return app.main()
