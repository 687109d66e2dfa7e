"""Requests and their attempts, and what the core expects of fronts and transports."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any, Protocol

from ...net.timers import Deadline
from ..scheduling.interface import Status, WorkerId
from .outcomes import Answer

NEVER_RAN_STATUSES = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)  # ends that prove that no job ran


class JobMessage(Enum):
    """Kinds of message that a worker may send about a running job."""

    DATA = "data"
    WARNING = "warning"
    STATUS = "status"  # done and total, separated by a NUL byte
    EXCEPTION = "exception"


class Reach(IntEnum):
    """Whether a transport can carry a job of a given class to a worker."""

    NO = 0
    WAITS = 1  # reachable, but the job would wait for a slot
    NOW = 2


class Front(Protocol):
    """Accepts requests from clients and returns their answers."""

    name: str

    def answer(self, request: Request, answer: Answer) -> None:
        """Sends the client its only final answer."""

    def news(self, request: Request, kind: JobMessage, data: bytes) -> None:
        """Forwards a message that the worker sent before the job ended."""


class Transport(Protocol):
    """Carries attempts to workers over one protocol."""

    name: str

    def reach(self, worker: WorkerId, job_class: int) -> Reach:
        """Whether jobs of this class can be sent to this worker over this protocol."""

    def send(self, attempt: Attempt) -> None:
        """Starts the attempt; its end is reported to `Core.ended`, possibly before this call returns."""

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        """Stops carrying the attempt and returns its final status; nothing more is reported about it."""

    def probe(self, worker: WorkerId) -> None:
        """Requests a load report; the result is passed to `Core.probed`."""


@dataclass(slots=True, eq=False)
class Request:
    """A request that a front has accepted; `wait` is how long its client will still wait."""

    front: Front
    name: bytes  # request id chosen by the client
    job_class: int
    target: bytes  # path and query
    body: bytes
    wait: float
    key: int = 0
    slots: float = 1.0
    memory: float = 0.0
    hint: float = 0.0
    repeat: bool = False
    tenant: int = 0  # index in the settings' tenant list; the list's length for an unknown tenant
    idempotency_key: bytes = b""  # lets workers recognise a repeat; empty if the client gave none
    unique: bytes = b""  # client's job id, the same on each of its tries; empty for none
    priority: int = 0  # order among jobs that wait at one worker: higher values first
    extra: Any = None  # data private to the front
    id: int = 0
    taken_at: float = 0.0
    give_up_at: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    answer: Answer | None = None
    client_gone: bool = False
    deadline: Deadline | None = None

    def is_closed(self) -> bool:
        """Whether the request has been answered or its client has gone."""
        return self.answer is not None or self.client_gone

    def never_ran(self) -> bool:
        """Whether it is certain that no attempt has run or may still run."""
        return all(a.status in NEVER_RAN_STATUSES for a in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to a worker."""

    request: Request
    index: int
    worker: WorkerId
    transport: Transport
    sent_at: float
    written: bool = False  # the last byte has been written
    ended: bool = False
    status: Status | None = None  # set when the attempt ends
    why: str = ""
    started_at: float = 0.0  # when the worker first reported the start; 0 if it has not
    deadline: Deadline | None = None
    carrier: Any = None  # data private to the transport

    @property
    def started(self) -> bool:
        return self.started_at > 0
