"""States and verdicts shared by several parts."""

import enum


class MemberState(enum.Enum):
    """State of a back end in its service's published list."""
    ACTIVE = 'active'
    DRAINING = 'draining'
    LOST = 'lost'
    LEFT = 'left'


class Refusal(enum.Enum):
    """What a refusal says about the request that it answers."""
    DID_NOT_RUN = 'did-not-run'
    OUTCOME_UNKNOWN = 'outcome-unknown'


class ServingState(enum.Enum):
    """Whether a process takes work."""
    STARTING = 'starting'
    SERVING = 'serving'
    STOPPING = 'stopping'
