"""Enumerations that several packages share."""

import enum


class MemberState(enum.Enum):
    """State of a member in its service's published list."""
    ACTIVE = 'active'
    DRAINING = 'draining'
    LOST = 'lost'
    LEFT = 'left'


class Refusal(enum.Enum):
    """Whether a refused request is known not to have run."""
    DID_NOT_RUN = 'did-not-run'
    OUTCOME_UNKNOWN = 'outcome-unknown'


class ServingState(enum.Enum):
    """Phase of a process's life that decides whether it accepts work."""
    STARTING = 'starting'
    SERVING = 'serving'
    STOPPING = 'stopping'
