"""One TCP stream of control messages.

Explanation
===========

Messages are msgpack arrays, one after the other. Bytes that are not msgpack end
the stream, as nothing after them can be decoded. An array that is no known
message is counted and skipped, so that another release can add messages. While
the peer does not read, messages to it are dropped; later digests make up for
them.
"""

import typing

import msgpack
from twisted.internet import interfaces
from twisted.internet import protocol
from zope import interface

from figdrum.core import errors
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.object_api import store

# A message can hold one object of the platform and some other fields.
MAX_MESSAGE_BYTES = store.MAX_VALUE_BYTES + 65_536

# Limits the number of objects that a message of that size can decode to.
_MAX_ITEMS = 65_536


class StreamOwner(typing.Protocol):
    """Receives the events of a stream."""

    def on_opened(self, stream: 'ControlStream') -> None:
        """Called when the stream is connected."""

    def on_message(self, stream: 'ControlStream',
                   message: codec.Message) -> None:
        """Called for each message."""

    def on_closed(self, stream: 'ControlStream') -> None:
        """Called once when the stream has ended."""

    def count_error(self, name: str) -> None:
        """Called with the name of a metric for each error."""


@interface.implementer(interfaces.IPushProducer)
class ControlStream(protocol.Protocol):
    """Decodes a stream's messages and writes messages to it."""

    def __init__(self, owner: StreamOwner):
        self._owner = owner
        self._unpacker = msgpack.Unpacker(use_list=False,
                                          max_buffer_size=MAX_MESSAGE_BYTES,
                                          max_array_len=_MAX_ITEMS,
                                          max_map_len=_MAX_ITEMS)
        self._is_paused = False
        self._is_closed = False
        self._unread_bytes = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, True)
        self._owner.on_opened(self)

    def connectionLost(self,
                       reason: typing.Any = protocol.connectionDone) -> None:
        self._is_closed = True
        self.transport.unregisterProducer()
        self._owner.on_closed(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            self._unpacker.feed(data)
            for obj in self._unpacker:
                if self._is_closed:
                    return
                self._on_object(obj)
        except (ValueError, msgpack.UnpackException, msgpack.BufferFull,
                RecursionError):
            self._owner.count_error('balancer.bad_control_stream')
            self.close()

    def send(self, message: control.Message) -> bool:
        """Writes `message`; returns False if the peer does not read."""
        if self._is_paused or self._is_closed:
            self._owner.count_error('balancer.control_not_sent')
            return False
        self.transport.write(codec.encode(message))
        return True

    def send_in_order(self, message: control.Message) -> None:
        """Writes `message`, or closes the stream if the peer is too slow."""
        if self._is_closed:
            return
        data = codec.encode(message)
        if self._is_paused:
            self._unread_bytes += len(data)
        if self._unread_bytes > MAX_MESSAGE_BYTES:
            self._owner.count_error('balancer.slow_subscriber')
            self.close()
            return
        self.transport.write(data)

    def close(self) -> None:
        """Closes the stream at once."""
        self._is_closed = True
        self.transport.abortConnection()

    # The names of twisted's IPushProducer.
    # pylint: disable=invalid-name

    def pauseProducing(self) -> None:
        """Drops messages until the peer reads again."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Writes messages again."""
        self._is_paused = False
        self._unread_bytes = 0

    def stopProducing(self) -> None:
        """Drops all further messages."""
        self._is_paused = True

    def _on_object(self, obj: typing.Any) -> None:
        try:
            message = codec.from_object(obj)
        except errors.MessageError:
            self._owner.count_error('balancer.bad_control_message')
            return
        except errors.VersionError:
            self._owner.count_error('balancer.control_message_of_other_version')
            return
        self._owner.on_message(self, message)
