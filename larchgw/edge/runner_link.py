"""One connection to a runner, which carries one request at a time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from ..net.connection import Connection, connect
from ..net.connection_outcome import ConnectionOutcome
from ..net.heads import Fields
from ..net.loop import WORKERS, EventLoop
from ..net.timers import Deadline
from ..routing.interface import AttemptOutcome
from . import stale_connection
from .request_head import ATTEMPT_ID

CONNECT_S = 0.3  # for a connection to come up
BODYLESS = (204, 304)


@dataclass(slots=True)
class AnswerHead:
    """The head of a runner's answer. `length` is None where the body has no length told."""

    status: int = 0
    reason: bytes = b""
    fields: Fields = field(default_factory=list)
    headers: dict[bytes, bytes] = field(default_factory=dict)
    length: int | None = None

    @property
    def framed(self) -> bool:
        """Whether the answer tells its own end; else it ends with its connection."""
        return self.length is not None or b"transfer-encoding" in self.headers


class Carried(Protocol):
    """The request that a connection carries. Exactly one of `on_answer_end` and `on_lost` ends it."""

    name: bytes  # its X-Attempt-Id

    def request(self) -> bytes | None:
        """Its bytes, asked for once a connection is up; None if it is not to be sent any more."""

    def on_answer(self, head: AnswerHead) -> None:
        """The head of its answer has come."""

    def on_body(self, data: bytes) -> None:
        """Bytes of the body have come."""

    def on_answer_end(self) -> None:
        """The answer is whole."""

    def on_lost(self, outcome: AttemptOutcome) -> None:
        """There will be no (more) answer."""


class LinkOwner(Protocol):
    """The pool that a connection belongs to."""

    loop: EventLoop

    def released(self, link: RunnerLink, keep_s: float | None) -> None:
        """It is free for the next request; `keep_s` is what the runner told in Keep-Alive."""

    def closed(self, link: RunnerLink) -> None:
        """It is over."""

    def died(self, link: RunnerLink) -> None:
        """It had been kept, and was dead when it was used again, or was closed while it stood idle."""


