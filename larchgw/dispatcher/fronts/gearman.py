"""The Gearman front: a job server for the dispatcher's clients and for render boxes as workers."""

from __future__ import annotations

import re
import secrets
import socket

import structlog

from ... import __version__
from ...net.connection import Connection
from ...net.connection_outcome import ConnectionOutcome
from ...net.listener import Listener
from ...net.loop import Loop
from ...net.timers import Deadline
from ..core import Answer, AnswerKind, Core, Request
from ..core.requests import JobMessage
from .gearman_jobs import Job, Jobs, full_unique
from .gearman_packets import BadPacket, Packet, PacketReader, Type, encode
from .gearman_workers import GearmanWorkers, Slot

MAX_WORKLOAD = 65536
MESSAGE_TIMEOUT_S = 10.0  # to receive a complete packet
PRIORITY = {
    Type.SUBMIT_JOB: 0,
    Type.SUBMIT_JOB_BG: 0,
    Type.SUBMIT_JOB_HIGH: 1,
    Type.SUBMIT_JOB_HIGH_BG: 1,
    Type.SUBMIT_JOB_LOW: -1,
    Type.SUBMIT_JOB_LOW_BG: -1,
}
BACKGROUND = (Type.SUBMIT_JOB_BG, Type.SUBMIT_JOB_HIGH_BG, Type.SUBMIT_JOB_LOW_BG)
CLIENT_ID = re.compile(rb"[!-~]{1,128}")
UNIQUE = re.compile(rb"[ -~]{0,128}")
FROM_NEWS = {
    JobMessage.DATA: Type.WORK_DATA,
    JobMessage.WARNING: Type.WORK_WARNING,
    JobMessage.STATUS: Type.WORK_STATUS,
}
log = structlog.get_logger()


class GearmanConnection:
    """One connection, which may serve as a client, a worker and an admin connection at the same time."""

    def __init__(self, front: GearmanFront, sock: socket.socket, peer: str) -> None:
        self.front, self.peer = front, peer
        self.number = sock.fileno()
        self.slot = Slot(self)
        self.jobs: list[Job] = []  # jobs that this connection waits for, one entry per submit
        self.wants_exceptions = False
        self._reader = PacketReader()
        self._timer: Deadline | None = None
        self._ended = False
        self.connection = Connection(front.loop, sock, self)

    def idle(self) -> bool:
        """Whether it has no job, task or partial message, so that it can be closed safely."""
        return not self.jobs and self.slot.task is None and not self._reader.partial()

    # As the connection of a slot

    def write(self, data: bytes) -> None:
        self.connection.write(data)

    def written(self) -> bool:
        return not self.connection.unsent

    def disconnect(self) -> None:
        if not self._ended:
            self.connection.close()
            self.on_end(ConnectionOutcome.GIVEN_UP)

    # Callbacks of the connection

    def on_open(self) -> None:
        pass

    def on_written(self) -> None:
        self.front.workers.on_written(self.slot)

    def on_data(self, data: bytes) -> None:
        deadlines = self.front.loop.deadlines
        try:
            for message in self._reader.feed(data):
                if isinstance(message, Packet):
                    self.front.on_packet(self, message)
                else:
                    self.write(self.front.admin(message))
                if self._ended:
                    return
        except BadPacket as bad:
            self._refuse(bad)
            return
        if not self._reader.partial():
            deadlines.cancel(self._timer)
            self._timer = None
        elif self._timer is None:
            self._timer = deadlines.add(self.front.loop.clock.now() + MESSAGE_TIMEOUT_S, self._on_timeout)

    def on_end(self, ending: ConnectionOutcome) -> None:
        if self._ended:
            return
        self._ended = True
        written = self.written()
        self.front.loop.deadlines.cancel(self._timer)
        self.front.links.discard(self)
        self.front.workers.on_end(self.slot, ending, written)
        jobs, self.jobs = self.jobs, []
        for job in jobs:
            self.front.left(job, self)

    def _on_timeout(self) -> None:
        self._refuse(BadPacket("TOO_SLOW", "a packet did not come in whole"))

    def _refuse(self, bad: BadPacket) -> None:
        """Sends the error and closes the connection, because the packet boundaries are no longer known."""
        self.front.core.counters.bad.labels(self.front.name, bad.code.lower()).inc()
        self.write(encode(Type.ERROR, bad.code.encode(), bad.text.encode()))
        self.connection.close_after_write()
        self.on_end(ConnectionOutcome.GARBLED)

    # As a waiter for a job

    def finish(self, job: Job, answer: Answer) -> None:
        self.jobs.remove(job)
        if answer.kind is AnswerKind.SERVED:
            self.write(encode(Type.WORK_COMPLETE, job.handle, answer.result))
            return
        if self.wants_exceptions:
            reason = job.exception or answer.reason.encode()
            if answer.kind is AnswerKind.REFUSED:
                reason += b"; come back in %.3f s" % answer.retry_after
            self.write(encode(Type.WORK_EXCEPTION, job.handle, reason))
        self.write(encode(Type.WORK_FAIL, job.handle))


