"""Writes the bundles of byte code from which the roles start.

Usage: `python3 -OO bundle.py` in `target/app/platform`, where `build.sh` copies
this module with its neighbours.

Explanation
===========

`bundle_loader` loads a bundle. It has the code of all modules that a role
imports at its start, changed in these ways:

- Annotations, docstrings and assertions are left out, and so are aliases of
  types and imports that only they need.
- A class derived from `typing.NamedTuple` is written out, since making one at
  run time compiles its methods (0.3 ms of CPU time each).
- Standard modules with a slow import are replaced by `substitutes`, and the
  packages of libraries by modules that import only what is used.

The sources stay as they are: a checkout runs without bundles.
"""

import ast
import importlib.machinery
import marshal
import pathlib
import sys
import types

import bundle_loader

# The folder `platform` in a build, `deploy/bundle` in a checkout.
FOLDER = pathlib.Path(__file__).absolute().parent

ROLES = ('balancer', 'agent')

# Substitutes of standard modules in the program's own modules and in those of
# libraries.
SUBSTITUTES = {
    name: f'substitutes.light_{name}' for name in (
        'bisect',
        'collections',
        'enum',
        'functools',
        'heapq',
        'json',
        'os',
        'random',
        'signal',
        'socket',
        'statistics',
        'typing',
    )
}

# Modules whose whole code is that of a substitute, for libraries too.
REPLACED = {
    name: f'substitutes.light_{name}'
    for name in ('datetime', 'httptools', 'msgpack')
} | {
    'httptools.parser': 'substitutes.light_package'
}

# Imports that are left out where nothing refers to them any more.
ONLY_ANNOTATIONS = ('typing', 'collections.abc')

# What does not work without annotations, or on sockets of a substitute.
UNSUPPORTED = ('__annotations__', 'dataclasses', 'get_type_hints', 'makefile',
               'sendfile', 'dup')

TUPLE_SOURCE = '''
class {name}(_NamedTuple):
    __slots__ = ()
    _fields = {fields!r}
    __match_args__ = _fields
    _field_defaults = {{{defaults}}}
    def __new__(_cls, {parameters}):
        return _new_tuple(_cls, ({values}))
'''


class BundleError(Exception):
    """A source that cannot be bundled."""


def transform(source: str) -> ast.Module:
    """Returns the syntax tree of a module without what a start does not need.

    Args:
      source: Source of a module of the program or a library.

    Raises:
      BundleError: if the module would do something else without them.
    """
    tree = ast.parse(source)
    for node in ast.walk(tree):
        if (isinstance(node, ast.Attribute) and node.attr in UNSUPPORTED or
                isinstance(node, ast.Import) and
                node.names[0].name in UNSUPPORTED):
            raise BundleError(f'line {node.lineno} cannot be bundled')
    tree = _Stripper().visit(tree)
    _drop_aliases(tree)
    _drop_imports(tree)
    _substitute_imports(tree)
    return ast.fix_missing_locations(tree)


def _make_tuple_class(name: str, fields: list[str],
                      defaults: dict[str, str]) -> ast.ClassDef:
    """Returns the class of a named tuple with the sources of its defaults."""
    lines = TUPLE_SOURCE.format(
        name=name,
        fields=tuple(fields),
        defaults=', '.join(
            f'{field!r}: {value}' for field, value in defaults.items()),
        parameters=', '.join(f'{field}=_field_defaults[{field!r}]' if field in
                             defaults else field for field in fields),
        values=''.join(f'{field}, ' for field in fields))
    lines += '\n'.join(f"    {field} = _tuple_field({index}, '')"
                       for index, field in enumerate(fields))
    written = ast.parse(lines).body[0]
    assert isinstance(written, ast.ClassDef)
    return written


