"""The functions of `functools` that are written in C."""

import _functools

import substitutes

partial = _functools.partial
reduce = _functools.reduce


def _cache_info(*figures):
    import functools  # pylint: disable=import-outside-toplevel
    return functools._CacheInfo(*figures)  # pylint: disable=protected-access


def lru_cache(*arguments, **options):
    """Returns a decorator that keeps the last results of a function."""
    if arguments or options.keys() != {'maxsize'}:
        import functools  # pylint: disable=import-outside-toplevel
        return functools.lru_cache(*arguments, **options)
    maxsize = options['maxsize']

    def decorate(fn):
        return _functools._lru_cache_wrapper(  # pylint: disable=protected-access
            fn, maxsize, False, _cache_info)

    return decorate


__getattr__ = substitutes.fall_back('functools')
