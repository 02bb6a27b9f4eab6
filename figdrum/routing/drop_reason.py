"""Reasons for which a balancer drops a packet."""

import enum


class DropReason(enum.Enum):
    """Reason for dropping a packet; the value is part of a metric's name."""
    NOT_SERVING = 'not_serving'
    BEHIND = 'behind'
    OWN_ZONE_OUT = 'own_zone_out'
    UNKNOWN_ADDRESS = 'unknown_address'
    SOURCE_NOT_ALLOWED = 'source_not_allowed'
    MALFORMED = 'malformed'
    NO_MEMBER = 'no_member'
