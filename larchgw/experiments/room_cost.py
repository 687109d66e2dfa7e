"""`larchgw lab room-cost`: what a decision costs as fleet and queue grow, with holding and without."""

from __future__ import annotations

import random
import time
from statistics import median

from ..dispatcher.capacity import NO_RESERVATIONS, Planner, ReservationSettings
from ..dispatcher.scheduling.interface import (
    JobClass,
    ListKind,
    Member,
    Note,
    Outcome,
    Request,
    Settings,
    Status,
)
from ..dispatcher.scheduling.scheduler import Dispatcher
from .results import Options, Result

BOXES = (10, 100, 1000)
WAITING = (10, 1000, 10_000)
ROUNDS = 400  # ends of attempts, each with a new arrival, that are timed


class Quiet:
    """Keeps where jobs went, and nothing else."""

    def __init__(self) -> None:
        self.out: list[tuple[int, bytes]] = []

    def send(self, request: int, worker: bytes, timeout: float) -> None:
        self.out.append((request, worker))

    def refuse(self, request: int, retry_after: float) -> None: ...

    def fail(self, request: int) -> None: ...

    def cancel(self, request: int, attempt: int) -> None: ...

    def timer(self, at: float, token: int) -> None: ...

    def probe(self, worker: bytes) -> None: ...

    def subscribe(self) -> None: ...


def settings() -> Settings:
    """Two classes with time enough to wait."""
    return Settings(
        [
            JobClass("proof", 100.0, 1000.0, 1.0, stretch=2.0, effect="idempotent"),
            JobClass("release", 100.0, 1000.0, 8.0, stretch=2.0),
        ],
        tells_start=True,
        can_cancel=True,
        max_attempts=3,
        worth_by_work=True,
    )


def cost(boxes: int, waiting: int, held: bool, seed: int) -> float:
    """Microseconds for one end of an attempt and one arrival, with so many jobs waiting all the time."""
    rng, quiet, now = random.Random(seed), Quiet(), 1000.0
    config = settings()
    room = Planner(config, ReservationSettings()) if held else NO_RESERVATIONS
    module = Dispatcher(config, seed, quiet, room)
    module.on_members(now, ListKind.FULL, [Member(b"%06d" % n) for n in range(boxes)])
    number = 0

    def arrive() -> None:
        nonlocal number
        number += 1
        large = rng.random() < 0.2
        module.on_request(
            now,
            Request(
                number,
                now + 1000.0,
                1 if large else 0,
                rng.randrange(1, 4 * boxes),
                slots=float(rng.choice((2, 4))) if large else 1.0,
            ),
        )

    while len(module.queue) < waiting:
        arrive()
    spent = []
    for _ in range(ROUNDS):
        now += 0.001
        request, worker = quiet.out.pop(rng.randrange(len(quiet.out)))
        module.on_attempt_progress(now, Note(request, 0, worker))
        begun = time.perf_counter()
        module.on_outcome(now, Outcome(request, 0, worker, Status.OK, True, 0.1))
        arrive()
        spent.append(time.perf_counter() - begun)
    return 1e6 * median(spent)


def experiment(options: Options) -> Result:
    """All sizes, in one process and one after another: they time themselves."""
    result = Result("room-cost")
    costs: dict[tuple[int, int, bool], float] = {}
    for boxes in BOXES:
        for waiting in WAITING:
            for held in (False, True):
                costs[boxes, waiting, held] = median(
                    cost(boxes, waiting, held, options.seed + n) for n in range(min(options.seeds, 3))
                )
            result.rows.append(
                {
                    "boxes": boxes,
                    "waiting": waiting,
                    "off us": costs[boxes, waiting, False],
                    "on us": costs[boxes, waiting, True],
                }
            )
    base = costs[BOXES[0], WAITING[0], True]
    result.figures = {
        "base_us": base,
        "boxes_ratio": costs[BOXES[-1], WAITING[0], True] / base,
        "waiting_ratio": costs[BOXES[0], WAITING[-1], True] / base,
        "both_ratio": costs[BOXES[-1], WAITING[-1], True] / base,
        "over_off": costs[BOXES[-1], WAITING[-1], True] / costs[BOXES[-1], WAITING[-1], False],
    }
    return result
