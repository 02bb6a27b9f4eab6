"""An agent's state of its target.

Examples
========

>>> status = TargetStatus(ids.ServiceName('booking'), 1200)
>>> beat = target.Heartbeat('i-1', ids.ServiceName('booking'),
...                         TargetState.READY, 2, 0, 1)
>>> status.apply_heartbeat(1000, 7, beat)
True
>>> status.state.value, status.identity, status.is_cold(1000)
('ready', 'i-1@7', False)
>>> status.has_missed_heartbeats(5000)
True
"""

from figdrum.core import ids
from figdrum.flows import target

TargetState = target.TargetState

# Heartbeats that a target may miss before it is considered down.
MAX_MISSED_HEARTBEATS = 3

# Shortest time in ms between two probes of a target; each probe occupies a
# slot.
PROBE_PERIOD_MS = 500


def make_identity(name: str, started_ms: int) -> str:
    """Returns an identity that is unique even if a name is used again."""
    return f'{name}@{started_ms}'


def target_name(identity: str) -> str:
    """Returns the name in an identity.

    >>> target_name(make_identity('i-1', 7))
    'i-1'
    """
    return identity.rpartition('@')[0]


def target_start_ms(identity: str) -> int:
    """Returns the start time in an identity, or 0 if it has none.

    >>> target_start_ms(make_identity('i-1', 7)), target_start_ms('i-1')
    (7, 0)
    """
    text = identity.rpartition('@')[2]
    return int(text) if text.isascii() and text.isdecimal() else 0


class TargetStatus:
    """State, incarnation and last contact of a target.

    Attributes:
      service: Service that the agent's settings name for the target.
      identity: Identity of the incarnation, empty if unknown.
      state: State of the target.
      slots: Requests that it processes in parallel.
      sequence: Number of the incarnation's last heartbeat, or -1.
      last_heartbeat_ms: Time of the last heartbeat of this incarnation, or
        None.
      lived_until_ms: Arrival of the last heartbeat of this incarnation that
        another one has followed, or None. A heartbeat may arrive after its
        sender has crashed, so the last one does not show that it lived then.
      started_ms: Start of the incarnation, by the target's clock.
      is_confirmed: Whether the target itself has stated the name in `identity`.
      last_heard_ms: Time of the last packet, heartbeat or health response of
        the target, or None.
    """

    def __init__(self, service: ids.ServiceName, heartbeat_period_ms: int):
        self.service = service
        self.identity = ''
        self.state = TargetState.UNKNOWN
        self.slots = 1
        self.last_heartbeat_ms: int | None = None
        self.lived_until_ms: int | None = None
        self.last_heard_ms: int | None = None
        self._period_ms = heartbeat_period_ms
        self._timeout_ms = MAX_MISSED_HEARTBEATS * heartbeat_period_ms
        self.started_ms = 0
        self.is_confirmed = False
        self.sequence = -1
        self._cold_until_ms: int | None = None
        self._last_probe_ms: int | None = None

    @property
    def name(self) -> str:
        """Name of the target, empty if unknown."""
        return target_name(self.identity)

    @property
    def is_down(self) -> bool:
        """Whether the target is down, by its own word or another sign."""
        return self.state in (TargetState.DOWN, TargetState.LEFT)

    def set_down(self) -> None:
        """Marks the target as down; one that has left stays so."""
        if not self.is_down:
            self.state = TargetState.DOWN

    def set_lost(self, identity: str) -> None:
        """Marks a target as left that was lost before this process started."""
        self.identity = identity
        self.started_ms = target_start_ms(identity)
        self.state = TargetState.LEFT

    def is_stale(self, started_ms: int, heartbeat: target.Heartbeat) -> bool:
        """Returns whether a heartbeat was overtaken by a later one.

        The heartbeat has the name of the current target.
        """
        if started_ms == self.started_ms:
            return heartbeat.sequence < self.sequence
        return started_ms < self.started_ms

    def apply_heartbeat(self, now_ms: int, started_ms: int,
                        heartbeat: target.Heartbeat) -> bool:
        """Updates the status with a heartbeat that is not stale.

        Returns:
          Whether the identity, the state or `is_cold` has changed.
        """
        before = (self.identity, self.state, self.is_cold(now_ms))
        self._record_heartbeat(now_ms,
                               make_identity(heartbeat.target, started_ms))
        self.started_ms = started_ms
        self.sequence = heartbeat.sequence
        self.slots = max(1, heartbeat.slots)
        self.last_heard_ms = now_ms
        self._cold_until_ms = now_ms + heartbeat.warmup_left_ms
        self.state = (heartbeat.state if heartbeat.service == self.service else
                      TargetState.UNKNOWN)
        return (self.identity, self.state, self.is_cold(now_ms)) != before

    def _record_heartbeat(self, now_ms: int, identity: str) -> None:
        if identity != self.identity:
            self.lived_until_ms = None
        elif (self.last_heartbeat_ms is not None and
              now_ms - self.last_heartbeat_ms >= self._period_ms // 2):
            # Late heartbeats may arrive together.
            self.lived_until_ms = self.last_heartbeat_ms
        self.identity = identity
        self.last_heartbeat_ms = now_ms

    def restore_registration(self, now_ms: int,
                             registration: target.Registration) -> None:
        """Restores the status from a registration of an earlier process.

        The caller has checked that the target's health response names the same
        target.
        """
        self.identity = registration.target
        self.started_ms = target_start_ms(registration.target)
        self.state = registration.state
        self.last_heard_ms = now_ms
        if not registration.is_cold:
            self._cold_until_ms = now_ms

    def forget_warmth(self, now_ms: int) -> None:
        """Lets a warm target count as cold until its next heartbeat."""
        if not self.is_warming_up(now_ms):
            self._cold_until_ms = None

    def is_cold(self, now_ms: int) -> bool:
        """Returns whether the target is warming up or may be."""
        return self._cold_until_ms is None or now_ms < self._cold_until_ms

    def is_warming_up(self, now_ms: int) -> bool:
        """Returns whether the last heartbeat says that the target warms up."""
        return self._cold_until_ms is not None and now_ms < self._cold_until_ms

    def is_alive(self, now_ms: int) -> bool:
        """Returns whether the target was heard within the heartbeat timeout."""
        return (not self.is_down and self.last_heard_ms is not None and
                now_ms - self.last_heard_ms < self._timeout_ms)

    def has_missed_heartbeats(self, now_ms: int) -> bool:
        """Returns whether a ready or draining target has missed heartbeats."""
        return (self.state in (TargetState.READY, TargetState.DRAINING) and
                self.last_heartbeat_ms is not None and
                now_ms - self.last_heartbeat_ms > self._timeout_ms)

    def try_start_probe(self, now_ms: int) -> bool:
        """Records the start of a probe and returns True, if one is due."""
        if (self._last_probe_ms is not None and
                now_ms - self._last_probe_ms < PROBE_PERIOD_MS):
            return False
        self._last_probe_ms = now_ms
        return True

    def was_heard_since_probe(self) -> bool:
        """Returns whether the target was heard since the last probe started."""
        return (self._last_probe_ms is not None and
                self.last_heard_ms is not None and
                self.last_heard_ms >= self._last_probe_ms)
