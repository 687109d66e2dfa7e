"""An HTTP request with its response, and the interfaces of request handlers and response channels."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from .heads import Fields


class ResponseChannel(Protocol):
    """The connection of a request, for writing the response and for moving it to another process."""

    @property
    def unsent(self) -> int:
        """The number of output bytes that the kernel has not accepted yet."""

    def reply(
        self, exchange: Exchange, status: int, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Writes a complete response."""

    def start(
        self, exchange: Exchange, status: int, reason: bytes, fields: Fields, length: int | None
    ) -> None:
        """Starts a response of `length` bytes, or a chunked one if that is None."""

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Writes the next bytes of the response body."""

    def end(self, exchange: Exchange, complete: bool) -> None:
        """Ends the response."""

    def is_movable(self, exchange: Exchange) -> bool:
        """Whether the connection holds only this request, complete and without a response."""

    def descriptor(self) -> int:
        """Returns the file descriptor of the socket."""

    def detach(self) -> None:
        """Closes this process's copy of the connection, which continues in another process."""


class Exchange:
    """A request and its response: either `reply`, or `start`, any number of `send`, and `end`.

    Once the response is complete, these methods do nothing. Times are those of the loop's clock.

    Attributes:
        channel: The connection of the request.
        method: The HTTP method.
        target: The request target.
        path: The target without the query.
        headers: The header values by lower-case name; values of the same name are joined.
        fields: The header fields as received, in order.
        body: The complete body.
        reserved_bytes: What is reserved for the body in the listener's BodyMemory.
        began_at: When the first byte was received.
        received_at: When the last byte was received.
        keep_alive: Whether the connection may stay open after the response.
        error: Status and reason of the response to an invalid request.
        handler_data: What the handler keeps with the request.
        done: Whether the response is complete, or the client has gone.
        predates_http_1_1: Whether the request has another version than HTTP/1.1.
        on_drained: If set, called once all output has been written.
    """

    __slots__ = (
        "channel",
        "method",
        "target",
        "path",
        "headers",
        "fields",
        "body",
        "reserved_bytes",
        "began_at",
        "received_at",
        "keep_alive",
        "error",
        "handler_data",
        "done",
        "predates_http_1_1",
        "on_drained",
    )

    def __init__(
        self, channel: ResponseChannel, received_at: float, method: bytes = b"", target: bytes = b""
    ) -> None:
        """Creates a request; `received_at` is also the initial `began_at`."""
        self.channel, self.method, self.target = channel, method, target
        self.began_at = self.received_at = received_at
        self.path = target.partition(b"?")[0]
        self.headers: dict[bytes, bytes] = {}
        self.fields: Fields = []
        self.body = b""
        self.reserved_bytes = 0
        self.keep_alive = True
        self.error: tuple[int, str] | None = None
        self.handler_data: Any = None
        self.done = False
        self.predates_http_1_1 = False
        self.on_drained: Callable[[], None] | None = None

    def reply(self, status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Writes a complete response."""
        if not self.done:
            self.done = True
            self.channel.reply(self, status, body, headers)

    def start(self, status: int, reason: bytes, fields: Fields, length: int | None) -> None:
        """Starts a response of `length` bytes, or a chunked one if that is None."""
        if not self.done:
            self.channel.start(self, status, reason, fields, length)

    def send(self, data: bytes) -> None:
        """Writes the next bytes of the response body."""
        if not self.done:
            self.channel.send(self, data)

    def end(self, complete: bool) -> None:
        """Ends the response; the client can detect one that is not complete."""
        if not self.done:
            self.done = True
            self.channel.end(self, complete)

    @property
    def unsent(self) -> int:
        """The number of output bytes on the connection that the kernel has not accepted yet."""
        return self.channel.unsent


class Handler(Protocol):
    """Handles the requests of one listener; `name` is its name in counters and logs."""

    name: str

    def on_exchange(self, exchange: Exchange) -> None:
        """Called with each complete request."""

    def on_client_gone(self, exchange: Exchange) -> None:
        """Called when the client disconnected before the response was complete."""
