"""Base class of the measures of `make bench`, and their result tables.

Explanation
===========

A measure runs once with a seed and returns a table of typed rows: named tuples
of one class, whose field names are the column headings. The table holds the
command and the seed that repeat the run. `bench.__main__` prints it and writes
it to `bench/out/`.

Examples
========

>>> class Row(typing.NamedTuple):
...     scheme: str
...     broken: int
>>> table = Table('example', 'python -m bench example', 1, (Row('hash', 3),))
>>> print(table.to_text())
example: python -m bench example, seed 1, runs 1
scheme  broken
hash    3
"""

import abc
import collections.abc
import json
import typing


class Series(typing.NamedTuple):
    """One line or group of bars of a plot.

    Attributes:
      label: Legend.
      x: Positions, or labels of bars.
      y: Values.
    """
    label: str
    x: tuple[float | str, ...]
    y: tuple[float, ...]


class Plot(typing.NamedTuple):
    """Plot data of a measure.

    Attributes:
      title: Title.
      x_label: Horizontal axis with unit.
      y_label: Vertical axis with unit.
      series: Lines; bars when the positions are strings.
    """
    title: str
    x_label: str
    y_label: str
    series: tuple[Series, ...]


class Bound(typing.NamedTuple):
    """A stated bound and whether the run kept it.

    Attributes:
      text: The bound and the requirement that it follows from.
      kept: True if the run kept it.
      measured: The figure that was compared with the bound.
    """
    text: str
    kept: bool
    measured: float


class Table(typing.NamedTuple):
    """Result of one run of a measure.

    Attributes:
      name: The measure.
      command: Command that repeats the run.
      seed: Seed of the run.
      rows: Named tuples of one class.
      bounds: Stated bounds.
      plot: Plot data, or None.
      notes: Lines that explain the figures.
      runs: Number of runs.
    """
    name: str
    command: str
    seed: int
    rows: tuple[typing.Any, ...]
    bounds: tuple[Bound, ...] = ()
    plot: Plot | None = None
    notes: tuple[str, ...] = ()
    runs: int = 1

    def to_text(self) -> str:
        """Returns the table for a terminal."""
        lines = [
            f'{self.name}: {self.command}, seed {self.seed}, '
            f'runs {self.runs}'
        ]
        lines += _format_columns(self.rows)
        lines += [f'  note: {note}' for note in self.notes]
        lines += [
            f'  bound {"kept" if bound.kept else "BROKEN"}: {bound.text}; '
            f'measured {_format_cell(bound.measured)}' for bound in self.bounds
        ]
        return '\n'.join(lines)

    def to_json(self) -> str:
        """Returns the table and the plot data as a JSON object."""
        document = self._asdict() | {
            'rows': [row._asdict() for row in self.rows],
            'bounds': [bound._asdict() for bound in self.bounds],
        }
        if self.plot is not None:
            document['plot'] = self.plot._asdict() | {
                'series': [series._asdict() for series in self.plot.series]
            }
        return json.dumps(document, indent=1)


class Measure(abc.ABC):
    """A measurement that `make bench` runs.

    Attributes:
      name: Name of the measure, of its files and on the command line.
    """
    name: str

    @property
    def command(self) -> str:
        """Command that runs this measure alone."""
        return f'python -m bench {self.name}'

    @abc.abstractmethod
    def run(self, seed: int) -> Table:
        """Runs the measure once with this seed and returns its results."""


def _format_cell(value: typing.Any) -> str:
    return f'{value:.3f}' if isinstance(value, float) else str(value)


def _format_columns(rows: collections.abc.Sequence[typing.Any]) -> list[str]:
    if not rows:
        return ['(no rows)']
    cells = [[name.replace('_', ' ') for name in rows[0]._fields]]
    cells += [[_format_cell(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return [
        '  '.join(cell.ljust(width)
                  for cell, width in zip(line, widths)).rstrip()
        for line in cells
    ]
