"""Plays a deployment under one selection: dispatchers that do not talk, engines in virtual time."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ..emulator.engine import Engine, Generation
from ..emulator.timeline import Virtual
from ..routing.interface import (
    Attempt,
    AttemptOutcome,
    PromptPart,
    RequestTraits,
    Selection,
    Send,
    Wait,
)
from ..runner_directory.runner_record import RunnerRecord
from .route_draws import ADAPTERS, SERVICE, Deployment, RequestKind

CROSSING_S = 0.0014  # one way between zones
INSIDE_S = 0.0002  # one way inside a zone
WARM_UP_S = 5.0  # requests that arrive earlier are not counted

MakeSelection = Callable[[str, Random, Deployment], Selection]


@dataclass(slots=True)
class Tally:
    """What came of the requests that are counted."""

    owed: int = 0
    in_time: int = 0
    served: int = 0
    refused: int = 0
    sends: int = 0
    crossings: int = 0
    prompt_tokens: int = 0
    first_ms: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Dispatcher:
    """One dispatcher: its selection and where it stands."""

    zone: str
    selection: Selection


@dataclass(slots=True)
class Run:
    """One request on its way: what its client has seen of it."""

    traits: RequestTraits
    dispatcher: Dispatcher
    counted: bool
    tried: list[str] = field(default_factory=list)
    first_at: float = -1.0
    last_at: float = -1.0
    longest_gap: float = 0.0


class RouteWorld:
    """Clients, dispatchers and engines of one deployment."""

    def __init__(self, deployment: Deployment, make: MakeSelection, seconds: float) -> None:
        self.deployment = deployment
        self.seconds = seconds
        self.time = Virtual()
        self.tally = Tally()
        self.random = Random(deployment.seed + 1)
        self.engines = {id: Engine(settings, self.time) for id, settings in deployment.engines.items()}
        self.runners: dict[str, RunnerRecord] = {record.id: record for record in deployment.records}
        self.dispatchers = [
            Dispatcher(zone, make(zone, Random(f"{deployment.seed}-{index}"), deployment))
            for index, (zone, _) in enumerate(deployment.dispatchers)
        ]
        self._numbers = itertools.count()
        self._own_parts = itertools.count()
        self._start = self.time.now()

    def run(self) -> Tally:
        """Plays it to the end and gives what came of it."""
        at = self._start
        while True:
            at += self.random.expovariate(self.deployment.rate)
            if at > self._start + self.seconds:
                break
            self.time.at(at, self._arrive)
        self.time.run(self._start + self.seconds + 20.0)
        return self.tally

    def _arrive(self) -> None:
        """A client's request reaches a dispatcher."""
        now = self.time.now()
        shares = [share for _, share in self.deployment.dispatchers]
        dispatcher = self.random.choices(self.dispatchers, shares)[0]
        kinds = self.deployment.kinds
        kind = self.random.choices(kinds, [one.share for one in kinds])[0]
        traits = self._traits(now, kind)
        run = Run(traits, dispatcher, now >= self._start + WARM_UP_S)
        if run.counted:
            self.tally.owed += 1
        self._choose(run)

    def _traits(self, now: float, kind: RequestKind) -> RequestTraits:
        random = self.random
        models = self.deployment.busy if kind.busy_models else self.deployment.rare
        model = random.choices(models, [(1.0 + place) ** -1.4 for place in range(len(models))])[0]
        adapter = f"a{random.randrange(1, ADAPTERS + 1)}" if random.random() < kind.adapter_share else ""
        subject = min(int(kind.subjects * random.random() ** 1.5), kind.subjects - 1)
        name = kind.route.name
        spread = random.lognormvariate(-0.32, 0.8)  # mean 1: few are long
        parts = (
            PromptPart(f"{name}-system{subject % 3}", kind.system_tokens),
            PromptPart(f"{name}-subject{subject}", kind.subject_tokens),
            PromptPart(f"own{next(self._own_parts)}", max(1, int(kind.own_tokens * spread))),
        )
        output = max(1, int(kind.output_tokens * random.lognormvariate(-0.32, 0.8)))
        return RequestTraits(
            next(self._numbers),
            kind.route,
            SERVICE,
            now,
            now + kind.route.deadline_ms / 1000.0,
            now + kind.route.target_ms / 1000.0,
            model,
            adapter,
            sum(part.tokens for part in parts),
            output,
            parts,
        )

    def _choose(self, run: Run) -> None:
        choice = run.dispatcher.selection.choose(self.time.now(), run.traits, self.runners, run.tried, {})
        if isinstance(choice, Send):
            self._send(run, choice)
        elif isinstance(choice, Wait):
            self.time.at(choice.until, lambda: self._choose(run))
        elif run.counted:
            self.tally.refused += 1

    def _send(self, run: Run, choice: Send) -> None:
        record, traits = choice.runner, run.traits
        attempt = Attempt(traits, record.id, len(run.tried), self.time.now())
        run.tried.append(record.id)
        run.dispatcher.selection.sent(attempt)
        crosses = record.zone != run.dispatcher.zone
        if run.counted:
            self.tally.sends += 1
            self.tally.crossings += crosses
        delay = CROSSING_S if crosses else INSIDE_S
        engine = self.engines[record.id]
        generation = Generation(
            traits.model,
            traits.adapter,
            tuple((part.id, part.tokens) for part in traits.parts),
            traits.output_tokens,
            choice.priority,
            lambda one: self._later(delay, lambda: self._event(run, attempt, engine)),
            lambda one: self._later(delay, lambda: self._done(run, attempt)),
        )
        self._later(delay, lambda: self._reach(run, attempt, engine, generation, delay))

    def _later(self, delay: float, action: Callable[[], None]) -> None:
        self.time.at(self.time.now() + delay, action)

    def _reach(
        self, run: Run, attempt: Attempt, engine: Engine, generation: Generation, delay: float
    ) -> None:
        """The request is at its runner, which takes it or is full."""
        if not engine.submit(generation):
            self._later(delay, lambda: self._full(run, attempt, engine))
            return
        left = run.traits.deadline_at - self.time.now()
        self._later(left, lambda: self._give_up(run, attempt, engine, generation))

    def _full(self, run: Run, attempt: Attempt, engine: Engine) -> None:
        run.dispatcher.selection.observe_load(self.time.now(), attempt.runner, *engine.load())
        run.dispatcher.selection.ended(self.time.now(), attempt, AttemptOutcome.FULL)
        if len(run.tried) < run.traits.route.tries:
            self._choose(run)
        elif run.counted:
            self.tally.refused += 1

    def _give_up(self, run: Run, attempt: Attempt, engine: Engine, generation: Generation) -> None:
        """The client has waited for as long as it does."""
        if generation.made < generation.output_tokens:
            engine.cancel(generation)
            run.dispatcher.selection.ended(self.time.now(), attempt, AttemptOutcome.CANCELLED)

    def _event(self, run: Run, attempt: Attempt, engine: Engine) -> None:
        now = self.time.now()
        if run.first_at < 0:
            run.first_at = now
            run.dispatcher.selection.observe_load(now, attempt.runner, *engine.load())
            run.dispatcher.selection.first_byte_received(now, attempt)
        else:
            run.longest_gap = max(run.longest_gap, now - run.last_at)
        run.last_at = now

    def _done(self, run: Run, attempt: Attempt) -> None:
        run.dispatcher.selection.ended(self.time.now(), attempt, AttemptOutcome.DONE)
        if not run.counted:
            return
        tally, traits = self.tally, run.traits
        tally.served += 1
        tally.first_ms.append(1000.0 * (run.first_at - traits.arrived_at))
        tally.prompt_tokens += traits.prompt_tokens
        in_time = run.first_at <= traits.target_at and 1000.0 * run.longest_gap <= traits.route.gap_aim_ms
        tally.in_time += in_time
