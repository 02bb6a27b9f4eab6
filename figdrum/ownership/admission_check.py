"""Interface by which the ownership decision consults admission control."""

import abc

from figdrum.core import ids


class AdmissionCheck(abc.ABC):
    """Tells whether this agent can admit one more flow."""

    @abc.abstractmethod
    def can_admit(self, now_ms: int, customer: ids.CustomerId) -> bool:
        """Returns whether a new flow of `customer` may start here now."""


class AdmitAll(AdmissionCheck):
    """Admits every flow; for tests and specifications."""

    def can_admit(self, now_ms: int, customer: ids.CustomerId) -> bool:
        return True
