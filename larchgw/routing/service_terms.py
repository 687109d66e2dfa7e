"""Terms that the selection uses, read once from the operator's configuration."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..configuration.model import Configuration, Service

# A model that the runner held before comes back from its own disk in about this share of its load time.
RELOAD_SHARE = 0.2
UNKNOWN_SLOTS = 4  # of a service whose configuration names none, until a runner tells


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """What one service's engines can do. `slots` 0: the configuration does not tell."""

    slots: int = 0
    cache_tokens: float = 0.0
    load_s: dict[str, float] = field(default_factory=dict)

    def least_load_s(self, model: str) -> float:
        """The shortest time in which a runner without the model may come to hold it."""
        return RELOAD_SHARE * self.load_s.get(model, 0.0)


def service_terms(service: Service) -> ServiceTerms:
    """The terms of one service."""
    runtime = service.runtime
    if runtime is None:
        return ServiceTerms()
    return ServiceTerms(
        runtime.slots, runtime.cache_tokens, {model.name: model.load_s for model in runtime.models}
    )


def all_terms(configuration: Configuration) -> dict[str, ServiceTerms]:
    """The terms of all services by name."""
    return {service.name: service_terms(service) for service in configuration.services}
