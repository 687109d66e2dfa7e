"""A run of the edge's requests, runner connections and pool against simulated runners, given by its seed."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random

from prometheus_client import CollectorRegistry

from ...configuration.model import READ_ONLY, STREAMING, WRITING, Route
from ...edge import stale_connection
from ...edge.context import ProxyContext
from ...edge.counters import EdgeCounters
from ...edge.request import ProxiedRequest
from ...edge.runner_pool import RunnerPool
from ...identifiers import RunnerId
from ...net.exchange import Exchange
from ...net.heads import Fields
from ...routing.interface import Attempt, AttemptOutcome, Choice, Reject, RequestTraits, Send, Wait
from ...runner_directory.runner_record import RunnerRecord, Stage
from ..mutants import Patch
from .ledger import Ledger
from .runners import RunnerSide
from .transport import SimulatedLoop, SimulatedSocket

SERVICE = "lm"
PORT = 8080
RUNNERS = 2  # few, so that a request often comes back to the same one
STEPS = 500
MAX_OPEN = 4  # requests at the same time
REQUESTS = 25  # in a run
BODY_BYTES = (0, 300, 20_000, 110_000)
DEADLINE_S = 3.0
PAUSES_S = (0.0, 0.001, 0.02, 0.4, 1.2)  # by which time moves on
SETTLE_S = 0.1
SETTLE_STEPS = 400


def _route(name: str, kind: str, tries: int, can_resume: bool = False) -> Route:
    path_start = f"/{name}/"
    return Route(
        name,
        "desk.example",
        path_start,
        kind,
        1000.0 * DEADLINE_S,
        service=SERVICE,
        tries=tries,
        can_resume=can_resume,
    )


ROUTES = (
    _route("read", READ_ONLY, tries=2),
    _route("write", WRITING, tries=1),
    _route("stream", STREAMING, tries=1),
    _route("stream/resumed", STREAMING, tries=2, can_resume=True),
)


class _Client:
    """The client of one request: the channel of its response."""

    unsent = 0

    def __init__(self, name: bytes, ledger: Ledger) -> None:
        self._name, self._ledger = name, ledger
        self._status = 0

    def reply(
        self, exchange: Exchange, status: int, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> None:
        self._ledger.answered(self._name, status, body)

    def start(
        self, exchange: Exchange, status: int, reason: bytes, fields: Fields, length: int | None
    ) -> None:
        self._status = status

    def send(self, exchange: Exchange, data: bytes) -> None:
        if self._status and data:
            self._ledger.answered(self._name, self._status, data)
            self._status = 0

    def end(self, exchange: Exchange, complete: bool) -> None:
        """The end of a response changes nothing that is checked."""

    def is_movable(self, exchange: Exchange) -> bool:
        return False

    def descriptor(self) -> int:
        raise NotImplementedError

    def detach(self) -> None:
        raise NotImplementedError


class _RandomSelection:
    """Any runner that may be sent to, tried before or not."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(
        self,
        now: float,
        request: RequestTraits,
        runners: Mapping[str, RunnerRecord],
        tried: Sequence[str],
        expected: Mapping[str, float],
    ) -> Choice:
        ready = [record for record in runners.values() if record.stage is Stage.READY]
        chance = self._random.random()
        if not ready or chance < 0.1:
            return Wait(now + self._random.choice(PAUSES_S), "any")
        if chance < 0.15:
            return Reject(0.1, "any")
        return Send(self._random.choice(ready), 5)

    def sent(self, attempt: Attempt) -> None: ...

    def first_byte_received(self, now: float, attempt: Attempt) -> None: ...

    def ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None: ...

    def observe_load(self, now: float, runner: str, running: int, waiting: int, slots: int) -> None: ...

    def pending(self, service: str) -> int:
        return 0


