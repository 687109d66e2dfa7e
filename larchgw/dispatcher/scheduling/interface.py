"""Inputs and outputs of a `Dispatcher`: settings, events and actions. Contains no logic.

Times are seconds on a single clock chosen by the caller. Ids are opaque: only compared and passed back.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Literal, Protocol

WorkerId = bytes
Effect = Literal["idempotent", "deduplicated", "at_most_once"]  # Effect of running a job again.


class Status(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1  # may have run
    FULL = 2  # never ran
    TIMEOUT = 3  # may have run, may still be running
    CONNECT_FAILED = 4  # never ran
    RESET = 5  # may have run
    CANCELLED = 6  # may have run
    MOOT = 7  # never ran: it was not sent


class Presence(IntEnum):
    """State of a worker in the worker list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """Kind of a worker list message."""

    DELTA = 0  # changed entries only
    FULL = 1  # every worker
    CACHED = 2  # every worker, as last known; perhaps outdated
    FAILED = 3  # a call failed or the subscription broke


@dataclass(slots=True)
class JobClass:
    """One class of jobs; `effect` states what running a job again does."""

    name: str
    aim: float  # Seconds within which an answer has its full worth.
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0  # Share of the worth for an answer between aim and deadline.
    stretch: float = 0.0  # Multiple of the job's own work that is added to the aim.
    effect: Effect = "at_most_once"
    group: str = "all"  # Only for "deduplicated": who drops repeats: "all", one "zone" or one "cell".
    window: float = 0.0  # Only for "deduplicated": seconds for which repeats are dropped.
    kind: int = -1  # Worker kind that can run it; -1: any.
    priority: int = 0
    stream: bool = False


@dataclass(slots=True)
class Tenant:
    """A customer; `quota` is in jobs per second across all dispatchers."""

    name: str
    share: float = 0.0
    quota: float = 0.0


@dataclass(slots=True)
class Settings:
    """Start-up settings of one dispatcher."""

    classes: list[JobClass]
    tenants: list[Tenant] = field(default_factory=list)
    instances: int = 1  # Number of dispatchers that share the fleet.
    zone: int = 0
    zones: int = 1
    kinds: int = 1
    tick: float = 0.005
    max_attempts: int = 4
    second_copies: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    must_subscribe: bool = False
    list_patience: float = 10.0
    max_retry_after: float = 0.0
    drain_grace: float = 0.0
    cold_from: float = 1.0
    warm_up: float = 0.0
    tip_multiple: float = 1.0
    tip_span: float = 1.0
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    tells_start: bool = False
    progress: float = 0.0
    slot_reports: int = -1  # Index of "free slots" in load reports; -1: none.
    queue_reports: int = -1  # Index of "requests waiting"; -1: none.
    fail_reports: int = -1  # Index of "errors a second"; -1: none.
    fifo: bool = False  # Whether workers start queued jobs in order of arrival.
    price_cross: float = 0.0
    price_fetch: float = 0.0
    price_probe: float = 0.0
    price_waste: float = 0.0
    price_late: float = 0.0
    live_weights: bool = False  # Whether a member's size decreases with the requests it holds per core.
    pull: bool = False  # Whether load reports come only in probe responses.
    rank: int = -1  # Index of this dispatcher among all; -1: unknown.
    sized: bool = False  # Whether a member's size is its capacity, independent of its load.
    dial_timeout: float = 0.25  # Connect timeout in seconds.


@dataclass(slots=True)
class Member:
    """One entry of the worker list."""

    worker: WorkerId
    presence: int = Presence.READY
    up_since: float = 0.0  # 0: long ago.
    kind: int = 0
    zone: int = 0
    cell: int = 0
    size: float = 1.0


@dataclass(slots=True)
class Request:
    """An incoming job; it must get exactly one final answer before `give_up_at`."""

    id: int
    give_up_at: float
    job_class: int = 0
    key: int = 0  # 0: none.
    tenant: int = 0
    slots: float = 1.0
    memory: float = 0.0
    hint: float = 0.0  # Expected work; 0: unknown.
    repeat: bool = False  # Whether the client has sent this request before.


@dataclass(slots=True)
class Note:
    """A start or progress message from an attempt in flight."""

    request: int
    attempt: int
    worker: WorkerId
    started: bool = True  # False: a progress message.
    share: float = 0.0


@dataclass(slots=True)
class Outcome:
    """How one attempt ended. `closed`: the request has its final answer."""

    request: int
    attempt: int
    worker: WorkerId
    status: int
    closed: bool = False
    latency: float = 0.0
    report: Sequence[float] = ()


class Actions(Protocol):
    """Operations that a dispatcher requests from its host."""

    def send(self, request: int, worker: WorkerId, timeout: float) -> None:
        """Start an attempt; with a timeout of 0, it lasts until the client gives up."""

    def refuse(self, request: int, retry_after: float) -> None:
        """Send a refusal as the final answer: the job has not run, and a retry is harmless."""

    def fail(self, request: int) -> None:
        """Send the final answer that the job failed and may or may not have taken effect."""

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for an attempt."""

    def timer(self, at: float, token: int) -> None:
        """Call `on_timer` with this token at that time or soon after."""

    def probe(self, worker: WorkerId) -> None:
        """Request a load report from a worker."""

    def subscribe(self) -> None:
        """Subscribe to changes of the worker list."""
