"""Frames one HTTP/1.1 response that is written in pieces."""

from __future__ import annotations

from .connection import Connection
from .heads import CHUNKED, Fields, response_head

LAST_CHUNK = b"0\r\n\r\n"
BODYLESS_STATUSES = (204, 304)  # their responses end with the head


class ResponseWriter:
    """Writes a response with a length, or in chunks where the length is None.

    The head goes out with the first piece, so that a short response costs one write.

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
        """Builds the head and writes nothing yet.

        Args:
            connection: Where it is written.
            status: The status.
            reason: The reason phrase.
            fields: All fields but those of framing.
            length: Bytes of the body; None if unknown.
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
        """Writes the next bytes of the body; those beyond the length are left out."""
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
            Whether it is whole for the other side; else the connection must be closed.
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
