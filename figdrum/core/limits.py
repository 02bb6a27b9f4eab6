"""Times that several parts of figdrum share, in ms.

Explanation
===========

Each figure stands here once; settings take their defaults from here. A time
that one module alone uses stays in that module.

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

# Longer than EXCHANGE_LIFETIME_MS plus the longest walk, on clocks whose rates
# differ by 1 %. A lost mark stays as long, so that no claim is forgotten.
IDEMPOTENCY_KEY_LIFETIME_MS = 300_000

# Every change is in force everywhere after this time (P10).
CHANGE_PROPAGATION_LIMIT_MS = 7_000

# An entry of a balancer that has been silent for so long is pruned.
BALANCER_SILENCE_MS = 600_000

# Gap between the ticks of an agent after which it counts as woken (R6).
WAKE_GAP_MS = 500

# Silence of a member after which others pass it over; a member that was paused
# for so long always sees a gap of WAKE_GAP_MS.
SUSPECT_AFTER_MS = 1_500

# Silence of a member after which it is published as lost.
LOST_AFTER_MS = 3_000

# Time between the heartbeats of a member.
HEARTBEAT_MS = 500

# Time in which one observer marks at most a third of a list as lost.
LOST_WINDOW_MS = 10_000

# Longest time between confirmable notifications of an observation. It keeps
# the records of a live feed in use.
MAX_NOTIFY_INTERVAL_MS = 60_000

# Deadline of a request that names none.
DEFAULT_DEADLINE_MS = 30_000

# Window of the budget of retries.
RETRY_WINDOW_MS = 10_000
