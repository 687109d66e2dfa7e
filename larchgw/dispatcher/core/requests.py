"""Requests and their attempts, and what the core expects of fronts and transports."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any, Protocol

from ...net.timers import Deadline
from ..scheduling.interface import Status, WorkerId
from .outcomes import Answer

NEVER_RAN_STATUSES = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)  # these say that the attempt never ran


class JobMessage(Enum):
    """What a box may say of a job while it runs."""

    DATA = "data"
    WARNING = "warning"
    STATUS = "status"  # done and total, divided by a NUL
    EXCEPTION = "exception"


class Reach(IntEnum):
    """Whether a transport can carry a job of some class to a box."""

    NO = 0
    WAITS = 1  # it can, but the job would wait for a slot
    NOW = 2


class Front(Protocol):
    """Hands requests in and carries their answers out."""

    name: str

    def answer(self, request: Request, answer: Answer) -> None:
        """Gives the client its one final answer."""

    def news(self, request: Request, kind: JobMessage, data: bytes) -> None:
        """Passes on what the box says before the end."""


class Transport(Protocol):
    """Carries attempts to boxes over one protocol."""

    name: str

    def reach(self, worker: WorkerId, job_class: int) -> Reach:
        """Whether jobs of this class can go to this box over this protocol."""

    def send(self, attempt: Attempt) -> None:
        """Starts the attempt; its end comes as `Core.ended`, perhaps at once."""

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        """Closes what carries the attempt and says how it ended; nothing more is heard of it."""

    def probe(self, worker: WorkerId) -> None:
        """Asks for a load report; the answer comes as `Core.probed`."""


@dataclass(slots=True, eq=False)
class Request:
    """A request that a front has taken; `wait` is how long its client still waits."""

    front: Front
    name: bytes  # the id its client gave it
    job_class: int
    target: bytes  # path and query
    body: bytes
    wait: float
    key: int = 0
    slots: float = 1.0
    memory: float = 0.0
    hint: float = 0.0
    repeat: bool = False
    tenant: int = 0  # index in the settings' list; its length for one that is not in it
    idempotency_key: bytes = (
        b""  # the key by which boxes know a repeat of it; empty where its client gave none
    )
    unique: bytes = b""  # what its client calls the job on each of its tries; empty for none
    priority: int = 0  # among jobs that wait at one box; higher goes first
    extra: Any = None  # the front's own
    id: int = 0
    taken_at: float = 0.0
    give_up_at: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    answer: Answer | None = None
    client_gone: bool = False
    deadline: Deadline | None = None

    def is_closed(self) -> bool:
        """Whether nothing is owed any more."""
        return self.answer is not None or self.client_gone

    def never_ran(self) -> bool:
        """Whether it is proved that no attempt has run, or may still."""
        return all(a.status in NEVER_RAN_STATUSES for a in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to a box."""

    request: Request
    index: int
    worker: WorkerId
    transport: Transport
    sent_at: float
    written: bool = False  # whole
    ended: bool = False
    status: Status | None = None  # once it has ended
    why: str = ""
    started_at: float = 0.0  # when its box first said that it had started; 0: it has not
    deadline: Deadline | None = None
    carrier: Any = None  # the transport's own

    @property
    def started(self) -> bool:
        return self.started_at > 0
