"""The containers of `collections` that are written in C, and a counter."""

import _collections

import substitutes

deque = _collections.deque
defaultdict = _collections.defaultdict
OrderedDict = _collections.OrderedDict


def _standard(value):
    import collections  # pylint: disable=import-outside-toplevel
    return collections.Counter(value) if isinstance(value, Counter) else value


def _by_standard(name):
    """Returns a method that uses the standard class."""

    def operate(self, *others):
        result = getattr(_standard(self), name)(*map(_standard, others))
        is_counter = isinstance(result, dict)
        if is_counter and name.startswith('__i'):
            self.clear()
            self.update(result)
            return self
        return Counter(result) if is_counter else result

    return operate


class Counter(dict):
    """Counts by key, 0 for keys without one."""

    def __init__(self, counted=None, /, **counts):
        super().__init__()
        self.update(counted, **counts)

    def __missing__(self, key):
        return 0

    def update(self, counted=None, /, **counts):
        """Adds counts by key, or the number of each item."""
        if isinstance(counted, dict):
            for key, count in counted.items():
                self[key] = self[key] + count
        elif counted is not None:
            _collections._count_elements(self, counted)  # pylint: disable=protected-access
        if counts:
            self.update(counts)

    def subtract(self, counted=None, /, **counts):
        """Takes off counts by key, or the number of each item."""
        for key, count in Counter(counted, **counts).items():
            self[key] = self[key] - count

    def copy(self):
        """Returns a copy."""
        return Counter(self)

    def __delitem__(self, key):
        self.pop(key, None)

    def __repr__(self):
        return repr(_standard(self))

    def __getattr__(self, name):
        return getattr(_standard(self), name)


for _name in ('add', 'sub', 'or', 'and', 'iadd', 'isub', 'ior', 'iand', 'pos',
              'neg', 'eq', 'ne', 'lt', 'le', 'gt', 'ge'):
    setattr(Counter, f'__{_name}__', _by_standard(f'__{_name}__'))

__getattr__ = substitutes.fall_back('collections')
