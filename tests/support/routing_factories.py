"""Records, requests and attempts for tests of `larchgw.routing`."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from random import Random

from larchgw.configuration.model import Configuration, Model, Route, Runtime, Service
from larchgw.identifiers import RunnerId
from larchgw.routing.interface import Attempt, AttemptOutcome, Choice, PromptPart, RequestTraits, Send
from larchgw.routing.selection import Selector
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage

SERVICE = "models"
CONFIGURATION = Configuration(
    1,
    services=(
        Service(
            SERVICE,
            runtime=Runtime(
                slots=16, cache_tokens=100_000.0, models=(Model("m", load_s=1.0), Model("n", load_s=1.0))
            ),
        ),
        Service("plain"),
    ),
)


def runner(
    id: str,
    models: str = "m",
    stage: Stage = Stage.READY,
    zone: str = "here",
    slots: int = 16,
    calls: int = 1,
    cold_ms: float = 0.0,
    service: str = SERVICE,
) -> RunnerRecord:
    """A runner that holds these models, one letter each, with adapter a1."""
    held = tuple(HeldModel(name, 1, ("a1",)) for name in models)
    return RunnerRecord(
        RunnerId(id),
        service,
        f"{id}:1",
        zone,
        stage,
        slots,
        warm_up_left_ms=cold_ms,
        call_count=calls,
        models=held,
    )


def parts(*sizes: int, name: str = "p") -> tuple[PromptPart, ...]:
    """Parts of a prompt with these numbers of tokens."""
    return tuple(PromptPart(f"{name}{index}", tokens) for index, tokens in enumerate(sizes))


@dataclass
class World:
    """A selector, its runners, its clock and its requests."""

    runners: dict[str, RunnerRecord]
    now: float = 100.0
    selector: Selector = field(default_factory=lambda: Selector("here", Random(7)))
    expected: dict[str, float] = field(default_factory=dict)
    numbers: count[int] = field(default_factory=count)

    def __post_init__(self) -> None:
        self.selector.configure(CONFIGURATION)

    def request(
        self,
        model: str = "m",
        adapter: str = "",
        prompt: tuple[PromptPart, ...] = (),
        target_s: float = 1.0,
        deadline_s: float = 5.0,
        rank: int = 1,
        service: str = SERVICE,
    ) -> RequestTraits:
        """A request that arrives now."""
        route = Route("r", "host", "/", "streaming", 1000.0 * deadline_s, rank=rank, service=service)
        return RequestTraits(
            next(self.numbers),
            route,
            service,
            self.now,
            self.now + deadline_s,
            self.now + target_s,
            model,
            adapter,
            sum(part.tokens for part in prompt),
            50,
            prompt,
        )

    def choose(self, request: RequestTraits, tried: tuple[str, ...] = ()) -> Choice:
        """What the selector says of it now."""
        return self.selector.choose(self.now, request, self.runners, tried, self.expected)

    def chosen(self, request: RequestTraits, tried: tuple[str, ...] = ()) -> str:
        """The runner that it is to be sent to."""
        choice = self.choose(request, tried)
        assert isinstance(choice, Send), choice
        return choice.runner.id

    def send_to(self, runner_id: str, request: RequestTraits | None = None) -> Attempt:
        """Sends a request to this runner, whatever would be chosen."""
        attempt = Attempt(request or self.request(), runner_id, 0, self.now)
        self.selector.sent(attempt)
        return attempt

    def end(self, attempt: Attempt, outcome: AttemptOutcome = AttemptOutcome.DONE) -> None:
        """The attempt is over."""
        self.selector.ended(self.now, attempt, outcome)

    def fail(self, request: RequestTraits, outcome: AttemptOutcome, times: int = 1) -> str:
        """Sends it where it is chosen to go, to end so at once."""
        chosen = self.chosen(request)
        for _ in range(times):
            self.end(self.send_to(chosen, request), outcome)
        return chosen


def world(*records: RunnerRecord) -> World:
    """A world of these runners."""
    return World({record.id: record for record in records})
