"""Base class and subclasses of all errors, with error codes.

Explanation
===========

Every error has a stable code, the step that failed and the peer at which it
occurred. docs/operators/errors.md explains the codes to operators.

Examples
========

>>> exc = ConflictError('put', 'platform', 'changes/7 exists')
>>> str(exc)
'FD201 put: changes/7 exists (peer platform)'
"""


class FigdrumError(Exception):
    """Base of all errors that figdrum raises.

  Attributes:
    code: Stable code of the error class.
    step: The operation that failed.
    peer: The process, address, file or object at which the error occurred.
    reason: Description of the error, in one sentence.
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
    """A message has a format version that this process does not support."""
    code = 'FD102'


class StoreError(FigdrumError):
    """The platform did not answer; the outcome of a write is unknown."""
    code = 'FD200'


class ConflictError(FigdrumError):
    """A conditional write found another version."""
    code = 'FD201'


class ValueTooLargeError(FigdrumError):
    """A value is larger than the platform accepts."""
    code = 'FD202'


class SettingsError(FigdrumError):
    """A settings file is not valid."""
    code = 'FD300'


class ContractError(FigdrumError):
    """A contract or a change to one is not valid."""
    code = 'FD400'


class ApprovalError(FigdrumError):
    """A change cannot be approved or rejected by this operator or now."""
    code = 'FD401'


class ChangeRaceError(FigdrumError):
    """Another change was made first; the reason names it."""
    code = 'FD402'


class NotReadyError(FigdrumError):
    """A process is not ready to serve yet."""
    code = 'FD500'


class TargetError(FigdrumError):
    """A target failed, refused or did not answer."""
    code = 'FD600'


class TraceError(FigdrumError):
    """A recorded trace cannot be read or does not replay."""
    code = 'FD700'
