"""Loads the modules of a bundle without a search of the file system.

Explanation
===========

An import costs up to 0.2 ms of CPU time for the search of the path, the reads
of a file and the checks of its byte code. A bundle holds the code of all
modules that a role imports at its start, in an order in which each one comes
after those that it imports, and the code of the program's other modules, which
is run when they are imported. Modules that are not in the bundle are imported
in the usual way.

References
==========

The Python Language Reference, section 5, The import system.
"""

import _frozen_importlib as importlib_bootstrap
import _frozen_importlib_external as importlib_external
import marshal
import sys

# Kinds of entries: a module, a package, an extension module of the standard
# library and an extension module of the libraries.
MODULE = 0
PACKAGE = 1
STANDARD_EXTENSION = 2
LIBRARY_EXTENSION = 3


def load(entries: list, folder: str) -> None:
    """Loads the modules of a bundle.

    Args:
      entries: Name, kind and content of each module, in the order of loading.
        The content is a code object, or the path of an extension module in its
        folder.
      folder: The folder `platform` of the build, below which the paths are.
    """
    app = f'{folder}/..'
    libraries = f'{app}/../deps'
    if app not in sys.path:
        sys.path.append(app)
    packages = {name for name, kind, _ in entries if kind == PACKAGE}
    modules = sys.modules
    new_module = type(sys)

    def create(name: str):
        module = modules[name] = new_module(name)
        if name in packages:
            path = name.replace('.', '/')
            module.__path__ = [f'{app}/{path}', f'{libraries}/{path}']
            module.__package__ = name
        else:
            module.__package__ = name.rpartition('.')[0]
        return module

    for name, kind, content in entries:
        parent, _, child = name.rpartition('.')
        # A package may import its own modules, which then come before it.
        if parent and parent not in modules:
            create(parent)
        if kind <= PACKAGE:
            module = modules.get(name) or create(name)
            module.__file__ = content.co_filename
            exec(content, module.__dict__)  # pylint: disable=exec-used
        else:
            base = (libraries
                    if kind == LIBRARY_EXTENSION else _extension_folder())
            module = _load_extension(name, f'{base}/{content}')
        if parent:
            setattr(modules[parent], child, module)


class _LaterFinder:
    """Finds modules whose code is in the bundle, and runs it."""

    def __init__(self, codes: dict):
        self._codes = codes

    def find_spec(self, name, path=None, target=None):
        """Returns the specification of a module; part of the import system."""
        del path, target
        if name not in self._codes:
            return None
        return importlib_bootstrap.ModuleSpec(name, self)

    def create_module(self, spec):
        """Leaves it to the import system to make the module."""
        del spec

    def exec_module(self, module):
        """Runs the code of a module."""
        code = marshal.loads(self._codes[module.__name__])
        exec(code, module.__dict__)  # pylint: disable=exec-used


def import_later(codes: dict) -> None:
    """Makes imports find further modules.

    Args:
      codes: Marshalled code by name.
    """
    sys.meta_path.insert(0, _LaterFinder(codes))


def _extension_folder() -> str:
    """Returns the folder of the extension modules of the standard library."""
    return next(path for path in sys.path if path.endswith('/lib-dynload'))


def _load_extension(name: str, path: str):
    loader = importlib_external.ExtensionFileLoader(name, path)
    spec = importlib_bootstrap.ModuleSpec(name, loader, origin=path)
    # An extension module of a library imports `typing` for annotations.
    stand_in = sys.modules.get('substitutes.light_typing')
    is_replaced = stand_in is not None and 'typing' not in sys.modules
    if is_replaced:
        sys.modules['typing'] = stand_in
    try:
        return importlib_bootstrap._load(spec)  # pylint: disable=protected-access
    finally:
        if is_replaced:
            del sys.modules['typing']
