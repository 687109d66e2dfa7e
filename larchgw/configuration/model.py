"""The operator's configuration as frozen dataclasses, which `validation.py` makes from JSON."""

from __future__ import annotations

from dataclasses import dataclass, field

KINDS = ("read_only", "writing", "streaming")


@dataclass(frozen=True, slots=True)
class Share:
    """A part of a split route: requests go to `service` in proportion to `weight`."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests for `hostname` whose path begins with `path_start`. Times are milliseconds."""

    name: str
    hostname: str
    path_start: str
    kind: str
    deadline_ms: float
    target_ms: float = 0.0
    rank: int = 0
    service: str = ""
    shares: tuple[Share, ...] = ()
    tries: int = 1
    pinned: bool = False
    can_resume: bool = False
    gap_aim_ms: float = 0.0

    def split(self) -> tuple[Share, ...]:
        """Its services with their weights; one of weight 1 where it is not split."""
        return self.shares or (Share(self.service, 1.0),)

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "read_only" or (self.kind == "streaming" and self.can_resume)


@dataclass(frozen=True, slots=True)
class Model:
    """A model that a service can serve.

    Weights in MB, load time in seconds. Adapters are named a1, a2, ...
    """

    name: str
    weights_mb: float = 0.0
    load_s: float = 0.0
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Runtime:
    """The engine of a service's runners; `weights_mb` and `adapter_slots` are what one runner holds."""

    slots: int = 1
    cache_tokens: float = 0.0
    token_bytes: float = 0.0
    link_mbps: float = 0.0
    stride: int = 1
    models: tuple[Model, ...] = ()
    weights_mb: float = 0.0
    adapter_slots: int = 0
    loads_per_s: float = 0.0

    def model(self, name: str) -> Model | None:
        """The model of this name."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of runners that are alike. `runtime` is None where it serves no models."""

    name: str
    health_path: str = ""
    max_conns: int = 0
    protocol: str = "h1"
    uses_tls: bool = False
    runtime: Runtime | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, in bytes, and how long it may take or rest, in milliseconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole version. `raw` is the JSON object as the operator would read it back."""

    config_version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    raw: dict[str, object] = field(default_factory=dict, compare=False, hash=False, repr=False)

    def service(self, name: str) -> Service | None:
        """The service of this name."""
        return next((service for service in self.services if service.name == name), None)
