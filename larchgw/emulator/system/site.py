"""What a trial plays: classes of requests, models, services, and the operator's first configuration."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from ...configuration.model import Model

ENGINES, LOOKUP, ARCHIVE = "lm", "lookup", "archive"  # services: model runners, and two plain ones
HOST = "desk.example"
ZONES = {"hall-a": "region", "hall-b": "region", "hall-c": "region"}
ZONE_NAMES = tuple(ZONES)
MODEL_MB = 20_000.0
ADAPTER_MB = 50.0
ADAPTERS = 3  # of every third model
LOAD_S = 0.6
RUNNER_MODELS = 5  # that a runner has memory for
ADAPTER_SLOTS = 6
LOADS_PER_S = 3.0
LOADS_AT_FULL_SPEED = 3
CACHE_TOKENS = 60_000
ENGINE_SLOTS = 24
PLAIN_SLOTS = 8
STRIDE = 4
LONG_BODY_BYTES = 300_000
PROMPT_BYTES = (18_000, 110_000)  # of bodies that hold a long prompt
_SPREAD = 7919  # a prime: consecutive numbers get bodies of unlike lengths


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests and its route; times are milliseconds."""

    name: str
    kind: str
    share: float
    service: str
    target_ms: float
    deadline_ms: float
    retries: int = 1
    tries: int = 2
    can_resume: bool = False
    gap_aim_ms: float = 0.0
    rank: int = 0
    output_tokens: int = 0
    prompt: tuple[int, int] = (0, 0)  # tokens shared with others, and its own
    long_body_every: int = 0  # request with a body of LONG_BODY_BYTES; 0: none
    has_long_prompt: bool = False  # bodies of PROMPT_BYTES
    wants_rare_models: bool = False  # models of the less wanted half only

    def body(self, number: int) -> bytes:
        """The body of this request."""
        text = b"request %d" % number
        if self.has_long_prompt:
            least, most = PROMPT_BYTES
            return text.ljust(least + number * _SPREAD % (most - least + 1), b".")
        is_long = self.long_body_every and number % self.long_body_every == 0
        return text.ljust(LONG_BODY_BYTES, b".") if is_long else text

    @property
    def path_start(self) -> str:
        """The prefix of its route."""
        return f"/{self.name}/"

    @property
    def idempotent(self) -> bool:
        """Whether one of its requests may run more than once."""
        return self.kind == "read_only" or self.can_resume

    @property
    def is_stream(self) -> bool:
        """Whether it is answered by a stream of events."""
        return self.kind == "streaming"

    def route(self) -> dict[str, Any]:
        """Its route as the operator writes it."""
        return {
            "name": f"r-{self.name}",
            "hostname": HOST,
            "path_start": self.path_start,
            "kind": self.kind,
            "deadline_ms": self.deadline_ms,
            "target_ms": self.target_ms,
            "rank": self.rank,
            "service": self.service,
            "tries": self.tries if self.idempotent else 1,
            "pinned": self.is_stream,
            "can_resume": self.can_resume,
            "gap_aim_ms": self.gap_aim_ms,
        }


CLASSES = (
    RequestClass(
        "draft",
        "streaming",
        0.4,
        ENGINES,
        800,
        8000,
        can_resume=True,
        gap_aim_ms=300,
        rank=1,
        output_tokens=120,
        prompt=(600, 300),
    ),
    RequestClass(
        "plan", "streaming", 0.2, ENGINES, 1500, 8000, gap_aim_ms=300, output_tokens=40, prompt=(2000, 700)
    ),
    RequestClass("level", "read_only", 0.2, LOOKUP, 300, 3000, long_body_every=5),
    RequestClass("ticket", "writing", 0.2, LOOKUP, 400, 4000, long_body_every=5),
)

# Streams that may run once, with long bodies, for models of which most stand on one runner only: a second
# attempt has no other runner to go to.
LONG_PROMPTS = RequestClass(
    "reprint",
    "streaming",
    0.2,
    ENGINES,
    1500,
    6000,
    tries=1,
    gap_aim_ms=400,
    output_tokens=40,
    prompt=(2000, 700),
    has_long_prompt=True,
    wants_rare_models=True,
)


@dataclass(frozen=True, slots=True)
class Site:
    """The sizes of one trial."""

    controls: int = 3
    edges: int = 3
    runners: int = 6
    models: int = 12
    rate: float = 20.0  # requests a second
    classes: tuple[RequestClass, ...] = field(default=CLASSES)

    def with_long_prompts(self) -> Site:
        """The same site with one more class of requests."""
        return replace(self, classes=(*self.classes, LONG_PROMPTS))

    def model_names(self) -> list[str]:
        """The models, the most asked for first."""
        return [f"model-{number}" for number in range(1, self.models + 1)]

    def catalogue(self) -> dict[str, Model]:
        """The models by name."""
        return {
            name: Model(name, MODEL_MB, LOAD_S, ADAPTERS if place % 3 == 0 else 0, ADAPTER_MB)
            for place, name in enumerate(self.model_names())
        }

    def services(self) -> list[str]:
        """The service of each runner: half run models, one in six serves the archive, the others look up."""
        archive = max(self.runners // 6, 1)
        engines = max((self.runners - archive) // 2 + (self.runners - archive) % 2, 1)
        lookup = max(self.runners - archive - engines, 1)
        return [ENGINES] * engines + [LOOKUP] * lookup + [ARCHIVE] * archive

    def initially_held(self, engines: int) -> list[list[str]]:
        """What each model runner holds at the start: each model once, then the most wanted again."""
        held: list[list[str]] = [[] for _ in range(engines)]
        names = self.model_names()
        room = RUNNER_MODELS - 1  # some room is left, for orders to use
        for place, name in enumerate(names + names[:engines]):
            runner = held[place % engines]
            if len(runner) < room and name not in runner:
                runner.append(name)
        return held

    def configuration(self, version: int) -> dict[str, Any]:
        """The operator's configuration."""
        models = [
            {
                "name": model.name,
                "weights_mb": model.weights_mb,
                "load_s": model.load_s,
                "adapters": model.adapters,
                "adapter_mb": model.adapter_mb,
            }
            for model in self.catalogue().values()
        ]
        runtime = {
            "slots": ENGINE_SLOTS,
            "cache_tokens": CACHE_TOKENS,
            "token_bytes": 163840,
            "link_mbps": 180000.0,
            "stride": STRIDE,
            "models": models,
            "weights_mb": self.memory_mb(),
            "adapter_slots": ADAPTER_SLOTS,
            "loads_per_s": LOADS_PER_S,
        }
        plain = {"health_path": "/health", "max_conns": 200, "protocol": "h1", "uses_tls": False}
        return {
            "config_version": version,
            "routes": [one.route() for one in self.classes],
            "services": [
                {"name": ENGINES, **plain, "runtime": runtime},
                {"name": LOOKUP, **plain},
                {"name": ARCHIVE, **plain},
            ],
            "limits": {"header_bytes": 16384, "body_bytes": 1048576, "header_ms": 3000, "idle_ms": 15000},
        }

    def memory_mb(self) -> float:
        """What a model runner has for weights and adapters."""
        return RUNNER_MODELS * MODEL_MB + ADAPTER_SLOTS * ADAPTER_MB
