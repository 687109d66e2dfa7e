"""One request of a client and its answer, and what takes requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from .heads import Fields


class ResponseChannel(Protocol):
    """The connection that a request came on, as its answer and its move to another process need it."""

    @property
    def unsent(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""

    def reply(
        self, exchange: Exchange, status: int, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Writes the whole answer."""

    def start(
        self, exchange: Exchange, status: int, reason: bytes, fields: Fields, length: int | None
    ) -> None:
        """Begins an answer of `length` bytes, or in chunks where that is None."""

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Writes the next bytes of the answer that was begun."""

    def end(self, exchange: Exchange, complete: bool) -> None:
        """Ends the answer that was begun."""

    def is_movable(self, exchange: Exchange) -> bool:
        """Whether nothing but this request, read whole and not answered, is on the connection."""

    def descriptor(self) -> int:
        """The socket's number."""

    def detach(self) -> None:
        """Lets go of the connection, which goes on elsewhere."""


class Exchange:
    """One request and its answer: either `reply`, or `start`, any number of `send`, and `end`.

    After a whole answer, `reply`, `start`, `send` and `end` do nothing. Times are those of the loop's clock.

    Attributes:
        channel: The connection that it came on.
        method: The method.
        target: The request target.
        path: The target without its query.
        headers: Each name once, in lower case; values of one name are joined.
        fields: The header fields as they came, in order.
        body: The whole body.
        began_at: When its first byte came.
        received_at: When its last byte came.
        keep_alive: Whether the connection may stay open after the answer.
        error: Status and reason of the answer to a request that cannot be handled.
        handler_data: What the handler keeps with the request.
        done: Whether the answer is whole, or nobody waits for it any more.
        predates_http_1_1: Whether its client speaks a version before HTTP/1.1.
        on_drained: Called once all that was sent has been written, where it is set.
    """

    __slots__ = (
        "channel",
        "method",
        "target",
        "path",
        "headers",
        "fields",
        "body",
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
        """A request of which no more is known than these; `received_at` also stands for `began_at`."""
        self.channel, self.method, self.target = channel, method, target
        self.began_at = self.received_at = received_at
        self.path = target.partition(b"?")[0]
        self.headers: dict[bytes, bytes] = {}
        self.fields: Fields = []
        self.body = b""
        self.keep_alive = True
        self.error: tuple[int, str] | None = None
        self.handler_data: Any = None
        self.done = False
        self.predates_http_1_1 = False
        self.on_drained: Callable[[], None] | None = None

    def reply(self, status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Writes the whole answer at once."""
        if not self.done:
            self.done = True
            self.channel.reply(self, status, body, headers)

    def start(self, status: int, reason: bytes, fields: Fields, length: int | None) -> None:
        """Begins an answer of `length` bytes, or in chunks where that is None."""
        if not self.done:
            self.channel.start(self, status, reason, fields, length)

    def send(self, data: bytes) -> None:
        """The next bytes of the answer that was begun."""
        if not self.done:
            self.channel.send(self, data)

    def end(self, complete: bool) -> None:
        """Ends the answer that was begun; the client can tell one that is not complete."""
        if not self.done:
            self.done = True
            self.channel.end(self, complete)

    @property
    def unsent(self) -> int:
        """Bytes of answers on its connection that the kernel has not taken yet."""
        return self.channel.unsent


class Handler(Protocol):
    """Takes the requests of one listener; `name` is its name in counters and logs."""

    name: str

    def on_exchange(self, exchange: Exchange) -> None:
        """A request has come in whole."""

    def on_client_gone(self, exchange: Exchange) -> None:
        """Its client left before the answer."""
