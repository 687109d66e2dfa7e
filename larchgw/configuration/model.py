"""The operator's configuration as frozen dataclasses, which `validation` builds from JSON.

Field names are those of the JSON, which dacite reads from the dataclasses; they are part of the operator's
interface. Where the usual technical term differs, the description of the attribute gives it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

READ_ONLY = "read_only"
WRITING = "writing"
STREAMING = "streaming"
ROUTE_KINDS = (READ_ONLY, WRITING, STREAMING)


@dataclass(frozen=True, slots=True)
class Share:
    """One target of a route with weighted services: it gets requests in proportion to `weight`."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for requests with a given host and path prefix. Times are in milliseconds.

    Attributes:
        name: Unique among the routes.
        hostname: The host, as in the `Host` header.
        path_start: The path prefix; begins and ends with a slash.
        kind: One of ROUTE_KINDS.
        deadline_ms: Deadline of a request, from its arrival.
        target_ms: Latency target; 0 for none.
        rank: Priority class; 0 is the most important.
        service: The target service, unless `shares` is set.
        shares: The target services with their weights, if requests are divided among several.
        tries: Maximum number of attempts of one request, including the first.
        pinned: Whether requests of one client are sent to the same runner (session affinity).
        can_resume: Whether a broken stream may be resumed on another runner.
        gap_aim_ms: Target for the interval between two parts of a stream; 0 for none.
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
        """Returns the target services with their weights; `service` with weight 1 if there are no shares."""
        return self.shares or (Share(self.service, 1.0),)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == READ_ONLY or (self.kind == STREAMING and self.can_resume)


@dataclass(frozen=True, slots=True)
class Model:
    """An inference model that a service can serve.

    Attributes:
        name: Unique among the models of its service.
        weights_mb: Size of its weights.
        load_s: Seconds that a runner takes to load the weights.
        adapters: Number of adapters, which are named a1, a2, ...
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
        slots: Number of requests that one runner decodes concurrently.
        cache_tokens: Size of one runner's KV cache, in tokens.
        token_bytes, link_mbps, stride: Not used by this program.
        models: The models that the service can serve.
        weights_mb: Memory for model weights on one runner.
        adapter_slots: Number of adapters that one runner can hold.
        loads_per_s: Rate limit for loading models from the weight store.
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
        """Returns the model with this name, or None."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable runners.

    Attributes:
        name: Unique among the services.
        max_conns: Maximum number of connections to one runner, shared by all edges; 0 for no limit.
        runtime: The inference engine; None if the service serves no models.
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
    """Limits on the size and duration of clients' requests.

    Attributes:
        header_bytes: Maximum size of the request head.
        body_bytes: Maximum size of the request body.
        header_ms: Time limit for receiving the request head.
        idle_ms: Idle time-out of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the complete configuration.

    Attributes:
        config_version: Version number, from 1; each new version has a higher one.
        routes: In the operator's order.
        services: In the operator's order.
        limits: Apply to all clients.
        raw: The JSON object from which this version was built, including unknown fields.
    """

    config_version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    raw: dict[str, object] = field(default_factory=dict, compare=False, hash=False, repr=False)

    def service(self, name: str) -> Service | None:
        """Returns the service with this name, or None."""
        return next((service for service in self.services if service.name == name), None)
