"""Terms that the selection uses, read once from the operator's configuration."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..configuration.model import Configuration, Service

# A model that the runner held before comes back from its own disk in about this share of its load time.
RELOAD_SHARE = 0.2
ORDER_S = 0.3  # from the first request for a model until a runner may begin to load it
QUICKEST_ORDER_S = 0.1  # the same at best
QUEUED_LOADS = 2.0  # that are ahead of a load at the weight store
UNKNOWN_SLOTS = 4  # of a service whose configuration names none, until a runner tells


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """What one service's engines can do.

    Attributes:
        slots: Requests that one runner decodes at a time; 0: the configuration does not tell.
        cache_tokens: Size of one runner's KV cache.
        load_s: Model -> how long a load from the weight store takes.
        loads_per_s: Rate limit of the weight store; 0: none is named.
    """

    slots: int = 0
    cache_tokens: float = 0.0
    load_s: dict[str, float] = field(default_factory=dict)
    loads_per_s: float = 0.0

    def least_load_s(self, model: str) -> float:
        """The shortest time in which a runner without the model may come to hold it."""
        return RELOAD_SHARE * self.load_s.get(model, 0.0)

    @property
    def usual_order_s(self) -> float:
        """How long it usually takes until a load begins, with its turn at the weight store."""
        turn_s = QUEUED_LOADS / self.loads_per_s if self.loads_per_s > 0.0 else 0.0
        return ORDER_S + turn_s

    def quickest_load_s(self, model: str) -> float:
        """How long a load from the weight store takes at least that is not ordered yet."""
        return QUICKEST_ORDER_S + self.load_s.get(model, 0.0)

    def usual_load_s(self, model: str) -> float:
        """How long a load that is not ordered yet usually takes."""
        return self.usual_order_s + self.load_s.get(model, 0.0)


def service_terms(service: Service) -> ServiceTerms:
    """The terms of one service."""
    runtime = service.runtime
    if runtime is None:
        return ServiceTerms()
    return ServiceTerms(
        runtime.slots,
        runtime.cache_tokens,
        {model.name: model.load_s for model in runtime.models},
        runtime.loads_per_s,
    )


def all_terms(configuration: Configuration) -> dict[str, ServiceTerms]:
    """The terms of all services by name."""
    return {service.name: service_terms(service) for service in configuration.services}
