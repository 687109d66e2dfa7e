"""What goes into and comes out of a `Dispatcher`: settings, events and actions. No logic lives here.

Times are seconds on one clock of the caller's choosing. Ids are opaque: they are compared and handed back.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Literal, Protocol

WorkerId = bytes
Effect = Literal["idempotent", "deduplicated", "at_most_once"]  # what a repeat of a job does


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
    """What the worker list says of a worker."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a message of the worker list holds."""

    DELTA = 0  # changed entries only
    FULL = 1  # every worker
    CACHED = 2  # every worker, as last known; perhaps outdated
    FAILED = 3  # a call failed or the subscription broke


@dataclass(slots=True)
class JobClass:
    """One class of jobs; `effect` says what a repeat does."""

    name: str
    aim: float  # full worth up to here ...
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0  # ... and this share of it until the deadline
    stretch: float = 0.0  # the aim grows by this multiple of the job's own work
    effect: Effect = "at_most_once"
    group: str = "all"  # deduplicated: who drops repeats: "all", one "zone" or one "cell"
    window: float = 0.0  # deduplicated: for how long
    kind: int = -1  # the one kind of worker that runs it; -1: any
    priority: int = 0
    stream: bool = False


@dataclass(slots=True)
class Tenant:
    """A customer; `quota` is jobs a second over all dispatchers."""

    name: str
    share: float = 0.0
    quota: float = 0.0


@dataclass(slots=True)
class Settings:
    """Start-up settings of one dispatcher."""

    classes: list[JobClass]
    tenants: list[Tenant] = field(default_factory=list)
    instances: int = 1  # dispatchers that share the fleet
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
    slot_reports: int = -1  # index of "free slots" in load reports; -1: none
    queue_reports: int = -1  # index of "requests waiting"
    fail_reports: int = -1  # index of "errors a second"
    fifo: bool = False  # whether workers start their waiting jobs in order
    price_cross: float = 0.0
    price_fetch: float = 0.0
    price_probe: float = 0.0
    price_waste: float = 0.0
    price_late: float = 0.0
    live_weights: bool = False  # whether a member's size is lowered by the requests that it holds per core
    pull: bool = False  # whether load reports come only with answers to probes
    rank: int = -1  # our number among the dispatchers; -1: not told
    sized: bool = False  # whether a member's size tells what it can do, whatever it holds
    dial_timeout: float = 0.25  # seconds that a connection may take to come up


@dataclass(slots=True)
class Member:
    """One line of the worker list."""

    worker: WorkerId
    presence: int = Presence.READY
    up_since: float = 0.0  # 0: long ago
    kind: int = 0
    zone: int = 0
    cell: int = 0
    size: float = 1.0


@dataclass(slots=True)
class Request:
    """A job that has arrived; one final answer is owed before `give_up_at`."""

    id: int
    give_up_at: float
    job_class: int = 0
    key: int = 0  # 0: none
    tenant: int = 0
    slots: float = 1.0
    memory: float = 0.0
    hint: float = 0.0  # expected work; 0: not known
    repeat: bool = False  # the client has asked before


@dataclass(slots=True)
class Note:
    """A sign of life from an attempt that is still out."""

    request: int
    attempt: int
    worker: WorkerId
    started: bool = True  # False: progress
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
    """What a dispatcher asks its host to do."""

    def send(self, request: int, worker: WorkerId, timeout: float) -> None:
        """Start an attempt; a time-out of 0 lasts until the client gives up."""

    def refuse(self, request: int, retry_after: float) -> None:
        """Final answer: it has not run, a retry is harmless."""

    def fail(self, request: int) -> None:
        """Final answer: no promise about its effect."""

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for an attempt."""

    def timer(self, at: float, token: int) -> None:
        """Call `on_timer(token)` at that time or soon after."""

    def probe(self, worker: WorkerId) -> None:
        """Ask a worker for its load."""

    def subscribe(self) -> None:
        """Ask for the changes to the worker list from now on."""
