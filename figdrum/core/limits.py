"""Time limits that several packages of figdrum share, in ms.

Explanation
===========

Each value is defined here once, and settings take their defaults from here. A
time limit that only one module uses is defined in that module.

Examples
========

>>> EXCHANGE_LIFETIME_MS < IDEMPOTENCY_KEY_LIFETIME_MS
True

References
==========

docs/design.md, sections 2, 4 and 5; RFC 7252, section 4.8.2.
"""

# EXCHANGE_LIFETIME of RFC 7252: no copy of a confirmable message is sent or
# delivered later than this after the first.
EXCHANGE_LIFETIME_MS = 247_000

# Longer than EXCHANGE_LIFETIME_MS plus the longest acquisition of a claim, with
# clocks whose rates differ by 1 %. The tombstone of a lost member is kept for
# the same time, so that no claim is forgotten.
IDEMPOTENCY_KEY_LIFETIME_MS = 300_000

# Time limit for a contract change to be in force everywhere (P10).
CHANGE_PROPAGATION_LIMIT_MS = 7_000

# Time without a digest after which a balancer is pruned from its registry.
BALANCER_SILENCE_MS = 600_000

# Gap between two ticks after which a process was paused (R6 for agents).
WAKE_GAP_MS = 500

# Silence of a member after which others suspect it. A member that was paused
# for this long always detects a gap of WAKE_GAP_MS.
SUSPECT_AFTER_MS = 1_500

# Silence of a member after which others publish it as lost.
LOST_AFTER_MS = 3_000

# Interval between two heartbeats of a member.
HEARTBEAT_MS = 500

# Window in which one observer publishes at most a third of a list as lost.
LOST_WINDOW_MS = 10_000

# Maximum interval between confirmable notifications of an observation. They
# keep the records of a live observation from expiring.
MAX_NOTIFY_INTERVAL_MS = 60_000

# Deadline of a request that does not specify one.
DEFAULT_DEADLINE_MS = 30_000

# Length of the sliding window of the retry budget.
RETRY_WINDOW_MS = 10_000
