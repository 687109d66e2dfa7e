"""Types and calls between the edge, which carries requests, and this package, which decides where they go.

Everything here is pure: time is seconds on a monotonic clock and comes in as an argument, randomness is a
seeded generator. The edge calls, for each request: `Selection.choose` until it gives Send, then
`Selection.sent`, then what it observes of that attempt, and exactly one `Selection.ended` for each `sent`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from ..configuration.model import Route
from ..runner_directory.runner_record import RunnerRecord

ModelKey = tuple[str, str, str]
"""Service, model and adapter: what runners hold and requests ask for. Model and adapter may be empty."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share, in the prompt's order."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """What decisions need to know of a request.

    Attributes:
        number: This dispatcher's own number of the request.
        route: The route that it came by.
        service: The service that serves it.
        arrived_at: When it came, in seconds of the monotonic clock, as the other times.
        deadline_at: When its client gives up or the route's deadline ends, whichever comes first.
        target_at: The latency target: until then an answer (a stream's first event) earns its full value.
        model: Empty where the route names no models.
        adapter: Empty for the model itself.
        prompt_tokens: Length of the prompt.
        output_tokens: Most tokens that it may generate.
        parts: The prompt's parts, in order.
    """

    number: int
    route: Route
    service: str
    arrived_at: float
    deadline_at: float
    target_at: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def key(self) -> ModelKey:
        """What a runner must hold to serve the request."""
        return (self.service, self.model, self.adapter)


class AttemptOutcome(Enum):
    """How one attempt at a runner ended."""

    DONE = auto()  # the runner's own answer came whole, whatever its status below 500
    RUNNER_ERROR = auto()  # the runner's own 5xx without X-Not-Run: counts as run
    FULL = auto()  # X-Not-Run with 503 or 429: never ran
    NOT_HELD = auto()  # 421: never ran; it lacks the model or adapter, or is another runner
    CONNECT_FAILED = auto()  # no byte was sent: never ran
    UNSENT = auto()  # withdrawn before a byte was sent: never ran
    RESET = auto()  # broken off before the answer's head: may have run
    CUT = auto()  # broken off after the head: has run
    GARBLED = auto()  # bytes that form no answer to this request: may have run
    SILENT = auto()  # nothing in the time given to it: may have run, may run still
    CANCELLED = auto()  # given up by the client or by us: may have run

    @property
    def never_ran(self) -> bool:
        """Whether it is certain that the runner did not run it and never will."""
        return self in (
            AttemptOutcome.FULL,
            AttemptOutcome.NOT_HELD,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.UNSENT,
        )


@dataclass(frozen=True, slots=True)
class Send:
    """Send it to this runner now. `priority` is the `Priority` header (0 first, 9 last)."""

    runner: RunnerRecord
    priority: int = 5


@dataclass(frozen=True, slots=True)
class Wait:
    """Ask again at `until` (monotonic), or earlier when runners, placement or pending requests change."""

    until: float
    reason: str  # for logs and counters: "loading", "no_holder", "holders_full", ...


@dataclass(frozen=True, slots=True)
class Reject:
    """It cannot be served in time: answer 503 with Retry-After.

    Attributes:
        retry_after: Seconds.
        reason: For logs and counters.
        awaits_load: Whether its client is to come back once a load has ended, so that it goes on counting
            as one that waits for the load.
    """

    retry_after: float
    reason: str
    awaits_load: bool = False


Choice = Send | Wait | Reject


@dataclass(frozen=True, slots=True)
class Attempt:
    """One send of a request to a runner."""

    request: RequestTraits
    runner: str
    number: int  # 0 for the first send of this request
    sent_at: float


class Selection(Protocol):
    """What the edge asks; `selection.Selector` is the implementation."""

    def choose(
        self,
        now: float,
        request: RequestTraits,
        runners: Mapping[str, RunnerRecord],
        tried: Sequence[str],
        expected: Mapping[str, float],
    ) -> Choice:
        """Decides where the request goes.

        Args:
            now: Seconds of the monotonic clock.
            request: The request.
            runners: The runners of its service by id, in any stage.
            tried: Runners that it was sent to already.
            expected: Runner id -> when an ordered load of its model is expected to be done there.
        """

    def sent(self, attempt: Attempt) -> None:
        """The attempt is on its way; it counts as pending."""

    def first_byte_received(self, now: float, attempt: Attempt) -> None:
        """The first byte of the answer (a stream: its first event) has come."""

    def ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """The attempt is over; it is pending no more."""

    def observe_load(self, now: float, runner: str, running: int, waiting: int, slots: int) -> None:
        """An `X-Runner-Load` header has come."""

    def pending(self, service: str) -> int:
        """Requests of this dispatcher at runners of the service."""


class Budget(Protocol):
    """This dispatcher's share of the retry budget; `retry_budget.RetryBudget` is the implementation."""

    def record_request(self, now: float, service: str) -> None:
        """A client's request for the service has come."""

    def may_retry(self, now: float, service: str, dispatchers: int) -> bool:
        """Whether one more retry keeps every window's bound, among so many dispatchers."""

    def record_retry(self, now: float, service: str) -> None:
        """A retry was sent."""
