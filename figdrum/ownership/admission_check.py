"""The question that the ownership decision asks of admission control."""

import abc

from figdrum.core import ids


class AdmissionCheck(abc.ABC):
    """Decides whether this agent can take one more flow."""

    @abc.abstractmethod
    def can_admit(self, now_ms: int, customer: ids.CustomerId) -> bool:
        """Returns whether a new flow of `customer` may start here now."""


class AdmitAll(AdmissionCheck):
    """Admits every flow; for tests and specifications."""

    def can_admit(self, now_ms: int, customer: ids.CustomerId) -> bool:
        return True
