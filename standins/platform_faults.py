"""Faults that the platform stand-in shows on command."""

import typing


class PlatformFaults(typing.NamedTuple):
    """What is wrong with the platform now.

    Attributes:
      down: '' for up, 'error' answers 503, 'close' closes connections
        without an answer, 'hang' never answers.
      slow_ms: Delay of every answer.
      drop_answers: Number of coming writes that take effect and whose
        connection is then closed without an answer.
      cut_clients: Clients (`X-Client`) whose connections are closed.
    """
    down: str = ''
    slow_ms: int = 0
    drop_answers: int = 0
    cut_clients: tuple[str, ...] = ()

    def changed(self, wanted: dict[str, typing.Any]) -> 'PlatformFaults':
        """Returns the faults with the fields in `wanted` replaced.

        Raises:
          ValueError: if a field does not exist or has no valid value.

        >>> PlatformFaults().changed({'down': True, 'slow_ms': 5})
        PlatformFaults(down='close', slow_ms=5, drop_answers=0, cut_clients=())
        """
        unknown = set(wanted) - set(self._fields)
        if unknown:
            raise ValueError(f'unknown faults {sorted(unknown)}')
        down = wanted.get('down', self.down)
        if isinstance(down, bool):
            down = 'close' if down else ''
        if down not in ('', 'error', 'close', 'hang'):
            raise ValueError(f'unknown kind of outage {down!r}')
        return PlatformFaults(
            down,
            int(wanted.get('slow_ms', self.slow_ms)),
            int(wanted.get('drop_answers', self.drop_answers)),
            tuple(wanted.get('cut_clients', self.cut_clients)),
        )
