"""Tells when a target has all of a request.

Explanation
===========

The agent does not read what a flow carries. A client fills its packets, so one
with less data than a packet can hold ends a request. The target has the request
once the agent has forwarded that packet and all bytes before it. A request that
ends with a full packet is taken to be in transit until its answer.

Examples
========

The packet in the middle overtakes the first one:

>>> transfer = RequestTransfer(1)
>>> [transfer.record(seq, length) for seq, length in ((1201, 1200), (1, 1200))]
[False, False]
>>> transfer.record(2401, 100)
True
"""

from figdrum.flows import segment


class RequestTransfer:
    """The bytes that the client of a flow has sent to its target."""
    __slots__ = ('_next', '_early', '_is_complete')

    def __init__(self, first: int):
        """Starts at the number of the first byte of the client."""
        self._next = first
        # Length of each packet after a gap, by the number of its first byte.
        self._early: dict[int, int] = {}
        self._is_complete = False

    def record(self, seq: int, length: int) -> bool:
        """Records a packet; returns whether the target has all of the request.

        Args:
          seq: Number of the first byte of data.
          length: Length of the data in bytes; not 0.
        """
        if segment.follows(self._next, seq):
            if len(self._early) < segment.PACKETS_IN_FLIGHT:
                self._early[seq] = length
            return self._is_complete
        self._append(seq, length)
        while self._next in self._early:
            self._append(self._next, self._early.pop(self._next))
        return self._is_complete

    def _append(self, seq: int, length: int) -> None:
        end = (seq + length) % segment.SEQUENCE_MODULUS
        if segment.follows(self._next, end):
            self._next = end
            self._is_complete = length < segment.MAX_DATA_BYTES
