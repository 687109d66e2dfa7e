"""The clients: jobs that are due whoever is slow, asked again as their scenario says."""

from __future__ import annotations

import random
from collections.abc import Sequence

from ...dispatcher.core import Answer, AnswerKind, Request
from ..box import Begun
from ..load import Job
from ..rules import Try
from .deployment import Deployment
from .dispatcher import CLIENT_WAY, Dispatcher

ANSWER = {AnswerKind.SERVED: "served", AnswerKind.REFUSED: "refused", AnswerKind.FAILED: "failed"}


class Clients:
    """Send each job to a dispatcher of its zone, and note what comes of it."""

    def __init__(
        self, deployment: Deployment, dispatchers: Sequence[Dispatcher], jobs: Sequence[Job]
    ) -> None:
        self._scenario, self._time, self._records = deployment.scenario, deployment.time, deployment.records
        self._random, self._dispatchers, self._jobs = deployment.random, dispatchers, jobs
        self._by_try: dict[str, tuple[Job, Dispatcher, Request]] = {}
        dice = random.Random(deployment.seed * 31 + 7)
        self._crowds = [
            dice.paretovariate(1.5) ** deployment.scenario.uneven
            for _ in range(deployment.scenario.dispatchers)
        ]

    def start(self) -> None:
        """From now on jobs come when they are due."""
        self._next_arrival(0)

    def dispatcher_died(self, dispatcher: Dispatcher) -> None:
        """Its connections have broken."""
        for name, (_, owner, request) in list(self._by_try.items()):
            if owner is dispatcher and not request.is_closed():
                self._lost(name)

    def _next_arrival(self, index: int) -> None:
        if index < len(self._jobs):
            job = self._jobs[index]

            def due() -> None:
                self._ask(job)
                self._next_arrival(index + 1)

            self._time.at(job.due, due)

    def _ask(self, job: Job) -> None:
        alive = [d for d in self._dispatchers if d.alive]
        if not alive:
            job.ended = job.ended or "gave up"
            return
        near = [d for d in alive if d.zone == job.zone] or alive
        if self._scenario.uneven:
            dispatcher = self._random.choices(near, [self._crowds[d.index] for d in near])[0]
        else:
            dispatcher = near[self._random.randrange(len(near))]
        cls = self._scenario.load.classes[job.job_class]
        name = f"{job.number:x}-{len(job.tries)}"
        now = self._time.now()
        request = Request(
            dispatcher,
            name.encode(),
            job.job_class,
            b"/" + cls.name.encode(),
            b"",
            cls.deadline - CLIENT_WAY,
            job.key,
            float(job.slots),
            repeat=bool(job.tries),
            extra=job,
        )
        job.tries.append(name)
        self._records.tries[name] = Try(name, cls.effect == "at_most_once", now, now + cls.deadline)
        self._by_try[name] = (job, dispatcher, request)
        self._time.at(now + CLIENT_WAY, lambda: self._take(dispatcher, request))
        self._time.at(now + cls.deadline, lambda: self._give_up(name))

    def _take(self, dispatcher: Dispatcher, request: Request) -> None:
        if dispatcher.alive:
            dispatcher.core.submit(request)
        else:
            self._lost(request.name.decode())

    def answered(self, request: Request, answer: Answer) -> None:
        """A final answer has come to its client."""
        name, now = request.name.decode(), self._time.now()
        self._records.tries[name].answers.append((now, ANSWER[answer.kind]))
        job: Job = request.extra
        if job.ended == "served" or name != job.tries[-1]:
            return
        job.ended = ANSWER[answer.kind]
        if answer.kind is AnswerKind.SERVED:
            job.served_at = now
        elif len(job.tries) <= self._scenario.load.retries and answer.kind is AnswerKind.REFUSED:
            wait = max(answer.retry_after, self._scenario.load.backoff_s * self._random.uniform(0.5, 1.5))
            self._time.at(now + wait, lambda: self._ask(job))

    def _give_up(self, name: str) -> None:
        known = self._by_try.pop(name, None)
        if known is None or self._records.tries[name].answers:
            return
        job, dispatcher, request = known
        self._records.tries[name].left = self._time.now()
        job.ended = job.ended or "gave up"
        if dispatcher.alive:
            dispatcher.core.client_gone(request)

    def _lost(self, name: str) -> None:
        """A dispatcher died with this request, and its client's connection broke."""
        known = self._by_try.pop(name, None)
        if known is None:
            return  # it was on its way when its dispatcher died, and has been counted
        job = known[0]
        self._records.tries[name].excused = True
        if len(job.tries) <= self._scenario.load.retries and not self._records.tries[name].at_most_once:
            self._time.at(self._time.now() + self._scenario.load.backoff_s, lambda: self._ask(job))
        else:
            job.ended = "failed"

    def began(self, begun: Begun) -> None:
        """A box has begun to run a job."""
        self._records.begun[begun.request].append(begun)
        known = self._by_try.get(begun.request)
        if known is not None and not known[0].began_at:
            known[0].began_at = begun.at
