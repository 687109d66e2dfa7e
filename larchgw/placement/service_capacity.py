"""Capacity of a service's runners, and sizes and load times of its models."""

from __future__ import annotations

import math

from ..configuration.model import Runtime


class ServiceCapacity:
    """Capacity of one runner of a service, with the service's models by name.

    Attributes:
        runtime: Configuration of the engine of the service's runners.
        models: Models of the service, by name.
        max_load_s: Longest load time of these models.
    """

    def __init__(self, runtime: Runtime) -> None:
        """Reads the capacity from the configuration's `runtime`."""
        self.runtime = runtime
        self.models = {model.name: model for model in runtime.models}
        self._max_model_mb = max((model.weights_mb for model in runtime.models), default=0.0)
        self._max_adapter_mb = max((model.adapter_mb for model in runtime.models), default=0.0)
        self.max_load_s = max((model.load_s for model in runtime.models), default=0.0)

    def model_mb(self, name: str) -> float:
        """Returns the size of a model's weights; for an unknown model, the largest size of all."""
        model = self.models.get(name)
        return self._max_model_mb if model is None else model.weights_mb

    def adapter_mb(self, name: str) -> float:
        """Returns the size of one adapter of a model; for an unknown model, the largest size of all."""
        model = self.models.get(name)
        return self._max_adapter_mb if model is None else model.adapter_mb

    @property
    def parallel_loads(self) -> int:
        """Number of concurrent loads that the weight store is expected to serve at full speed.

        This is the number of loads in progress at its configured rate.
        """
        return max(math.ceil(self.runtime.loads_per_s * self.max_load_s), 1)
