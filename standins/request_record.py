"""Records of requests and feeds as their caller observed them."""

import dataclasses
import enum
import typing

from figdrum.core import states


class Kind(enum.Enum):
    """Kinds of requests."""
    GET = 'get'
    POST = 'post'
    OBSERVE = 'observe'
    DOWNLOAD = 'download'


class Ending(enum.Enum):
    """How a request ended for its caller."""
    PENDING = 'pending'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    LOST = 'lost'
    WRONG = 'wrong'


class Call(typing.NamedTuple):
    """A request to make.

    Attributes:
      kind: Kind of request.
      path: Path with a leading slash.
      nonce: Sent as `n=` and expected in the answer; unique for each request.
      key: Idempotency key, sent as `key=`, or the empty string.
      deadline_ms: Sent as `deadline_ms=`, or 0 for none.
      size: Size of a download in bytes.
    """
    kind: Kind
    path: str
    nonce: str
    key: str = ''
    deadline_ms: int = 0
    size: int = 0


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """A request as its caller observed it.

    Attributes:
      flow: Name of the flow.
      service: Service that the request was meant for.
      call: The request.
      sent_ms: Time of the first transmission.
      ended_ms: Time of the end.
      ending: How it ended.
      code: CoAP code of the answer, e.g. '2.05', or the empty string.
      refusal: Kind of the refusal, or None.
      retry_after_s: Max-Age of a refusal, in s.
      target: Target that answered, or the empty string.
      answered_by: Service of that target, or the empty string.
      transmissions: Datagrams sent for it.
      detail: Why it is lost or wrong.
    """
    flow: str
    service: str
    call: Call
    sent_ms: int
    ended_ms: int = 0
    ending: Ending = Ending.PENDING
    code: str = ''
    refusal: states.Refusal | None = None
    retry_after_s: int = 0
    target: str = ''
    answered_by: str = ''
    transmissions: int = 0
    detail: str = ''

    def to_json(self) -> dict[str, typing.Any]:
        """Returns the record as a JSON object."""
        return {
            **{
                f.name: getattr(self, f.name) for f in dataclasses.fields(self)
            }, 'call': {
                **self.call._asdict(), 'kind': self.call.kind.value
            },
            'ending': self.ending.value,
            'refusal': self.refusal.value if self.refusal else ''
        }


@dataclasses.dataclass(slots=True)
class FeedRecord:
    """An Observe relation as its caller recorded it.

    Attributes:
      flow: Name of the flow.
      token: Token of the observation.
      call: The request that began it.
      last_seen_ms: Time of the latest notification.
      notifications: Number of fresh notifications.
      stale: Number of notifications older than the latest one.
      longest_gap_ms: Longest time between two notifications.
      sequence: Observe value of the latest notification, or -1.
      ended: Why it ended without being cancelled, or the empty string.
      cancelled: True after the caller cancelled it.
    """
    flow: str
    token: bytes
    call: Call
    last_seen_ms: int
    notifications: int = 0
    stale: int = 0
    longest_gap_ms: int = 0
    sequence: int = -1
    ended: str = ''
    cancelled: bool = False

    def on_notification(self, now_ms: int, sequence: int) -> bool:
        """Counts a notification and returns whether it is fresh.

        References
        ==========

        RFC 7641 section 3.4.
        """
        gap_ms = now_ms - self.last_seen_ms
        if self.sequence >= 0 and gap_ms <= SEQUENCE_VALIDITY_MS:
            sequence_advance = (sequence - self.sequence) % SEQUENCE_SPACE
            if not 0 < sequence_advance < SEQUENCE_SPACE // 2:
                self.stale += 1
                return False
        if self.sequence >= 0:
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.sequence = sequence
        self.last_seen_ms = now_ms
        self.notifications += 1
        return True

    def to_json(self) -> dict[str, typing.Any]:
        """Returns the record as a JSON object."""
        return {
            **{
                f.name: getattr(self, f.name) for f in dataclasses.fields(self)
            }, 'token': self.token.hex(),
            'call': {
                **self.call._asdict(), 'kind': self.call.kind.value
            }
        }


# RFC 7641 section 3.4: after this time any sequence number is newer.
SEQUENCE_VALIDITY_MS = 128_000
SEQUENCE_SPACE = 1 << 24
