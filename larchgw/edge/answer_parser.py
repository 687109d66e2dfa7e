"""Reads the answer to one request from the bytes of a runner's connection."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import httptools

from ..net.heads import Fields
from .request_head import ATTEMPT_ID


@dataclass(slots=True)
class AnswerHead:
    """The head of a runner's answer.

    Attributes:
        status: The status code.
        reason: The reason phrase, as sent.
        fields: Header fields as sent, in order.
        headers: The same by name in lower case; of fields with one name the last.
        length: Bytes of the body; None where the head does not name them.
    """

    status: int = 0
    reason: bytes = b""
    fields: Fields = field(default_factory=list)
    headers: dict[bytes, bytes] = field(default_factory=dict)
    length: int | None = None

    @property
    def is_framed(self) -> bool:
        """Whether the answer marks its own end; else it ends with its connection."""
        return self.length is not None or b"transfer-encoding" in self.headers


class AnswerParser:
    """Finds the answer with one request's `X-Attempt-Id` among what comes on its connection.

    Interim answers (1xx) and answers to other requests are skipped. The methods `on_*` are httptools'
    callbacks: they only record what comes, since they must not raise.

    Attributes:
        head: The head of the answer, or of the one that is being read.
        has_head: The head of this request's answer is complete.
        is_complete: This request's answer is complete.
        keep_alive: The runner keeps the connection open behind the answer.
        has_surplus: Bytes came behind the answer.
        has_foreign_answer: An answer to another request came.
    """

    def __init__(self, attempt_id: bytes, head_only: bool) -> None:
        """Begins before the first byte.

        Args:
            attempt_id: The request's `X-Attempt-Id`, which its answer repeats.
            head_only: The answer has no body (to a HEAD request).
        """
        self._attempt_id, self._head_only = attempt_id, head_only
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self.head = AnswerHead()
        self.has_head = self.is_complete = self.keep_alive = False
        self.has_surplus = self.has_foreign_answer = False

    def feed(self, data: bytes) -> bool:
        """Takes bytes of the connection. Returns False where they are no part of an answer."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.has_surplus = True
            return self.is_complete  # behind a complete answer they are surplus only
        return True

    def complete_by_close(self) -> None:
        """The connection was closed in order behind an answer that ends so."""
        self.is_complete, self.keep_alive = True, False

    def take_body(self) -> bytes:
        """Returns the bytes of the body that came since the last call."""
        if not self._body:
            return b""
        body, self._body = b"".join(self._body), []
        return body

    def keep_alive_s(self) -> float | None:
        """Returns after how many seconds the runner closes idle connections; None where it does not say."""
        return keep_alive_timeout_s(self.head.headers)

    def on_message_begin(self) -> None:
        """An answer begins."""
        if self.is_complete:
            self.has_surplus = True
        else:
            self.head = AnswerHead()

    def on_status(self, reason: bytes) -> None:
        """A part of its reason phrase came."""
        if not self.is_complete:
            self.head.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """One field of its head came."""
        if self.is_complete:
            return
        value = value.strip(b" \t")
        self.head.fields.append((name, value))
        self.head.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Its head is complete."""
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
                self.is_complete, self.keep_alive = (
                    True,
                    False,
                )  # the parser waits for a body that never comes

    def on_body(self, data: bytes) -> None:
        """Bytes of its body came."""
        if self.has_head and not self.is_complete:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """It is complete."""
        if self.has_head:
            self.is_complete = True
        elif self.head.status >= 200:
            self.has_foreign_answer = True  # ours may come behind it


def keep_alive_timeout_s(headers: Mapping[bytes, bytes]) -> float | None:
    """Returns the `timeout` of a `Keep-Alive` field, in seconds; None without one."""
    for item in headers.get(b"keep-alive", b"").split(b","):
        name, _, value = item.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None
