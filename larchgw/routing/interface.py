"""Types and calls between the edge, which forwards requests, and this package, which selects their runners.

The package does no I/O. Times are seconds on a monotonic clock and are passed as arguments; random numbers
come from a seeded generator. For each request the edge calls `Selection.choose` until it returns Send, then
`Selection.sent`, then the methods for what it observes of that attempt. Each `Selection.sent` is followed by
exactly one `Selection.ended`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from ..configuration.model import Route
from ..runner_directory.runner_record import RunnerRecord

ModelKey = tuple[str, str, str]
"""Service, model and adapter: what a runner has loaded or a request needs. Model and adapter may be empty."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, such as a system prompt, that other requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """The properties of a request that routing decisions depend on.

    Attributes:
        number: Sequence number of the request in this dispatcher.
        route: The route that the request matched.
        service: The service that serves it.
        arrived_at: Time of arrival. All times are in seconds on the monotonic clock.
        deadline_at: The earlier of the client's time-out and the route's deadline.
        target_at: Time by which the response (for a stream, its first event) must start to meet the latency
            target.
        model: Empty if the route has no models.
        adapter: Empty if the request is for the model itself.
        prompt_tokens: Length of the prompt.
        output_tokens: Maximum number of tokens to generate.
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
        """Service, model and adapter that a runner must have loaded to serve the request."""
        return (self.service, self.model, self.adapter)


class AttemptOutcome(Enum):
    """How one attempt at a runner ended.

    The member names in lower case are label values of the attempt counter.
    """

    DONE = auto()  # a complete response with a status below 500
    RUNNER_ERROR = auto()  # a 5xx response without X-Not-Run: counts as run
    FULL = auto()  # 503 or 429 with X-Not-Run: did not run
    NOT_HELD = auto()  # 421: did not run; the model or adapter is missing, or it is another runner
    CONNECT_FAILED = auto()  # no connection, so no byte was sent: did not run
    UNSENT = auto()  # cancelled before a byte was sent: did not run
    RESET = auto()  # connection lost before the response headers: may have run
    CUT = auto()  # connection lost after the response headers: has run
    GARBLED = auto()  # malformed response: may have run
    SILENT = auto()  # timed out without a byte: may have run or be running
    CANCELLED = auto()  # cancelled by the client or by this process: may have run

    @property
    def never_ran(self) -> bool:
        """Whether the runner is known not to have run the request, and will not run it later."""
        return self in (
            AttemptOutcome.FULL,
            AttemptOutcome.NOT_HELD,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.UNSENT,
        )


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to this runner now.

    Attributes:
        runner: The selected runner.
        priority: Value of the `Priority` header, from 0 (most urgent) to 9.
    """

    runner: RunnerRecord
    priority: int = 5


@dataclass(frozen=True, slots=True)
class Wait:
    """Keep the request; call `choose` again at `until`, or earlier if runners, placement or load change."""

    until: float
    reason: str  # for logs and counters, for example "loading", "no_holder" or "holders_full"


@dataclass(frozen=True, slots=True)
class Reject:
    """The request cannot be served in time: respond with 503 and Retry-After.

    Attributes:
        retry_after: Value of the Retry-After header, in seconds.
        reason: For logs and counters.
        awaits_load: Whether the client is asked to retry after a load has completed. The request then still
            counts as waiting for that load.
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
    """Runner selection as the edge uses it, implemented by `selection.Selector`."""

    def choose(
        self,
        now: float,
        request: RequestTraits,
        runners: Mapping[str, RunnerRecord],
        tried: Sequence[str],
        expected: Mapping[str, float],
    ) -> Choice:
        """Selects a runner for the request, or has it wait or rejects it.

        Args:
            now: Current time.
            request: The request.
            runners: All runners of its service by id, in any stage.
            tried: Ids of runners that the request was sent to before.
            expected: Runner id -> time at which an ordered load of its model is expected to complete.
        """

    def sent(self, attempt: Attempt) -> None:
        """Records that the attempt was sent; it counts as pending until `ended`."""

    def first_byte_received(self, now: float, attempt: Attempt) -> None:
        """Records the first byte of the response, or the first event of a stream."""

    def ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Records the outcome of the attempt, which is no longer pending."""

    def observe_load(self, now: float, runner: str, running: int, waiting: int, slots: int) -> None:
        """Records the values of an `X-Runner-Load` header."""

    def pending(self, service: str) -> int:
        """Returns the number of this dispatcher's pending requests at runners of the service."""


class Budget(Protocol):
    """This dispatcher's share of the retry budget; `retry_budget.RetryBudget` is the implementation."""

    def record_request(self, now: float, service: str) -> None:
        """Records a client's request for the service."""

    def may_retry(self, now: float, service: str, dispatchers: int) -> bool:
        """Returns whether one more retry is within the budget, which `dispatchers` dispatchers share."""

    def record_retry(self, now: float, service: str) -> None:
        """Records that a retry was sent."""
