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

    `headers` holds each name once, in lower case; `fields` is what came. `on_drained` is called once all that
    was sent has been written, where it is set. `began` is when its first byte came, `arrived` its last one.
    """

    __slots__ = (
        "channel",
        "method",
        "target",
        "path",
        "headers",
        "fields",
        "body",
        "began",
        "arrived",
        "keep_alive",
        "error",
        "extra",
        "done",
        "predates_http_1_1",
        "on_drained",
    )

    def __init__(
        self, channel: ResponseChannel, arrived: float, method: bytes = b"", target: bytes = b""
    ) -> None:
        self.channel, self.method, self.target = channel, method, target
        self.began = self.arrived = arrived
        self.path = target.partition(b"?")[0]
        self.headers: dict[bytes, bytes] = {}
        self.fields: Fields = []
        self.body = b""
        self.keep_alive = True
        self.error: tuple[int, str] | None = None
        self.extra: Any = None
        self.done = False
        self.predates_http_1_1 = False  # whether its client speaks a version before HTTP/1.1
        self.on_drained: Callable[[], None] | None = None

    def reply(self, status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> None:
        """The whole answer at once. After an answer, as below, nothing happens."""
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
        """Ends the answer that was begun; one that is not complete is seen as such by the client."""
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
