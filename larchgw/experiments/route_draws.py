"""Deployments of model runners drawn at random, for experiments on the selection of a runner.

Ranges lie around engines of large models on two accelerators: a step of 4 to 6 ms, some 30 to 50 prompt
tokens read in a ms, memory for 150,000 to 300,000 tokens.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from ..configuration.model import Configuration, Model, Route, Runtime, Service
from ..emulator.engine import EngineSettings
from ..identifiers import RunnerId
from ..runner_directory.runner_record import HeldModel, RunnerRecord

SERVICE = "models"
ADAPTERS = 8  # of each busy model
RESIDENT = 3  # models that a runner holds


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request. Tokens are means; parts before the last are shared among `subjects`."""

    route: Route
    share: float
    system_tokens: int
    subject_tokens: int
    subjects: int
    own_tokens: int
    output_tokens: int
    adapter_share: float
    busy_models: bool


@dataclass(frozen=True, slots=True)
class Deployment:
    """What one run is played on."""

    seed: int
    records: tuple[RunnerRecord, ...]
    engines: dict[str, EngineSettings]
    configuration: Configuration
    kinds: tuple[RequestKind, ...]
    busy: tuple[str, ...]
    rare: tuple[str, ...]
    zones: tuple[str, ...]
    dispatchers: tuple[tuple[str, float], ...]  # zone and share of the traffic
    rate: float  # requests a second


def route(name: str, target_ms: float, deadline_ms: float, rank: int, gap_ms: float) -> Route:
    """A streaming route that may be resumed."""
    return Route(
        name,
        "host",
        f"/{name}/",
        "streaming",
        deadline_ms,
        target_ms,
        rank,
        SERVICE,
        tries=2,
        pinned=True,
        can_resume=True,
        gap_aim_ms=gap_ms,
    )


def draw_kinds(random: Random) -> tuple[RequestKind, ...]:
    """Long shared prompts with short answers, also for rare models; short prompts with long answers."""
    gap = random.choice((300.0, 400.0))
    subjects = random.randrange(20, 40)
    return (
        RequestKind(
            route("plan", random.choice((600.0, 800.0)), 5000.0, 1, gap),
            0.42,
            2520,
            3780,
            subjects,
            2890,
            52,
            0.1,
            True,
        ),
        RequestKind(
            route("urgent", random.choice((1500.0, 5000.0)), 10_000.0, 0, gap),
            0.06,
            2520,
            3780,
            2,
            2890,
            52,
            0.0,
            False,
        ),
        RequestKind(
            route("note", random.choice((400.0, 500.0)), 15_000.0, 2, gap),
            0.52,
            119,
            79,
            68,
            628,
            290,
            0.5,
            True,
        ),
    )


def draw(seed: int, load: float) -> Deployment:
    """A deployment; `load` is the prompt tokens asked for, kept or not, as a share of what can be read."""
    random = Random(seed)
    zones = tuple(f"z{index}" for index in range(random.choice((3, 4))))
    count = random.randrange(3, 12)
    engine = {
        "step_ms": random.uniform(4.0, 6.0),
        "prefill_tokens_per_ms": random.uniform(30.0, 50.0),
        "cache_tokens": random.randrange(150_000, 300_000),
    }
    speeds = [random.choice((1.0, 1.0, 1.3)) for _ in range(count)]
    busy = tuple(f"busy{index}" for index in range(random.randrange(2, 5)))
    rare = tuple(f"rare{index}" for index in range(max(2, count)))
    records = draw_records(random, count, zones, busy, rare)
    engines: dict[str, EngineSettings] = {
        record.id: EngineSettings(
            step_ms=engine["step_ms"],
            prefill_tokens_per_ms=engine["prefill_tokens_per_ms"],
            cache_tokens=int(engine["cache_tokens"]),
            speed=speed,
        )
        for record, speed in zip(records, speeds, strict=True)
    }
    kinds = draw_kinds(random)
    tokens = sum(kind.share * (kind.system_tokens + kind.subject_tokens + kind.own_tokens) for kind in kinds)
    reads = sum(1000.0 * engine["prefill_tokens_per_ms"] / speed for speed in speeds)
    dispatchers = tuple(
        (zones[index % len(zones)], random.uniform(0.5, 1.5)) for index in range(random.choice((2, 4, 6, 8)))
    )
    runtime = Runtime(
        slots=64,
        cache_tokens=engine["cache_tokens"],
        models=tuple(Model(name, load_s=3.0, adapters=ADAPTERS) for name in (*busy, *rare)),
    )
    configuration = Configuration(
        1, tuple(kind.route for kind in kinds), (Service(SERVICE, runtime=runtime),)
    )
    return Deployment(
        seed, records, engines, configuration, kinds, busy, rare, zones, dispatchers, load * reads / tokens
    )


def draw_records(
    random: Random, count: int, zones: tuple[str, ...], busy: tuple[str, ...], rare: tuple[str, ...]
) -> tuple[RunnerRecord, ...]:
    """Busy models on many runners, each rare one on one, as far as there is room."""
    held: list[list[str]] = [[] for _ in range(count)]
    for name in rare:
        places = [models for models in held if len(models) < RESIDENT - 1]
        if places:
            min(places, key=lambda models: (len(models), random.random())).append(name)
    for index, models in enumerate(held):
        wanted = [busy[(index + turn) % len(busy)] for turn in range(len(busy))]
        models.extend(wanted[: RESIDENT - len(models)])
    adapters = tuple(f"a{number}" for number in range(1, ADAPTERS + 1))
    return tuple(
        RunnerRecord(
            RunnerId(f"r{random.getrandbits(40):x}"),
            SERVICE,
            f"10.0.0.{index}:80",
            zones[index % len(zones)],
            slots=64,
            call_count=1,
            models=tuple(HeldModel(name, 1, adapters) for name in models),
        )
        for index, models in enumerate(held)
    )