class _RandomBudget:
    """Allows most retries."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def record_request(self, now: float, service: str) -> None: ...

    def may_retry(self, now: float, service: str, dispatchers: int) -> bool:
        return self._random.random() < 0.8

    def record_retry(self, now: float, service: str) -> None: ...


class AttemptRun:
    """One edge's requests and its runners.

    Attributes:
        ledger: What ran, and what clients were told.
        finished: How many requests have ended.
    """

    def __init__(self, seed: int) -> None:
        """Prepares the run of a seed."""
        self._random = random = Random(seed)
        self.ledger = Ledger()
        self.finished = 0
        self._loop = loop = SimulatedLoop(random)
        self._requests: dict[ProxiedRequest, Exchange] = {}
        self._asked = 0
        self._records: dict[str, RunnerRecord] = {}
        self._incarnations = [0] * RUNNERS
        self._at: dict[str, str] = {}  # runner's id -> the incarnation's address
        self._sides: dict[SimulatedSocket, RunnerSide] = {}
        counters = EdgeCounters(CollectorRegistry())
        self._pool = RunnerPool(loop, counters, lambda service: 0, loop.connect)  # type: ignore[arg-type]
        self._context = ProxyContext(
            loop,  # type: ignore[arg-type]
            random,
            _RandomSelection(random),
            _RandomBudget(random),
            self._pool,
            counters,
            lambda service: self._records,
            lambda service, model, adapter: {},
            lambda: 1,
            lambda service, model, adapter: None,
            self._on_request_ended,
        )
        for number in range(RUNNERS):
            self._start_runner(number)

    def play(self) -> None:
        """Plays random steps, then lets everything that is held anywhere run. Raises InvariantError."""
        steps = self._steps()
        for _ in range(STEPS):
            self._random.choices(*steps)[0]()
        for request in list(self._requests):
            if self._random.random() < 0.5:
                request.abandon()
        for _ in range(SETTLE_STEPS):
            self._loop.clock.time += SETTLE_S
            self._loop.run_due()
            self._serve()
            self._runner_step()
        for side in list(self._sides.values()):
            side.run_what_is_held()

    def _steps(self) -> tuple[list[Callable[[], None]], list[float]]:
        weighted: dict[Callable[[], None], float] = {
            self._ask: 3.0,
            self._connect: 6.0,
            self._serve: 20.0,
            self._runner_step: 30.0,
            self._pass_time: 4.0,
            self._client_leaves: 0.3,
            self._stop: 0.1,
            self._restart_runner: 0.3,
            self._drain_runner: 0.3,
            self._forget_runner: 0.2,
        }
        return list(weighted), list(weighted.values())

    # Clients

    def _ask(self) -> None:
        if len(self._requests) >= MAX_OPEN or self._asked >= REQUESTS:
            return
        self._asked += 1
        name, route = b"id%04d" % self._asked, self._random.choice(ROUTES)
        now = self._loop.clock.now()
        exchange = Exchange(_Client(name, self.ledger), now, b"POST", route.path_start.encode() + name)
        exchange.body = bytes(self._random.choice(BODY_BYTES))
        traits = RequestTraits(self._asked, route, SERVICE, now, now + DEADLINE_S, now + DEADLINE_S)
        self.ledger.asked(name, route.is_idempotent)
        request = ProxiedRequest(self._context, exchange, traits, name)
        self._requests[request] = exchange
        request.decide()

    def _client_leaves(self) -> None:
        if self._requests:
            request = self._random.choice(list(self._requests))
            self._requests[request].done = True
            request.client_gone()

    def _stop(self) -> None:
        """The edge gives up everything, as at the end of its grace period."""
        for request in list(self._requests):
            request.abandon()

    def _on_request_ended(self, request: object) -> None:
        assert isinstance(request, ProxiedRequest)
        self._requests.pop(request, None)
        self.finished += 1

    # Network and time

    def _connect(self) -> None:
        """One connection comes up, or is refused."""
        connecting = [sock for sock in self._loop.sockets if sock.is_connecting]
        if not connecting:
            return
        sock = self._random.choice(connecting)
        runner = self._at.get(sock.address[0])
        if runner is None or self._random.random() < 0.05:
            sock.refuse()
            return
        sock.establish()
        self._sides[sock] = RunnerSide(sock, runner, self._random, self.ledger)

    def _serve(self) -> None:
        ready = self._loop.ready()
        if ready:
            self._loop.serve(self._random.choice(ready))

    def _pass_time(self) -> None:
        self._loop.clock.time += self._random.choice(PAUSES_S)
        self._loop.run_due()

    # Runners

    def _runner_step(self) -> None:
        if self._sides:
            self._random.choice(list(self._sides.values())).step()

    def _start_runner(self, number: int) -> None:
        """A runner starts under a new id at its address, and the edge learns of it."""
        self._incarnations[number] += 1
        name, host = f"i-{number}-{self._incarnations[number]}", f"10.0.0.{number + 1}"
        self._at[host] = name
        self._records[name] = RunnerRecord(RunnerId(name), SERVICE, f"{host}:{PORT}", "hall-a")
        self._runners_changed()

    def _restart_runner(self) -> None:
        """A process ends with its connections; its successor has its address. The edge may not know yet."""
        number = self._random.randrange(RUNNERS)
        host = f"10.0.0.{number + 1}"
        for sock, side in list(self._sides.items()):
            if sock.address[0] == host:
                side.break_off()
                del self._sides[sock]
        if self._random.random() < 0.5:
            self._records.pop(self._at[host], None)
        self._start_runner(number)

    def _drain_runner(self) -> None:
        """A runner says that it is draining, and is replaced in time by its successor."""
        self._change_stage(Stage.DRAINING)
        self._restart_runner()

    def _forget_runner(self) -> None:
        """A runner is silent for a while, as far as the edge knows, or not any more."""
        self._change_stage(self._random.choice((Stage.SILENT, Stage.READY)))

    def _change_stage(self, stage: Stage) -> None:
        name = self._random.choice(list(self._records))
        old = self._records[name]
        self._records[name] = RunnerRecord(old.id, old.service, old.address, old.zone, stage)
        self._runners_changed()

    def _runners_changed(self) -> None:
        self._pool.runners_changed(self._records)
        self._context.waiting.invalidate_all()


def _undelivered_bytes(original: Callable[[SimulatedSocket], int]) -> Callable[[SimulatedSocket], int]:
    return lambda sock: len(sock.in_transit)


# A simulated socket has no descriptor that the kernel could be asked about.
SIMULATED_KERNEL = Patch(stale_connection, "undelivered_bytes", _undelivered_bytes)


def play(seed: int) -> AttemptRun:
    """Plays the run of a seed. Raises InvariantError."""
    run = AttemptRun(seed)
    with SIMULATED_KERNEL.active():
        run.play()
    return run
