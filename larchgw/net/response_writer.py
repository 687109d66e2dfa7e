"""Frames one answer of HTTP/1.1 that is written in pieces."""

from __future__ import annotations

from .connection import Connection
from .heads import CHUNKED, Fields, response_head

LAST_CHUNK = b"0\r\n\r\n"
BODYLESS = (204, 304)  # statuses whose answers end with the head


class ResponseWriter:
    """Writes an answer with a length, or in chunks where the length is None.

    The head goes out with the first piece, so that a short answer costs one write.
    """

    def __init__(
        self,
        connection: Connection,
        status: int,
        reason: bytes,
        fields: Fields,
        length: int | None,
        head_only: bool = False,
    ) -> None:
        self._connection = connection
        self._bodyless = head_only or status in BODYLESS
        self._chunked = length is None and not self._bodyless
        self._left = length or 0
        if self._chunked:
            framing = [CHUNKED]
        elif length is None or status == 204:
            framing = []
        else:
            framing = [(b"Content-Length", b"%d" % length)]
        self._head = response_head(status, reason, [*fields, *framing])

    def send(self, data: bytes) -> None:
        """The next bytes of the body; more than the length that was told are left out."""
        if self._bodyless or not data:
            return
        if not self._chunked:
            data = data[: self._left]
            self._left -= len(data)
            self._write(data)
        else:
            self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self, complete: bool) -> bool:
        """Ends it. Returns whether the other side sees a whole answer; else its connection must be closed."""
        whole = complete and (self._bodyless or self._left == 0)
        if whole and self._chunked:
            self._write(LAST_CHUNK)
        elif self._head:
            self._write(b"")
        return whole

    def _write(self, data: bytes) -> None:
        head, self._head = self._head, b""
        self._connection.write(head + data)
