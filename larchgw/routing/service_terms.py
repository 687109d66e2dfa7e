"""Slots, cache sizes and load times of services, read from the operator's configuration."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..configuration.model import Configuration, Service

# Approximate share of its load time that a model takes if the runner has held it before and reloads it from
# its local disk.
RELOAD_SHARE = 0.2
# Typical time from the first request for a model until a runner starts to load it.
TYPICAL_ORDER_DELAY_S = 0.3
MIN_ORDER_DELAY_S = 0.1  # the minimum of that time
QUEUED_LOADS = 2.0  # typical number of loads ahead of a new one at the weight store
DEFAULT_SLOTS = 4  # if the configuration has none and the runner has not reported its slots


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """Capacity and load times of one service's runners.

    Attributes:
        slots: Requests that one runner decodes concurrently; 0 if not configured.
        cache_tokens: Capacity of one runner's KV cache, in tokens.
        load_s: Model -> duration of a load from the weight store.
        loads_per_s: Rate limit of the weight store; 0 if not configured.
    """

    slots: int = 0
    cache_tokens: float = 0.0
    load_s: dict[str, float] = field(default_factory=dict)
    loads_per_s: float = 0.0

    def min_load_s(self, model: str) -> float:
        """Returns the minimum time to load the model at a runner that does not have it (from local disk)."""
        return RELOAD_SHARE * self.load_s.get(model, 0.0)

    @property
    def typical_order_delay_s(self) -> float:
        """Typical time until a load starts, including the queue at the weight store."""
        queue_s = QUEUED_LOADS / self.loads_per_s if self.loads_per_s > 0.0 else 0.0
        return TYPICAL_ORDER_DELAY_S + queue_s

    def min_store_load_s(self, model: str) -> float:
        """Returns the minimum time until a load from the weight store completes that is not ordered yet."""
        return MIN_ORDER_DELAY_S + self.load_s.get(model, 0.0)

    def typical_load_s(self, model: str) -> float:
        """Returns the typical time until a load completes that is not ordered yet."""
        return self.typical_order_delay_s + self.load_s.get(model, 0.0)


def service_terms(service: Service) -> ServiceTerms:
    """Returns the terms of one service."""
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
    """Returns the terms of all services by name."""
    return {service.name: service_terms(service) for service in configuration.services}
