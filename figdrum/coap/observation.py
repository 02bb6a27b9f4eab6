"""One registered observation.

Explanation
===========

Each notification is confirmable, because a lost last change would leave the
caller with an old state until the next one. While one awaits its
acknowledgement a newer state replaces it at its next repetition, so that a
caller that is away costs one datagram each repetition and the newest state
arrives. Without a change the state is sent again each 60 s, which shows that
the caller is still there and keeps the flow's records in use.

References
==========

RFC 7641, sections 4.2 to 4.5.
"""

import dataclasses

from figdrum.coap import codes
from figdrum.coap import exchange
from figdrum.coap import request
from figdrum.core import ids


@dataclasses.dataclass(slots=True)
class Observation:
    """State of an observation.

    Attributes:
      flow: Flow of the caller.
      token: Token of the registration.
      request: The registration.
      response: Newest state, or None before the first.
      sent_ms: Time of the last notification.
      outstanding: Notification that awaits its acknowledgement.
      dirty: True when `response` is newer than the last notification.
      timer_ms: Time of the one timer that counts, or None.
    """
    flow: ids.FlowKey
    token: bytes
    request: request.Request
    response: codes.Response | None
    sent_ms: int
    outstanding: exchange.Retransmission | None = None
    dirty: bool = False
    timer_ms: int | None = None