class _Stripper(ast.NodeTransformer):
    """Removes annotations and writes out named tuples."""

    # Names and meaning of methods are those of the base class.
    # pylint: disable=invalid-name,missing-function-docstring

    def visit_FunctionDef(self, node):
        self.generic_visit(node)
        node.returns = None
        parameters = node.args
        for parameter in (*parameters.posonlyargs, *parameters.args,
                          *parameters.kwonlyargs, parameters.vararg,
                          parameters.kwarg):
            if parameter is not None:
                parameter.annotation = None
        return node

    def visit_AnnAssign(self, node):
        self.generic_visit(node)
        if node.value is None:
            return ast.copy_location(ast.Pass(), node)
        return ast.copy_location(ast.Assign([node.target], node.value), node)

    def visit_Call(self, node):
        self.generic_visit(node)
        if ast.unparse(node.func) == 'typing.cast':
            return node.args[1]
        return node

    def visit_ClassDef(self, node):
        bases = [ast.unparse(base) for base in node.bases]
        if bases and bases[0].startswith('namedtuple('):
            return self._write_out_base(node)
        if 'typing.NamedTuple' in bases:
            if len(bases) > 1:
                raise BundleError(f'{node.name} has several bases')
            return self._write_out(node)
        if 'enum.Enum' in bases and not all(
                isinstance(item.value, ast.Constant)
                for item in node.body
                if isinstance(item, ast.Assign)):
            raise BundleError(f'{node.name} has other values than constants')
        self.generic_visit(node)
        return node

    def _write_out_base(self, node):
        """Writes out the call that is the base of a class."""
        name, fields = (argument.value for argument in node.bases[0].args)
        base = _make_tuple_class(name, fields.split(), {})
        node.bases = [ast.Name(name, ast.Load())]
        return [base, self.generic_visit(node)]

    def _write_out(self, node):
        fields = [item for item in node.body if isinstance(item, ast.AnnAssign)]
        names = [field.target.id for field in fields]
        defaults = {
            field.target.id: ast.unparse(field.value)
            for field in fields
            if field.value is not None
        }
        written = _make_tuple_class(node.name, names, defaults)
        for item in written.body:
            for part in ast.walk(item):
                ast.copy_location(part, node)
        written.decorator_list = node.decorator_list
        written.body += [
            self.visit(item) for item in node.body if item not in fields
        ]
        return ast.copy_location(written, node)


def _find_used(tree: ast.Module) -> set[str]:
    """Returns the names and dotted names that a module reads."""
    return {
        ast.unparse(node)
        for node in ast.walk(tree)
        if isinstance(node, (ast.Attribute,
                             ast.Name)) and isinstance(node.ctx, ast.Load)
    }


def _drop_aliases(tree: ast.Module) -> None:
    """Removes aliases of types that only annotations have used."""
    used = _find_used(tree)
    tree.body = [
        node for node in tree.body
        if not (isinstance(node, ast.Assign) and ast.unparse(
            node.value).startswith(('collections.abc.', 'typing.Callable[')) and
                ast.unparse(node.targets[0]) not in used)
    ]


def _drop_imports(tree: ast.Module) -> None:
    """Removes imports that only annotations or written-out tuples have used."""
    tree.body = [
        node for node in tree.body
        if not (isinstance(node, ast.If) and
                ast.unparse(node.test) == 'typing.TYPE_CHECKING')
    ]
    used = _find_used(tree)
    tree.body = [
        node for node in tree.body
        if not (isinstance(node, ast.Import) and node.names[0].name in
                ONLY_ANNOTATIONS and node.names[0].name not in used) and
        not (isinstance(node, ast.ImportFrom) and node.module == 'collections'
             and node.names[0].name == 'namedtuple')
    ]


def _substitute_imports(tree: ast.Module) -> None:
    """Makes imports of slow standard modules those of their substitutes."""
    imported = {
        alias.name for node in tree.body if isinstance(node, ast.Import)
        for alias in node.names
    }
    for node in tree.body:
        if isinstance(node, ast.Import):
            for alias in node.names:
                # `import collections.abc` binds the standard package.
                if (alias.name in SUBSTITUTES and
                        f'{alias.name}.abc' not in imported):
                    alias.asname = alias.asname or alias.name
                    alias.name = SUBSTITUTES[alias.name]
        elif isinstance(node, ast.ImportFrom) and not node.level:
            node.module = SUBSTITUTES.get(node.module or '', node.module)
    if '_new_tuple' in _find_used(tree):
        tree.body[:0] = ast.parse(f'from {SUBSTITUTES["typing"]} import '
                                  '_NamedTuple, _new_tuple, _tuple_field').body


