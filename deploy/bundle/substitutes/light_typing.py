"""The names of `typing` that remain in byte code without annotations.

Importing `typing` takes 6 ms of CPU time, with `collections`, `functools`, `re`
and `contextlib`.
"""

import _collections

import substitutes

# Names of the standard module.
# pylint: disable=invalid-name

Any = object
TYPE_CHECKING = False

# Used by written-out named tuples. The second one returns the field at an
# index, as an attribute of a class.
_new_tuple = tuple.__new__
_tuple_field = _collections._tuplegetter  # pylint: disable=protected-access


class Generic:
    """Base of classes with a type parameter."""

    def __class_getitem__(cls, _):
        return cls


class Protocol(Generic):
    """Base of classes that only describe others."""


class Optional(Generic):
    """Type of a parameter in an extension module."""


class _NamedTuple(tuple):
    """Base of the classes that `bundle.py` makes of named tuples.

    Each one has `_fields`, `_field_defaults`, `__new__` and its fields.
    """
    __slots__ = ()
    _fields: tuple[str, ...] = ()

    @classmethod
    def _make(cls, iterable):
        return cls(*iterable)

    def _replace(self, /, **values):
        result = self._make(map(values.pop, self._fields, self))
        if values:
            raise ValueError(f'Got unexpected field names: {list(values)!r}')
        return result

    def _asdict(self):
        return dict(zip(self._fields, self))

    def __repr__(self):
        values = ', '.join(
            f'{name}={value!r}' for name, value in zip(self._fields, self))
        return f'{type(self).__name__}({values})'

    def __getnewargs__(self):
        return tuple(self)


def NewType(_, supertype):
    """Returns a function that returns its argument."""
    del supertype

    def same(value):
        return value

    return same


def TypeVar(*_, **__):
    """Returns nothing, since no annotation is left."""


def cast(_, value):
    """Returns the value."""
    return value


__getattr__ = substitutes.fall_back('typing')
