"""Simulated runners that do whatever the protocol lets a runner do, in any order.

A runner may reject a request before it has its body, run it as soon as it has its head, run it after its
connection has closed, and send any answer again. It never runs what it has rejected.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from .ledger import Ledger
from .transport import SimulatedSocket

HEAD_END = b"\r\n\r\n"
REJECTIONS = ("503 Full", "429 Full", "421 Not Held")
READ_BYTES = (1, 40, 400, 100_000)  # that a runner reads at once
FOREIGN = b"nobody"


class Progress(Enum):
    """How far a runner is with a request."""

    HELD = auto()
    RUNNING = auto()
    STREAMING = auto()
    ANSWERED = auto()


@dataclass(slots=True)
class HeldRequest:
    """A request of which a runner has at least the head.

    Attributes:
        name: Its `X-Attempt-Id`.
        target: The runner that it is meant for.
        missing: Bytes of its body that have not been read.
        is_stream: Whether it is answered by a stream of events.
        events: How many events were sent.
    """

    name: bytes
    target: str
    missing: int
    is_stream: bool
    progress: Progress = Progress.HELD
    events: int = 0


class RunnerSide:
    """A runner's end of one connection: one request at a time."""

    def __init__(self, sock: SimulatedSocket, runner: str, random: Random, ledger: Ledger) -> None:
        """Accepts the connection for the incarnation `runner`."""
        self.sock, self._runner, self._random, self._ledger = sock, runner, random, ledger
        self._received = bytearray()
        self._request: HeldRequest | None = None
        self._sent = b""  # the last whole answer
        self._is_over = False  # it has closed or reset the connection, or its process has ended

    def step(self) -> None:
        """Does one thing that a runner may do now."""
        if self._is_over:
            return
        self._read()
        request = self._request
        if request is None:
            self._idle_step()
        elif request.progress is Progress.HELD:
            self._decide(request)
        elif request.progress is Progress.RUNNING:
            self._answer(request)
        elif request.progress is Progress.STREAMING:
            self._continue_stream(request)
        elif not request.missing:
            self._request = None

    def run_what_is_held(self) -> None:
        """Reads everything that the kernel has and runs what was not rejected: the end of a run."""
        while not self._is_over and (self.sock.in_transit or self._request is not None):
            self._read(whole=True)
            request = self._request
            if request is None:
                return
            if request.progress is Progress.HELD and request.target == self._runner:
                self._ledger.ran(request.name, self._runner)
            self._request = None
            del self._received[: request.missing]

    def break_off(self) -> None:
        """Closes or resets the connection: the process ends, or breaks off."""
        self._is_over = True
        if self._random.random() < 0.5:
            self.sock.reset(keeps_answer=self._random.random() < 0.5)
        else:
            self.sock.peer_closed = True

    # Reading

    def _read(self, whole: bool = False) -> None:
        size = len(self.sock.in_transit) if whole else self._random.choice(READ_BYTES)
        self._received += self.sock.in_transit[:size]
        del self.sock.in_transit[:size]
        if self._request is None and HEAD_END in self._received:
            self._request = self._parse()
            if self._sent and self._random.random() < 0.3:
                self._say(self._sent)  # late, where the next answer is expected
        if self._request is not None:
            taken = min(self._request.missing, len(self._received))
            self._request.missing -= taken
            del self._received[:taken]

    def _parse(self) -> HeldRequest:
        head, _, rest = bytes(self._received).partition(HEAD_END)
        self._received = bytearray(rest)
        line, *fields = head.split(b"\r\n")
        headers = {name.lower(): value for name, _, value in (field.partition(b": ") for field in fields)}
        name = headers[b"x-attempt-id"]
        self._ledger.note(name, f"reaches {self._runner}")
        return HeldRequest(
            name,
            headers[b"x-target-runner"].decode(),
            int(headers.get(b"content-length", b"0")),
            b"/stream/" in line,
        )

    # Answering

    def _decide(self, request: HeldRequest) -> None:
        choice = self._random.random()
        if request.target != self._runner:
            self._reject(request, "421 Other Runner")
        elif choice < 0.35:
            self._reject(request, self._random.choice(REJECTIONS))
        elif choice < 0.8:
            request.progress = Progress.RUNNING
            self._ledger.ran(request.name, self._runner)
        elif choice < 0.9:
            self.break_off()

    def _reject(self, request: HeldRequest, status: str) -> None:
        self._ledger.note(request.name, f"{self._runner} rejects it: {status}")
        self._ledger.rejections += 1
        self._send(request, _whole(status, request.name, b"full", b"X-Not-Run: 1\r\n"))

    def _answer(self, request: HeldRequest) -> None:
        choice = self._random.random()
        if choice < 0.1:
            self.break_off()
        elif choice < 0.2:
            self._send(request, _whole("503 Failed", request.name, b"failed"))
        elif choice < 0.3:
            self._send(request, _whole("500 Failed", request.name, b"failed", b"X-Server-Seal: s\r\n"))
        elif choice < 0.4:
            self._say(_whole("200 OK", FOREIGN, b"another's", b"X-Server-Seal: s\r\n"))
        elif request.is_stream:
            request.progress = Progress.STREAMING
            self._say(_stream_head(request.name))
        else:
            body = request.name + b" ran"
            self._send(request, _whole("200 OK", request.name, body, b"X-Server-Seal: s\r\n"))

    def _continue_stream(self, request: HeldRequest) -> None:
        if self._random.random() < 0.1:
            self.break_off()
        elif request.events and self._random.random() < 0.4:
            self._say(b"0\r\n\r\n")
            request.progress = Progress.ANSWERED
        else:
            request.events += 1
            event = b"id: %d\ndata: %b\n\n" % (request.events, request.name)
            self._say(b"%x\r\n%b\r\n" % (len(event), event))

    def _idle_step(self) -> None:
        """A late second copy of the last answer, an end of the idle connection, or nothing."""
        choice = self._random.random()
        if choice < 0.1 and self._sent:
            self._say(self._sent)
        elif choice < 0.12:
            self.break_off()

    def _send(self, request: HeldRequest, answer: bytes) -> None:
        """Sends a whole answer, and perhaps a copy of the one before or of this one."""
        if self._sent and self._random.random() < 0.2:
            self._say(self._sent)
        self._say(answer)
        if self._random.random() < 0.1:
            self._say(answer)
        self._sent = answer
        request.progress = Progress.ANSWERED

    def _say(self, data: bytes) -> None:
        if not self.sock.error:
            self.sock.to_edge += data


def _whole(status: str, name: bytes, body: bytes, fields: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status.encode(),
        name,
        fields,
        len(body),
        body,
    )


def _stream_head(name: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" % name
    )