class RunnerLink:
    """Parses answers. The parser's callbacks only note what they see: they must not raise."""

    def __init__(self, owner: LinkOwner, address: tuple[str, int]) -> None:
        self.owner, self.address = owner, address
        self.idle_since = 0.0
        self.idle_for = 0.0  # seconds that it had stood idle before its present request
        self.kept = False  # whether it has carried a request before its present one
        self._carried: Carried | None = None
        self._length = 0  # bytes of the request that were handed to the connection
        self._head_only = False
        self._heard = False  # whether a byte has come since the request was sent
        self._strangers = False  # whether an answer to another request came
        self._timer: Deadline | None = None
        self._look: Deadline | None = None  # while a long request is carried
        self._parser = httptools.HttpResponseParser(self)
        self._coming = AnswerHead()
        self._head_told = self._has_head = self._whole = self._keep = self._surplus = False
        self._body: list[bytes] = []
        self.connection: Connection | ConnectionOutcome = connect(owner.loop, address, self, WORKERS)
        if isinstance(self.connection, Connection):
            stale_connection.watch_by_kernel(self.connection.sock)
            self.connection.reads_to_end = False  # each event would cost a second call
            self._timer = owner.loop.deadlines.add(owner.loop.clock.now() + CONNECT_S, self._never_up)

    @property
    def idle(self) -> bool:
        """Whether it carries nothing."""
        return self._carried is None

    @property
    def connecting(self) -> bool:
        """Whether it is not up yet."""
        return isinstance(self.connection, Connection) and self.connection.connecting

    def begin(self, carried: Carried, head_only: bool) -> None:
        """Sends the request, once the connection is up. `head_only`: the answer has no body (HEAD)."""
        self._carried, self._head_only = carried, head_only
        self._heard = self._strangers = False
        self._length = 0
        self._reset_answer()
        self._parser = httptools.HttpResponseParser(self)
        if not self.connecting:
            self._write(carried)

    def cancel(self) -> AttemptOutcome:
        """Gives the request up by closing the connection. Returns whether it may have run."""
        carried, self._carried = self._carried, None
        sent = self._sent()
        self.close()
        return AttemptOutcome.CANCELLED if sent and carried is not None else AttemptOutcome.UNSENT

    def pause(self, paused: bool) -> None:
        """Reads no more of the answer for a while."""
        if isinstance(self.connection, Connection):
            self.connection.pause(paused)

    def close(self) -> None:
        """Closes it; nobody is told but the owner."""
        self.owner.loop.deadlines.drop(self._timer)
        self.owner.loop.deadlines.drop(self._look)
        if isinstance(self.connection, Connection):
            self.connection.close()
        self.owner.closed(self)

    def withdraw_unsent(self) -> bool:
        """Where nothing has been sent yet: gives it up as never run, and returns True."""
        if self._carried is None or not self.connecting:
            return False
        self._lose(AttemptOutcome.UNSENT)
        return True

    # From the connection

    def on_open(self) -> None:
        """It is up: its request goes out, if it still may."""
        self.owner.loop.deadlines.drop(self._timer)
        self._timer = None
        if self._carried is not None:
            self._write(self._carried)

    def on_data(self, data: bytes) -> None:
        """Bytes of an answer, or surplus ones."""
        if self._carried is None:
            self.owner.died(self)
            self.close()
            return
        self._heard = True
        garbled = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            garbled = not self._whole  # behind a whole answer: surplus
            self._surplus = True
        self._tell(garbled)

    def on_written(self) -> None:
        """All of the request is with the kernel."""

    def on_end(self, ending: ConnectionOutcome) -> None:
        """It broke, was closed or never came up."""
        if self._carried is None:
            self.owner.died(self)
            self.close()
        elif not self._sent():
            self._lose(AttemptOutcome.CONNECT_FAILED)
        elif ending is ConnectionOutcome.CLOSED and self._has_head and not self._coming.framed:
            self._whole, self._keep = True, False
            self._tell(garbled=False)
        else:
            if self.kept and not self._heard:
                self.owner.died(self)
            self._lose(AttemptOutcome.CUT if self._head_told else AttemptOutcome.RESET)

    # From the parser

    def on_message_begin(self) -> None:
        """An answer begins."""
        if self._whole:
            self._surplus = True
        else:
            self._coming = AnswerHead()

    def on_status(self, reason: bytes) -> None:
        """The reason of its status."""
        if not self._whole:
            self._coming.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """One field of its head."""
        if self._whole:
            return
        value = value.strip(b" \t")
        self._coming.fields.append((name, value))
        self._coming.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Its head is whole."""
        if self._whole:
            return
        coming = self._coming
        coming.status = self._parser.get_status_code()
        length = coming.headers.get(b"content-length", b"")
        chunked = b"transfer-encoding" in coming.headers
        coming.length = int(length) if length.isdigit() and not chunked else None
        self._keep = self._parser.should_keep_alive()
        if coming.status >= 200 and self._is_ours():
            self._has_head = True
            if self._head_only:
                self._whole, self._keep = True, False  # the parser waits for a body that never comes

    def on_body(self, data: bytes) -> None:
        """Bytes of its body."""
        if self._has_head and not self._whole:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """It is whole."""
        if self._has_head:
            self._whole = True
        elif self._coming.status >= 200:
            self._strangers = True  # an answer to another request: ours may come behind it

    # Inside

    def _is_ours(self) -> bool:
        return self._carried is not None and self._coming.headers.get(ATTEMPT_ID) == self._carried.name

    def _sent(self) -> bool:
        """Whether any of the request is with the kernel: a runner may run it before a long body's end."""
        return isinstance(self.connection, Connection) and self.connection.unsent < self._length

    def _write(self, carried: Carried) -> None:
        request = carried.request()
        if request is None:
            self._lose(AttemptOutcome.UNSENT)
            return
        assert isinstance(self.connection, Connection)
        self._length = len(request)
        self.connection.max_unsent = max(self.connection.max_unsent, len(request))
        if len(request) > stale_connection.LONG_REQUEST_BYTES:
            stale_connection.watch_by_looks(self.connection.sock)
            self._look_later()
        self.connection.write(request)

    def _look_later(self) -> None:
        now = self.owner.loop.clock.now()
        self._look = self.owner.loop.deadlines.add(now + stale_connection.LOOK_S, self._look_for_death)

    def _look_for_death(self) -> None:
        """Until a long request is delivered: its runner may read slowly, but its machine must answer."""
        self._look = None
        assert isinstance(self.connection, Connection)
        if stale_connection.is_dead(self.connection.sock):
            self._lose(AttemptOutcome.CUT if self._head_told else AttemptOutcome.RESET)
        elif self._is_delivered():
            self._watch_by_kernel()
        else:
            self._look_later()

    def _watch_by_kernel(self) -> None:
        """The ways of a long request end, if this was one."""
        if self._length > stale_connection.LONG_REQUEST_BYTES and isinstance(self.connection, Connection):
            self.owner.loop.deadlines.drop(self._look)
            self._look = None
            stale_connection.watch_by_kernel(self.connection.sock)

    def _is_delivered(self) -> bool:
        """Whether the runner's machine has all of the request. What it lacks may be read much later."""
        connection = self.connection
        if not isinstance(connection, Connection) or connection.unsent:
            return False
        return self._length <= stale_connection.LONG_REQUEST_BYTES or not stale_connection.undelivered(
            connection.sock
        )

    def _tell(self, garbled: bool) -> None:
        """Hands on what the parser has noted."""
        carried = self._carried
        if carried is None:
            return
        if self._has_head and not self._head_told:
            self._head_told = True
            carried.on_answer(self._coming)
        if self._body and self._carried is carried:
            body, self._body = b"".join(self._body), []
            carried.on_body(body)
        if self._carried is not carried:  # given up meanwhile
            return
        if self._whole:
            self._finish(carried)
        elif garbled:
            self._lose(AttemptOutcome.GARBLED)

    def _finish(self, carried: Carried) -> None:
        self._carried = None
        connection = self.connection
        usable = isinstance(connection, Connection) and not connection.closed and not connection.over
        if usable and self._keep and not self._surplus and not self._strangers and self._is_delivered():
            self._watch_by_kernel()
            self.pause(False)  # the client reads slowly, but the next request may be another client's
            self.idle_since = self.owner.loop.clock.now()
            self.owner.released(self, _keep_alive_s(self._coming.headers))
        else:
            self.close()
        carried.on_answer_end()

    def _lose(self, outcome: AttemptOutcome) -> None:
        carried, self._carried = self._carried, None
        self.close()
        if carried is not None:
            carried.on_lost(outcome)

    def _never_up(self) -> None:
        self._timer = None
        self._lose(AttemptOutcome.CONNECT_FAILED)

    def _reset_answer(self) -> None:
        self._coming, self._body = AnswerHead(), []
        self._head_told = self._has_head = self._whole = self._keep = self._surplus = False


def _keep_alive_s(headers: Mapping[bytes, bytes]) -> float | None:
    for item in headers.get(b"keep-alive", b"").split(b","):
        name, _, value = item.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None
