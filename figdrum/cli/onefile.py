"""Starts figdrum from the single file that `make dist` builds.

Explanation
===========

The file is a zip archive that Python executes. Pure Python modules are imported
directly from the archive. Native libraries can only be loaded from a file
system. Packages that contain them are therefore stored under `native/` in the
archive and unpacked once, into a subdirectory, named after their digest, of

    $FIGDRUM_NATIVE_DIR, or by default figdrum-<user id> in the directory for
    temporary files (on a machine without disks, a tmpfs)

Processes that start at the same time do not conflict: each unpacks into its own
temporary directory and renames it, and only the first rename succeeds. No child
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

NATIVE_PREFIX = 'native/'
DIGEST_NAME = 'native.digest'
DIRECTORY_VARIABLE = 'FIGDRUM_NATIVE_DIR'
PRIVATE_MODE = 0o700
GROUP_OR_OTHERS_WRITE = stat.S_IWGRP | stat.S_IWOTH
EXIT_FAULT = 1


class NativeError(Exception):
    """The native libraries cannot be unpacked, or others can modify them."""


def prepare(path: str) -> None:
    """Unpacks native packages and adds them to the import path.

    Args:
      path: Path of the single file.

    Raises:
      NativeError: if the packages cannot be unpacked, or other users can modify
        them.
    """
    try:
        sys.path.insert(0, str(unpack(path)))
    except (OSError, zipfile.BadZipFile, KeyError) as exc:
        raise NativeError(f'cannot unpack native libraries: {exc}') from exc


def unpack(path: str) -> pathlib.Path:
    """Unpacks the native packages if that has not been done before.

    Args:
      path: Path of the single file.

    Returns:
      The directory that contains the packages.
    """
    root = _unpack_root()
    root.mkdir(PRIVATE_MODE, parents=True, exist_ok=True)
    _check_private(root)
    with zipfile.ZipFile(path) as source:
        target = root / source.read(DIGEST_NAME).decode().strip()
        if not target.exists():
            _extract(source, root, target)
    _check_private(target)
    return target


def _unpack_root() -> pathlib.Path:
    chosen = os.environ.get(DIRECTORY_VARIABLE)
    if chosen:
        return pathlib.Path(chosen)
    return pathlib.Path(tempfile.gettempdir()) / f'figdrum-{os.geteuid()}'


def _check_private(path: pathlib.Path) -> None:
    found = os.lstat(path)
    if (not stat.S_ISDIR(found.st_mode) or found.st_uid != os.geteuid() or
            found.st_mode & GROUP_OR_OTHERS_WRITE):
        # Code is loaded from this directory, so no other user may write to it.
        raise NativeError(f'{path} is not a directory that only this user '
                          'can write')


def _extract(source: zipfile.ZipFile, root: pathlib.Path,
             target: pathlib.Path) -> None:
    scratch = pathlib.Path(tempfile.mkdtemp(dir=root))
    try:
        names = [n for n in source.namelist() if n.startswith(NATIVE_PREFIX)]
        source.extractall(scratch, names)
        try:
            os.rename(scratch / NATIVE_PREFIX, target)
        except OSError:
            # Another process has created the directory.
            if not target.exists():
                raise
    finally:
        shutil.rmtree(scratch, ignore_errors=True)


def main(path: str) -> int:
    """Runs the program in the single file at `path`; returns its exit code."""
    try:
        prepare(path)
    except NativeError as exc:
        print(f'cli: {exc}', file=sys.stderr)
        print(
            f'What to do: set {DIRECTORY_VARIABLE} to a directory that only '
            'you can write, on a file system that is not mounted noexec.',
            file=sys.stderr)
        return EXIT_FAULT
    # Imported here because they need the native packages, and so that only the
    # modules in use take memory.
    # pylint: disable=import-outside-toplevel
    from figdrum.cli import program
    program.set_archive_path(path)
    if sys.argv[1:2] == [program.SERVE_FLAG]:
        from figdrum.cli import serve
        return serve.main(sys.argv[2:])
    from figdrum.cli import app
    return app.main()