class Collector:
    """Collects the modules that a role imports at its start, and later.

    Attributes:
      entries: Entries of the bundle so far; see `bundle_loader.load`.
      later: Marshalled code of the program's other modules by name, which
        functions import; see `bundle_loader.import_later`.
    """

    def __init__(self, platform: pathlib.Path):
        """Creates a collector.

        Args:
          platform: The folder `platform` of a build or a checkout.
        """
        self.entries: list[tuple[str, int, object]] = []
        self.later: dict[str, bytes] = {}
        # Modules that are named by imports in functions.
        self._named_later: list[str] = []
        self._path = [str(platform), str(platform.parent), str(FOLDER)]
        self._libraries = str(platform.parent.parent / 'deps')
        self._seen: set[str] = set()

    def add(self, name: str) -> bool:
        """Adds a module after those that it imports.

        Returns:
          Whether there is a module of this name.
        """
        if name in self._seen:
            return True
        parent = name.rpartition('.')[0]
        if parent and not self.add(parent):
            return False
        spec = self._find(name)
        if spec is None:
            return name in sys.builtin_module_names or name in sys.modules
        self._seen.add(name)
        if isinstance(spec.loader, importlib.machinery.ExtensionFileLoader):
            self._add_extension(name, spec.origin)
        elif spec.origin is not None and spec.origin.endswith('.py'):
            self._add_source(name, spec)
        return True

    def add_later(self) -> None:
        """Adds the program's modules that are imported only in functions."""
        while self._named_later:
            name = self._named_later.pop()
            spec = None if name in self._seen else self._find(name)
            if spec is None or not self._is_program(spec.origin or ''):
                continue
            self._seen.add(name)
            code, imported = self._compile(name, spec)
            self._named_later += imported
            # Packages are there from the start.
            if spec.submodule_search_locations is None:
                self.later[name] = marshal.dumps(code)

    def _is_program(self, origin: str) -> bool:
        return origin.startswith(tuple(self._path))

    def _find(self, name: str):
        if name in sys.builtin_module_names:
            return None
        if importlib.machinery.FrozenImporter.find_spec(name) is not None:
            return None
        path: list[str] = [*self._path, self._libraries, *sys.path]
        parent = name.rpartition('.')[0].replace('.', '/')
        if parent:
            path = [f'{folder}/{parent}' for folder in path]
        return importlib.machinery.PathFinder.find_spec(name, path)

    def _add_extension(self, name: str, origin: str) -> None:
        if origin.startswith(self._libraries):
            path = origin.removeprefix(f'{self._libraries}/')
            self.entries.append((name, bundle_loader.LIBRARY_EXTENSION, path))
        elif pathlib.Path(origin).parent.name == 'lib-dynload':
            self.entries.append((name, bundle_loader.STANDARD_EXTENSION,
                                 pathlib.Path(origin).name))

    def _add_source(self, name: str, spec) -> None:
        code, imported = self._compile(name, spec)
        for other in imported:
            self.add(other)
        kind = (bundle_loader.MODULE if spec.submodule_search_locations is None
                else bundle_loader.PACKAGE)
        self.entries.append((name, kind, code))

    def _compile(self, name: str, spec) -> tuple[types.CodeType, list[str]]:
        """Returns the code of a module, and what it imports when loaded."""
        origin = spec.origin
        is_package = spec.submodule_search_locations is not None
        own = self._is_program(origin) or origin.startswith(self._libraries)
        if name in REPLACED:
            origin = self._find(REPLACED[name]).origin
        source = pathlib.Path(origin).read_text('utf-8')
        is_changed = own and not name.startswith('substitutes')
        tree = transform(source) if is_changed else ast.parse(source)
        package = name if is_package else name.rpartition('.')[0]
        if is_changed:
            for node in ast.walk(tree):
                self._named_later += _names(node, package)
        code = compile(tree, origin, 'exec', dont_inherit=True, optimize=2)
        return code, _imports(tree, package)


def _imports(tree: ast.Module, package: str) -> list[str]:
    """Returns the names of modules that a module may import when it is loaded.
    """
    names: list[str] = []
    pending: list[ast.AST] = list(tree.body)
    while pending:
        node = pending.pop(0)
        names += _names(node, package)
        if isinstance(node, ast.Try):
            pending = node.body + pending
    return names


def _names(node: ast.AST, package: str) -> list[str]:
    """Returns the names of modules that a statement may import.

    Names that it imports from a package may be other objects than modules.
    """
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if not isinstance(node, ast.ImportFrom):
        return []
    base = node.module or ''
    if node.level:
        parts = package.split('.')
        parts = parts[:len(parts) + 1 - node.level]
        base = '.'.join(parts + ([base] if base else []))
    return [base, *(f'{base}.{alias.name}' for alias in node.names)]


def build(platform: pathlib.Path) -> None:
    """Writes the bundle of each role into the folder `platform` of a build."""
    loader = compile((platform / 'bundle_loader.py').read_text('utf-8'),
                     'bundle_loader.py',
                     'exec',
                     dont_inherit=True,
                     optimize=2)
    for role in ROLES:
        collector = Collector(platform)
        collector.add('first_sockets')
        first_count = len(collector.entries)
        for name in ('program', f'figdrum.node.{role}_process'):
            collector.add(name)
        first = collector.entries[:first_count]
        collector.add_later()
        others = marshal.dumps(
            (collector.entries[first_count:], collector.later))
        path = platform / f'{role}-{sys.hexversion:x}.bundle'
        path.write_bytes(marshal.dumps((loader, first, others)))


if __name__ == '__main__':
    build(FOLDER)
