"""Makes `import` load the program's modules as a bundle has them.

The tests run once more on such modules (`make test-bundled`), since code that
works in a checkout may use what a substitute lacks.
"""

import importlib.machinery
import importlib.util
import pathlib
import sys

import bundle

ROOT = pathlib.Path(__file__).resolve().parents[2]
FOLDERS = (f'{ROOT}/figdrum/', f'{ROOT}/platform/')


class _Loader(importlib.machinery.SourceFileLoader):
    """Compiles the transformed source, which is not cached."""

    def get_code(self, fullname):
        path = self.get_filename(fullname)
        tree = bundle.transform(pathlib.Path(path).read_text('utf-8'))
        return compile(tree, path, 'exec', dont_inherit=True)


class _Finder:
    """Finds modules of figdrum and of the adapter.

    Those that the tests share are transformed too, since their annotations may
    name aliases. The tests themselves are loaded by pytest.
    """

    @staticmethod
    def find_spec(name: str, path=None, target=None):
        """Returns the specification of a module, or None for other modules."""
        del target
        last_name = name.rpartition('.')[2]
        if last_name.startswith('test_') or last_name == 'conftest':
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path)
        if spec is None or not (spec.origin or '').startswith(FOLDERS):
            return None
        return importlib.util.spec_from_file_location(
            name,
            spec.origin,
            loader=_Loader(name, spec.origin),
            submodule_search_locations=spec.submodule_search_locations)


def install() -> None:
    """Transforms the modules that are imported from now on."""
    sys.meta_path.insert(0, _Finder())
