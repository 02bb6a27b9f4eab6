"""Imports the adapter to the users' platform from its folder.

Explanation
===========

The adapter's folder, `platform/`, is not a package, since the standard library
has a module of that name. Nodes run in that folder. An operator's command
imports the same modules, so that it decodes an object as balancers do.
"""

import importlib
import os
import sys
import types
import typing

from cleo import exceptions

import figdrum

# The folder lies beside the package in a checkout and in a build.
DEFAULT_FOLDER = os.path.join(
    os.path.dirname(os.path.dirname(os.path.abspath(figdrum.__file__))),
    'platform')


class Adapter(typing.NamedTuple):
    """Modules of the adapter.

    Attributes:
      documents: Decodes the platform's documents.
      platform_store: Client of the platform's store.
    """
    documents: types.ModuleType
    platform_store: types.ModuleType


def load(folder: str) -> Adapter:
    """Imports the modules of the adapter.

    Args:
      folder: The adapter's folder. A process can use one folder only.

    Raises:
      exceptions.CleoRuntimeError: if the folder does not have them.
    """
    path = os.path.realpath(folder)
    if path not in map(os.path.realpath, sys.path):
        # Appended, so that the standard library's modules are found first.
        sys.path.append(path)
    return Adapter(*(_import(path, name) for name in Adapter._fields))


def _import(folder: str, name: str) -> types.ModuleType:
    try:
        module = importlib.import_module(name)
    except ModuleNotFoundError as exc:
        raise exceptions.CleoRuntimeError(
            f'{folder} is not the folder platform/ of figdrum: {exc}; name it '
            'by --platform') from exc
    found = os.path.dirname(os.path.realpath(module.__file__ or ''))
    if found != folder:
        raise exceptions.CleoRuntimeError(
            f'the module {name} of {folder} is hidden by the one in {found}')
    return module
