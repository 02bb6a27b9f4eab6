"""Small modules that a bundle uses in place of those of the standard library.

Each one has those names of a standard module that a balancer or an agent needs,
without what makes its import slow. Other names come from the standard module,
which is imported when one of them is first used.
"""


def fall_back(module: str):
    """Returns a `__getattr__` that finds other names in a standard module."""

    def find(name: str):
        # The import system looks for names such as `__path__`.
        if name.startswith('__'):
            raise AttributeError(name)
        return getattr(__import__(module), name)

    return find
