"""The median, without the numeric types of the standard module."""

import substitutes


def median(data):
    """Returns the median of numbers."""
    ordered = sorted(data)
    if not ordered:
        # The standard module raises its own error.
        import statistics  # pylint: disable=import-outside-toplevel
        return statistics.median(ordered)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


__getattr__ = substitutes.fall_back('statistics')
