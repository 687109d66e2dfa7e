"""Reads what a worker answers on one connection: lines of JSON about a job, or a report to a probe."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, Protocol

import httptools

from ...net.connection_outcome import ConnectionOutcome
from .load_report import ReportReader

MAX_RAW = 8192  # bytes of an answer that has not ended, kept as they came
MAX_LINE = 8 * 65536  # of a runner's answer: a result of 64 KiB, escaped as JSON may be
MAX_ANSWER = 4 * MAX_LINE  # of all that it says, with heads and signs of life: one without an end is cut off
MAX_REPORT = 4096  # of the body that answers a probe
OK = 200
LAST_STATES = {
    "failed": ConnectionOutcome.FAILED,
    "returned": ConnectionOutcome.TURNED_AWAY,
    "lost": ConnectionOutcome.KILLED,
}  # and "done"


class AnswerOwner(Protocol):
    """Is told of signs of life, from within the parser."""

    def on_started(self) -> None:
        """The worker has begun to run the job."""

    def on_progress(self, share: float) -> None:
        """So much of the job is done."""


class AnswerReader:
    """One answer after another. The parser's callbacks only note what they see: they must not raise."""

    def __init__(self, owner: AnswerOwner, reports: ReportReader) -> None:
        self._owner, self._reports = owner, reports
        self._job: bytes | None = None  # the name of the one whose answer is awaited
        self._probing = False
        self.busy = False  # an answer is still coming in, whether or not its attempt has ended
        self.ending: ConnectionOutcome | None = None  # how the attempt ended, once that is known
        self.result = b""
        self.report: Sequence[float] = ()
        self.keep = False  # whether the connection stays open behind the answer that is over
        self.raw = bytearray()  # the present answer as it came, while that is no more than MAX_RAW
        self.came = 0  # bytes of it
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)

    def expect(self, job: bytes | None) -> None:
        """The next bytes answer the job of this name, or a probe if it is None."""
        self._job, self._probing = job, job is None
        self.busy, self.ending, self.result, self.report = True, None, b"", ()
        self.raw.clear()
        self.came = 0

    def disregard(self) -> None:
        """What is still to come means nothing any more."""
        self._job, self._probing = None, False

    def feed(self, data: bytes) -> bool:
        """The next bytes. Returns whether they are of the protocol, and not too many."""
        self.came += len(data)
        if self.came > MAX_ANSWER:
            return False
        if self.came <= MAX_RAW:
            self.raw += data
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        return True

    # From the parser

    def on_message_begin(self) -> None:
        self._headers.clear()
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value.strip(b" \t")  # the parser leaves what stands behind a value

    def on_headers_complete(self) -> None:
        load = self._headers.get(b"x-load")
        if load:
            self.report = self._reports.in_header(load)

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
                self._line(bytes(line))
        if len(self._body) > MAX_LINE:
            self.ending = ConnectionOutcome.GARBLED

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            return
        self.busy = False
        self.keep = self._parser.should_keep_alive()  # the parser forgets it after this call
        if self._body.strip() and self.ending is None and status == OK and not self._probing:
            self._line(bytes(self._body))  # a last line without its end
        if self.ending is None:
            self.ending = self._ending_of(status)

    def _ending_of(self, status: int) -> ConnectionOutcome:
        """How an answer with this status ended that has said nothing of that before its end."""
        if status != OK:
            never = status in (503, 504) and self._headers.get(b"x-not-run") == b"1"
            return ConnectionOutcome.TURNED_AWAY if never else ConnectionOutcome.FAILED
        if self._probing:
            self.report = self.report or self._reports.in_body(bytes(self._body))
            of_a_job = b'"state"' in self._body
            return ConnectionOutcome.STRANGER if of_a_job else ConnectionOutcome.DONE
        return ConnectionOutcome.CUT_SHORT  # EOF, or a last chunk, without a last line is no answer

    def _line(self, line: bytes) -> None:
        if self._job is None:
            return
        try:
            said: Any = json.loads(line)
            state, name = said["state"], said["id"]
        except (ValueError, KeyError, TypeError):
            self.ending = ConnectionOutcome.GARBLED
            return
        if name != self._job.decode("latin-1"):
            # A result of another request must never reach this client.
            self.ending = ConnectionOutcome.STRANGER
            return
        if isinstance(said.get("load"), dict):
            self.report = self._reports.figures(said["load"])
        if state == "started":
            self._owner.on_started()
        elif state == "running":
            share = said.get("share")
            self._owner.on_progress(float(share) if isinstance(share, (int, float)) else 0.0)
        elif state == "done":
            result = said.get("result", "")
            self.result = (result if isinstance(result, str) else json.dumps(result)).encode()
            self.ending = ConnectionOutcome.DONE
        else:
            self.ending = LAST_STATES.get(state, ConnectionOutcome.GARBLED)
