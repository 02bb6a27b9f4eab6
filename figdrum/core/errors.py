"""Errors with codes.

Explanation
===========

Every error carries a stable code, the step that failed and the peer at which
it arose. Operators look codes up in docs/operators/errors.md.

Examples
========

>>> exc = ConflictError('put', 'platform', 'changes/7 exists')
>>> str(exc)
'FD201 put: changes/7 exists (peer platform)'
"""


class FigdrumError(Exception):
    """Base of all errors that figdrum raises.

  Attributes:
    code: Stable code of the kind of error.
    step: What was being done.
    peer: The process, address, file or object at which the error arose.
    reason: What went wrong, in one sentence.
  """
    code = 'FD000'

    def __init__(self, step: str, peer: str, reason: str):
        super().__init__(f'{self.code} {step}: {reason} (peer {peer})')
        self.step = step
        self.peer = peer
        self.reason = reason


class MessageError(FigdrumError):
    """A message could not be decoded."""
    code = 'FD101'


class VersionError(FigdrumError):
    """A message has a format version that this process does not know."""
    code = 'FD102'


class StoreError(FigdrumError):
    """The platform did not answer; the outcome of a write is unknown."""
    code = 'FD200'


class ConflictError(FigdrumError):
    """A conditional write found another version."""
    code = 'FD201'


class ValueTooLargeError(FigdrumError):
    """A value is larger than the platform holds."""
    code = 'FD202'


class SettingsError(FigdrumError):
    """A settings file has a fault."""
    code = 'FD300'


class ContractError(FigdrumError):
    """A contract or a change to one is not valid."""
    code = 'FD400'


class ApprovalError(FigdrumError):
    """A change may not be approved or rejected by this operator or now."""
    code = 'FD401'


class ChangeRaceError(FigdrumError):
    """Another change came first; the reason names it."""
    code = 'FD402'


class NotReadyError(FigdrumError):
    """A process may not serve yet."""
    code = 'FD500'


class TargetError(FigdrumError):
    """A target failed, refused or did not answer."""
    code = 'FD600'


class TraceError(FigdrumError):
    """A recorded trace cannot be read or does not replay."""
    code = 'FD700'
