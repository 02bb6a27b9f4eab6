"""Settings of a target that can change while it runs."""

import typing


class TargetState(typing.NamedTuple):
    """Settings of a target that its control endpoint changes.

    Attributes:
      draining: Whether it refuses new requests and reports it in its health.
      shedding: Probability that a new request is refused.
      work_ms: Duration of a request.
      stall_ms: Duration of a request after a collapse.
      roster_ms: Interval between versions of the roster; 0 for none.
      health: State that `/health` reports instead of the true one.
      health_lag_ms: Age of what `/health` reports.
      load: Utilisation that `/load` reports instead of the true one.
      load_lag_ms: Age of what `/load` reports.
    """
    draining: bool = False
    shedding: float = 0.0
    work_ms: float = 5.0
    stall_ms: float = 3_000.0
    roster_ms: int = 0
    health: str = ''
    health_lag_ms: int = 0
    load: float | None = None
    load_lag_ms: int = 0

    def changed(self, changes: dict[str, typing.Any]) -> 'TargetState':
        """Returns the state with the fields in `changes` replaced.

        Raises:
          ValueError: if a field does not exist.
        """
        unknown = set(changes) - set(self._fields)
        if unknown:
            raise ValueError(f'unknown fields {sorted(unknown)}')
        return self._replace(**changes)
