"""Draws the plot data of a table to a PNG.

Explanation
===========

matplotlib is the optional extra `plots`; without it, no files are written.
"""

import importlib.util
import pathlib

from bench import measure

HAS_MATPLOTLIB = importlib.util.find_spec('matplotlib') is not None

_SIZE_INCHES = (9, 5)
_DPI = 120


def write(table: measure.Table, path: pathlib.Path) -> bool:
    """Draws the table's plot; returns False when nothing was drawn."""
    if table.plot is None or not HAS_MATPLOTLIB:
        return False
    # Imported here because the extra may be missing.
    # pylint: disable-next=import-outside-toplevel,import-error
    from matplotlib import figure
    fig = figure.Figure(figsize=_SIZE_INCHES)
    axes = fig.add_subplot()
    _draw(axes, table.plot)
    axes.set_title(f'{table.plot.title}\n{table.command}, seed {table.seed}, '
                   f'runs {table.runs}')
    axes.set_xlabel(table.plot.x_label)
    axes.set_ylabel(table.plot.y_label)
    axes.legend()
    fig.savefig(path, dpi=_DPI)
    return True


def _draw(axes, plot: measure.Plot) -> None:
    width = 0.8 / max(1, len(plot.series))
    for position, series in enumerate(plot.series):
        if series.x and isinstance(series.x[0], str):
            axes.bar([i + position * width for i in range(len(series.x))],
                     series.y,
                     width,
                     label=series.label)
            axes.set_xticks(range(len(series.x)), series.x)
        else:
            axes.plot(series.x, series.y, label=series.label)
