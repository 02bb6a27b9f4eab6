"""One registered observation.

Explanation
===========

Each notification is confirmable, because after a lost notification the caller
would keep an old state until the next change. While a notification is not
acknowledged, a newer state is sent at its next retransmission, so that an
unreachable caller costs one datagram per retransmission and still receives the
newest state. Without a change the state is sent again every 60 s, which checks
that the caller still exists and keeps the flow's records from expiring.

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
      request: Request that registered the observation.
      response: Newest state, or None before the first one.
      sent_ms: Time of the last notification.
      outstanding: Notification that is not yet acknowledged, or None.
      has_newer_state: True if `response` is newer than the last notification.
      timer_ms: Due time of the one timer in effect, or None; other timers of
        the observation are ignored.
    """
    flow: ids.FlowKey
    token: bytes
    request: request.Request
    response: codes.Response | None
    sent_ms: int
    outstanding: exchange.Retransmission | None = None
    has_newer_state: bool = False
    timer_ms: int | None = None
