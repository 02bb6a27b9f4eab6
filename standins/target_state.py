"""What a target is told to be and to say."""

import typing


class TargetState(typing.NamedTuple):
    """State of a target that its control endpoint changes.

    Attributes:
      draining: Refuses new requests and says so in its health.
      shedding: Probability that a new request is refused.
      work_ms: Duration of a request.
      stall_ms: Duration of a request while collapsed.
      roster_ms: Time after which the roster has a new version; 0 for never.
      health: State that `/health` states in place of the true one.
      health_lag_ms: Age of what `/health` states.
      load: Utilisation that `/load` states in place of the true one.
      load_lag_ms: Age of what `/load` states.
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

    def changed(self, wanted: dict[str, typing.Any]) -> 'TargetState':
        """Returns the state with the fields in `wanted` replaced.

        Raises:
          ValueError: if a field does not exist.
        """
        unknown = set(wanted) - set(self._fields)
        if unknown:
            raise ValueError(f'unknown fields {sorted(unknown)}')
        return self._replace(**wanted)
