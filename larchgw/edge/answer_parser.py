"""Parses the response to one request from the bytes of a runner's connection."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import httptools

from ..net.heads import Fields
from .request_head import ATTEMPT_ID


@dataclass(slots=True)
class AnswerHead:
    """The head of a runner's response.

    Attributes:
        status: The status code.
        reason: The reason phrase, as sent.
        fields: Header fields as sent, in order.
        headers: The same fields by lower-case name; the last one of each name.
        length: The body length in bytes; None if the head does not declare it.
    """

    status: int = 0
    reason: bytes = b""
    fields: Fields = field(default_factory=list)
    headers: dict[bytes, bytes] = field(default_factory=dict)
    length: int | None = None

    @property
    def is_framed(self) -> bool:
        """Whether the response marks its own end; otherwise it ends when the connection is closed."""
        return self.length is not None or b"transfer-encoding" in self.headers


class AnswerParser:
    """Finds the response with the request's `X-Attempt-Id` in the bytes received on its connection.

    Interim responses (1xx) and responses to other requests are skipped. The `on_*` methods are httptools
    callbacks. They only record what was received, since they must not raise.

    Attributes:
        head: The head of the response, or of the one being read.
        has_head: Whether the head of this request's response is complete.
        is_complete: Whether this request's response is complete.
        keep_alive: Whether the runner keeps the connection open after the response.
        has_surplus: Whether bytes were received after the response.
        foreign_ids: The `X-Attempt-Id` of each response to another request that was received.
    """

    def __init__(self, attempt_id: bytes, head_only: bool) -> None:
        """Creates a parser that has received nothing yet.

        Args:
            attempt_id: The request's `X-Attempt-Id`, which the response repeats.
            head_only: Whether the response has no body (to a HEAD request).
        """
        self._attempt_id, self._head_only = attempt_id, head_only
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self.head = AnswerHead()
        self.has_head = self.is_complete = self.keep_alive = False
        self.has_surplus = False
        self.foreign_ids: list[bytes] = []

    def feed(self, data: bytes) -> bool:
        """Parses received bytes. Returns False if they are not part of a valid response."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.has_surplus = True
            return self.is_complete  # after a complete response they are only surplus
        return True

    def complete_by_close(self) -> None:
        """Completes a response that is delimited by the close of its connection."""
        self.is_complete, self.keep_alive = True, False

    def take_body(self) -> bytes:
        """Returns the body bytes received since the last call."""
        if not self._body:
            return b""
        body, self._body = b"".join(self._body), []
        return body

    def keep_alive_s(self) -> float | None:
        """Returns the idle time-out that the runner advertised, in seconds; None without one."""
        return keep_alive_timeout_s(self.head.headers)

    def on_message_begin(self) -> None:
        """Starts a new response."""
        if self.is_complete:
            self.has_surplus = True
        else:
            self.head = AnswerHead()

    def on_status(self, reason: bytes) -> None:
        """Appends a part of the reason phrase."""
        if not self.is_complete:
            self.head.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header field."""
        if self.is_complete:
            return
        value = value.strip(b" \t")
        self.head.fields.append((name, value))
        self.head.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Evaluates the complete head."""
        if self.is_complete:
            return
        head = self.head
        head.status = self._parser.get_status_code()
        length = head.headers.get(b"content-length", b"")
        is_chunked = b"transfer-encoding" in head.headers
        head.length = int(length) if length.isdigit() and not is_chunked else None
        self.keep_alive = self._parser.should_keep_alive()
        if head.status >= 200 and head.headers.get(ATTEMPT_ID) == self._attempt_id:
            self.has_head = True
            if self._head_only:
                # The parser would wait for a body that is never sent.
                self.is_complete, self.keep_alive = True, False

    def on_body(self, data: bytes) -> None:
        """Stores body bytes of this request's response."""
        if self.has_head and not self.is_complete:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Marks the response complete, or as one to another request."""
        if self.has_head:
            self.is_complete = True
        elif self.head.status >= 200:
            # The right one may follow.
            self.foreign_ids.append(self.head.headers.get(ATTEMPT_ID, b""))


def keep_alive_timeout_s(headers: Mapping[bytes, bytes]) -> float | None:
    """Returns the `timeout` parameter of the `Keep-Alive` field, in seconds; None without one."""
    for item in headers.get(b"keep-alive", b"").split(b","):
        name, _, value = item.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None
