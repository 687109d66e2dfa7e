"""The operator's configuration as frozen dataclasses, which `validation` makes from JSON.

The names of fields are those of the JSON: dacite reads them from the dataclasses, and they are the operator's
interface. Where the field's own term differs, the attribute's text gives it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

READ_ONLY = "read_only"
WRITING = "writing"
STREAMING = "streaming"
ROUTE_KINDS = (READ_ONLY, WRITING, STREAMING)


@dataclass(frozen=True, slots=True)
class Share:
    """A part of a split route: requests go to `service` in proportion to `weight`."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests for one host whose path begins with one prefix. Times are milliseconds.

    Attributes:
        name: Unique among the routes.
        hostname: The host, as in the `Host` header.
        path_start: The path prefix; begins and ends with a slash.
        kind: One of ROUTE_KINDS.
        deadline_ms: How long a request may be held.
        target_ms: Latency target; 0 for none.
        rank: Priority class; 0 is the most important.
        service: Where requests go, unless the route is split.
        shares: Where requests of a split route go.
        tries: Most attempts of one request, the first included.
        pinned: Whether requests of one client go to the same runner (affinity).
        can_resume: Whether a broken stream may be resumed on another runner.
        gap_aim_ms: Latency target between two parts of a stream; 0 for none.
    """

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
        """Returns its services with their weights; one of weight 1 where it is not split."""
        return self.shares or (Share(self.service, 1.0),)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == READ_ONLY or (self.kind == STREAMING and self.can_resume)


@dataclass(frozen=True, slots=True)
class Model:
    """A model that a service can serve.

    Attributes:
        name: Unique among the models of its service.
        weights_mb: Size of its weights.
        load_s: How long a runner takes to load them.
        adapters: How many adapters it has; they are named a1, a2, ...
        adapter_mb: Size of one adapter.
    """

    name: str
    weights_mb: float = 0.0
    load_s: float = 0.0
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Runtime:
    """The inference engine of a service's runners.

    Attributes:
        slots: How many requests one runner decodes at a time.
        cache_tokens: Size of one runner's KV cache, in tokens.
        token_bytes, link_mbps, stride: Not used by this program.
        models: What the service can serve.
        weights_mb: Memory for weights on one runner.
        adapter_slots: How many adapters one runner holds.
        loads_per_s: Rate limit of loads from the weight store.
    """

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
        """Returns the model of this name."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of runners that are alike.

    Attributes:
        name: Unique among the services.
        max_conns: Most connections to one runner, shared by all edges; 0 for no limit.
        runtime: Its inference engine; None where it serves no models.
        health_path, protocol, uses_tls: Not used by this program.
    """

    name: str
    health_path: str = ""
    max_conns: int = 0
    protocol: str = "h1"
    uses_tls: bool = False
    runtime: Runtime | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take.

    Attributes:
        header_bytes: Most bytes of a request's head.
        body_bytes: Most bytes of a request's body.
        header_ms: How long the head may take to arrive.
        idle_ms: How long a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole version.

    Attributes:
        config_version: From 1; a new version is above the one before.
        routes: In the operator's order.
        services: In the operator's order.
        limits: For all clients.
        raw: The JSON object as the operator would read it back.
    """

    config_version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    raw: dict[str, object] = field(default_factory=dict, compare=False, hash=False, repr=False)

    def service(self, name: str) -> Service | None:
        """Returns the service of this name."""
        return next((service for service in self.services if service.name == name), None)