class GearmanFront:
    """Converts submits to requests of the core, and its answers to WORK_COMPLETE or WORK_FAIL."""

    name = "gearman"

    def __init__(
        self, loop: Loop, core: Core, address: tuple[str, int], cap: int, grab_wait: float, remember: float
    ) -> None:
        self.loop, self.core = loop, core
        self.workers = GearmanWorkers(loop, core, grab_wait)
        self.jobs = Jobs(core.settings, core.clock, core.counters, remember)
        self.links: set[GearmanConnection] = set()
        self.stopping = False
        self._classes = {c.name.encode(): index for index, c in enumerate(core.settings.classes)}
        self.listener = Listener(
            loop, core.counters, self.name, address, cap, self._take, lambda: len(self.links), lambda: False
        )

    def _take(self, sock: socket.socket) -> None:
        try:
            peer = str(sock.getpeername()[0])
        except OSError:
            sock.close()
            return
        self.links.add(GearmanConnection(self, sock, peer))

    def clients(self) -> int:
        """Returns the number of connections that still wait for something."""
        return sum(not link.idle() for link in self.links)

    def close_idle(self) -> None:
        """Closes idle client connections. Those of boxes stay open until the last job has ended."""
        for link in [x for x in self.links if x.idle() and x.slot.box is None]:
            link.connection.close_after_write()
            link.on_end(ConnectionOutcome.STOPPED)

    # Called by connections

    def on_packet(self, link: GearmanConnection, packet: Packet) -> None:
        kind, args = packet.type, packet.args
        if kind in PRIORITY and kind not in BACKGROUND and link.connection.peer_ended:
            return  # the client disconnected right after the submit
        if kind in PRIORITY:
            self._submit(link, kind, *args)
        elif kind is Type.ECHO_REQ:
            link.write(encode(Type.ECHO_RES, *args))
        elif kind is Type.GET_STATUS:
            link.write(encode(Type.STATUS_RES, args[0], *self._status(self.jobs.by_handle.get(args[0]))))
        elif kind is Type.GET_STATUS_UNIQUE:
            job = self.jobs.find(args[0])
            waiters = b"%d" % len(job.waiters) if job else b"0"
            link.write(encode(Type.STATUS_RES_UNIQUE, args[0], *self._status(job), waiters))
        elif kind is Type.OPTION_REQ:
            if args[0] == b"exceptions":
                link.wants_exceptions = True
                link.write(encode(Type.OPTION_RES, args[0]))
            else:
                link.write(encode(Type.ERROR, b"UNKNOWN_OPTION", b"the option 'exceptions' is known here"))
        else:
            if kind is Type.SET_CLIENT_ID and not CLIENT_ID.fullmatch(args[0]):
                raise BadPacket("INVALID_ARGUMENTS", "a client id is 1 to 128 visible characters")
            if kind is Type.CAN_DO_TIMEOUT and not args[1].isdigit():
                raise BadPacket("INVALID_ARGUMENTS", "a time limit is a whole number of seconds")
            self.workers.on_packet(link.slot, packet)

    def _submit(
        self, link: GearmanConnection, kind: Type, function: bytes, unique: bytes, body: bytes
    ) -> None:
        job_class = self._classes.get(function)
        if len(body) > MAX_WORKLOAD:
            raise BadPacket("WORKLOAD_TOO_LARGE", "a workload holds 64 KiB at most")
        if not UNIQUE.fullmatch(unique):
            raise BadPacket("INVALID_ARGUMENTS", "a unique is up to 128 printable characters")
        if job_class is None:
            self.core.counters.bad.labels(self.name, "unknown_function").inc()
            link.write(encode(Type.ERROR, b"UNKNOWN_FUNCTION", b"no job class has this name"))
            return
        if self.stopping:
            link.write(encode(Type.ERROR, b"SHUTTING_DOWN", b"this job server is about to end"))
            return
        background, unique = kind in BACKGROUND, full_unique(unique, body)
        ended = self.jobs.ended(job_class, unique)
        job = self.jobs.alive(job_class, unique)
        joins = job is not None
        if ended is None and job is None and self.jobs.full(job_class, unique):
            ended = (
                b"H:larchgw:0",
                Answer(AnswerKind.REFUSED, retry_after=1.0, reason="no room to remember its end"),
            )
        if ended is not None:
            handle, answer = ended
            link.write(encode(Type.JOB_CREATED, handle))
            if not background:
                past = Job(handle, unique, job_class, False)
                link.jobs.append(past)
                link.finish(past, answer)
            return
        job = job or self.jobs.create(job_class, unique, background)
        job.background = job.background or background
        link.write(encode(Type.JOB_CREATED, job.handle))
        if not background:
            job.waiters.append(link)
            link.jobs.append(job)
        if joins or self.jobs.elsewhere(job_class, unique):
            return
        job.request = Request(
            self,
            secrets.token_hex(8).encode(),
            job_class,
            b"/" + function,
            body,
            self.core.settings.classes[job_class].deadline,
            unique=unique,
            priority=PRIORITY[kind],
            extra=job,
        )
        self.core.submit(job.request)

    def left(self, job: Job, link: GearmanConnection) -> None:
        """Handles that a client has left a job; cancels the job if nobody else waits for it."""
        job.waiters.remove(link)
        request = job.request
        if job.waiters or job.background or request is None or request.is_closed():
            return
        self.core.client_gone(request)
        never = request.never_ran()
        self.jobs.end(
            job,
            Answer(
                AnswerKind.REFUSED if never else AnswerKind.FAILED,
                reason="its client left, and it may have run",
            ),
        )

    def _status(self, job: Job | None) -> tuple[bytes, ...]:
        if job is None:
            return b"0", b"0", b"0", b"0"
        return b"1", b"1" if job.running() else b"0", *job.status

    # Called by the core

    def answer(self, request: Request, answer: Answer) -> None:
        job: Job = request.extra
        self.jobs.end(job, answer)
        waiters, job.waiters = job.waiters, []
        for waiter in waiters:
            waiter.finish(job, answer)

    def news(self, request: Request, kind: JobMessage, data: bytes) -> None:
        job: Job = request.extra
        if kind is JobMessage.EXCEPTION:
            job.exception = data  # sent with the final answer, as another attempt may still succeed
            return
        if kind is JobMessage.STATUS:
            done, _, total = data.partition(b"\0")
            job.status = (done, total)
        for waiter in list(job.waiters):
            waiter.write(encode(FROM_NEWS[kind], job.handle, data))

    # Admin commands

    def admin(self, line: bytes) -> bytes:
        command = line.split()[:1]
        if command == [b"version"]:
            return f"OK {__version__}\n".encode()
        if command == [b"status"]:
            return b"".join(self._function_lines()) + b".\n"
        if command == [b"workers"]:
            return (
                b"".join(
                    b"%d %b %b : %b\n"
                    % (
                        link.number,
                        link.peer.encode(),
                        link.slot.client_id or b"-",
                        b" ".join(sorted(link.slot.abilities)),
                    )
                    for link in sorted(self.links, key=lambda x: x.number)
                )
                + b".\n"
            )
        return b"ERR UNKNOWN_COMMAND Unknown+server+command\n"

    def _function_lines(self) -> list[bytes]:
        """Returns a line per function: its name, open jobs, running jobs, and connections that can run it."""
        requests = self.core.receive.open.values()
        lines = []
        for function, number in self._classes.items():
            mine = [r for r in requests if r.job_class == number and not r.is_closed()]
            running = sum(any(a.started and not a.ended for a in r.attempts) for r in mine)
            able = sum(function in link.slot.abilities for link in self.links)
            lines.append(b"%b\t%d\t%d\t%d\n" % (function, len(mine), running, able))
        return lines
