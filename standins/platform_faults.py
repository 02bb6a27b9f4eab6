"""Faults that can be injected into the platform stand-in."""

import typing


class PlatformFaults(typing.NamedTuple):
    """Faults of the platform that are active now.

    Attributes:
      down: '' for up, 'error' answers 503, 'close' closes connections
        without an answer, 'hang' never answers.
      slow_ms: Delay of every answer.
      drop_answers: Number of next writes that take effect but whose
        connection is closed without an answer.
      cut_clients: Clients (`X-Client`) whose connections are closed.
    """
    down: str = ''
    slow_ms: int = 0
    drop_answers: int = 0
    cut_clients: tuple[str, ...] = ()

    def changed(self, changes: dict[str, typing.Any]) -> 'PlatformFaults':
        """Returns the faults with the fields in `changes` replaced.

        Raises:
          ValueError: if a field does not exist or has no valid value.

        >>> PlatformFaults().changed({'down': True, 'slow_ms': 5})
        PlatformFaults(down='close', slow_ms=5, drop_answers=0, cut_clients=())
        """
        unknown = set(changes) - set(self._fields)
        if unknown:
            raise ValueError(f'unknown faults {sorted(unknown)}')
        down = changes.get('down', self.down)
        if isinstance(down, bool):
            down = 'close' if down else ''
        if down not in ('', 'error', 'close', 'hang'):
            raise ValueError(f'unknown kind of outage {down!r}')
        return PlatformFaults(
            down,
            int(changes.get('slow_ms', self.slow_ms)),
            int(changes.get('drop_answers', self.drop_answers)),
            tuple(changes.get('cut_clients', self.cut_clients)),
        )
