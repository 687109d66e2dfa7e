"""Parses a worker's responses on one connection: JSON lines about a job, or a load report for a probe."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, Protocol

import httptools

from ...net.connection_outcome import ConnectionOutcome
from .load_report import ReportReader

MAX_RAW = 8192  # raw bytes kept of an unfinished response, so that a hot restart can hand it over
MAX_LINE = 8 * 65536  # bytes per JSON line: a 64 KiB result, with room for JSON escapes
MAX_ANSWER = 4 * MAX_LINE  # bytes per response, with headers and progress; bounds a response that never ends
MAX_REPORT = 4096  # bytes in the body of a probe response
OK = 200
FINAL_STATES = {
    "failed": ConnectionOutcome.FAILED,
    "returned": ConnectionOutcome.TURNED_AWAY,
    "lost": ConnectionOutcome.KILLED,
}  # "done" is handled separately because it carries a result


class AnswerListener(Protocol):
    """Receives start and progress events, called from within the parser."""

    def on_started(self) -> None:
        """Handles the worker's message that it has begun to run the job."""

    def on_progress(self, share: float) -> None:
        """Handles a progress message; `share` is the completed fraction of the job."""


class AnswerReader:
    """Parses consecutive responses on one connection.

    The parser's callbacks only record what they see, because they must not raise.
    """

    def __init__(self, listener: AnswerListener, reports: ReportReader) -> None:
        self._listener, self._reports = listener, reports
        self._job: bytes | None = None  # name of the job whose response is expected
        self._probing = False
        self.busy = False  # a response is still being received, whether or not its attempt has ended
        self.ending: ConnectionOutcome | None = None  # outcome of the attempt, once known
        self.result = b""
        self.report: Sequence[float] = ()
        self.keep_alive = False  # whether the connection stays open after the completed response
        self.raw = bytearray()  # raw bytes of the current response, as long as they fit into MAX_RAW
        self.received_bytes = 0  # length of the current response so far
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)

    def expect(self, job: bytes | None) -> None:
        """Prepares for the response to the named job, or to a probe if `job` is None."""
        self._job, self._probing = job, job is None
        self.busy, self.ending, self.result, self.report = True, None, b"", ()
        self.raw.clear()
        self.received_bytes = 0

    def ignore_rest(self) -> None:
        """Ignores the remainder of the current response."""
        self._job, self._probing = None, False

    def feed(self, data: bytes) -> bool:
        """Parses the next bytes. Returns False if they are not valid HTTP or the response is too long."""
        self.received_bytes += len(data)
        if self.received_bytes > MAX_ANSWER:
            return False
        if self.received_bytes <= MAX_RAW:
            self.raw += data
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        return True

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        self._headers.clear()
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value.strip(b" \t")  # the parser keeps trailing whitespace

    def on_headers_complete(self) -> None:
        load = self._headers.get(b"x-load")
        if load:
            self.report = self._reports.parse_header(load)

    def on_body(self, body: bytes) -> None:
        if self._parser.get_status_code() != OK:
            return
        self._body += body
        if self._probing:
            if len(self._body) > MAX_REPORT:
                self.ending = ConnectionOutcome.GARBLED
            return
        *lines, rest = self._body.split(b"\n")
        self._body = bytearray(rest)
        for line in lines:
            if line.strip() and self.ending is None:
                self._on_line(bytes(line))
        if len(self._body) > MAX_LINE:
            self.ending = ConnectionOutcome.GARBLED

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            return
        self.busy = False
        self.keep_alive = self._parser.should_keep_alive()  # only valid during this callback
        if self._body.strip() and self.ending is None and status == OK and not self._probing:
            self._on_line(bytes(self._body))  # last line without a newline
        if self.ending is None:
            self.ending = self._outcome_for_status(status)

    def _outcome_for_status(self, status: int) -> ConnectionOutcome:
        """Returns the outcome of a complete response that contained no final line."""
        if status != OK:
            never = status in (503, 504) and self._headers.get(b"x-not-run") == b"1"
            return ConnectionOutcome.TURNED_AWAY if never else ConnectionOutcome.FAILED
        if self._probing:
            self.report = self.report or self._reports.parse_body(bytes(self._body))
            is_job_answer = b'"state"' in self._body
            return ConnectionOutcome.STRANGER if is_job_answer else ConnectionOutcome.DONE
        return ConnectionOutcome.CUT_SHORT  # EOF or the last chunk without a final line

    def _on_line(self, line: bytes) -> None:
        if self._job is None:
            return
        try:
            message: Any = json.loads(line)
            state, name = message["state"], message["id"]
        except (ValueError, KeyError, TypeError):
            self.ending = ConnectionOutcome.GARBLED
            return
        if name != self._job.decode("latin-1"):
            # The result of another request must never reach this client.
            self.ending = ConnectionOutcome.STRANGER
            return
        if isinstance(message.get("load"), dict):
            self.report = self._reports.ordered_values(message["load"])
        if state == "started":
            self._listener.on_started()
        elif state == "running":
            share = message.get("share")
            self._listener.on_progress(float(share) if isinstance(share, (int, float)) else 0.0)
        elif state == "done":
            result = message.get("result", "")
            self.result = (result if isinstance(result, str) else json.dumps(result)).encode()
            self.ending = ConnectionOutcome.DONE
        else:
            self.ending = FINAL_STATES.get(state, ConnectionOutcome.GARBLED)
