"""Framing of an HTTP/1.1 response that is written in pieces."""

from __future__ import annotations

from .connection import Connection
from .heads import CHUNKED, Fields, response_head

LAST_CHUNK = b"0\r\n\r\n"
BODYLESS_STATUSES = (204, 304)  # responses without a body


class ResponseWriter:
    """Writes a response with a length, or a chunked one if the length is None.

    The head is sent with the first piece, so that a short response needs one write.

    Source: RFC 9112, section 6 (message body).
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
        """Builds the head without writing it.

        Args:
            connection: The connection to write to.
            status: The status code.
            reason: The reason phrase.
            fields: All fields except for framing.
            length: The body length in bytes; None if unknown.
            head_only: Whether the request was a HEAD.
        """
        self._connection = connection
        self._bodyless = head_only or status in BODYLESS_STATUSES
        self._chunked = length is None and not self._bodyless
        self._left_bytes = length or 0
        if self._chunked:
            framing = [CHUNKED]
        elif length is None or status == 204:
            framing = []
        else:
            framing = [(b"Content-Length", b"%d" % length)]
        self._head = response_head(status, reason, [*fields, *framing])

    def send(self, data: bytes) -> None:
        """Writes the next bytes of the body; bytes beyond the length are dropped."""
        if self._bodyless or not data:
            return
        if not self._chunked:
            data = data[: self._left_bytes]
            self._left_bytes -= len(data)
            self._write(data)
        else:
            self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self, complete: bool) -> bool:
        """Ends the response.

        Returns:
            Whether the client can see that the response is complete; if not, close the connection.
        """
        is_whole = complete and (self._bodyless or self._left_bytes == 0)
        if is_whole and self._chunked:
            self._write(LAST_CHUNK)
        elif self._head:
            self._write(b"")
        return is_whole

    def _write(self, data: bytes) -> None:
        head, self._head = self._head, b""
        self._connection.write(head + data)
