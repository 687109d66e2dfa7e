"""What the runners of one service can hold, and what loads of its models take."""

from __future__ import annotations

import math

from ..configuration.model import Runtime


class ServiceCapacity:
    """Capacity of one runner of a service, with the service's models by name.

    Attributes:
        runtime: The engine of the service's runners, from the configuration.
        models: The models that the service can serve, by name.
        max_load_s: The longest that a load of one of them takes.
    """

    def __init__(self, runtime: Runtime) -> None:
        """Reads the capacity from the configuration's `runtime`."""
        self.runtime = runtime
        self.models = {model.name: model for model in runtime.models}
        self._max_model_mb = max((model.weights_mb for model in runtime.models), default=0.0)
        self._max_adapter_mb = max((model.adapter_mb for model in runtime.models), default=0.0)
        self.max_load_s = max((model.load_s for model in runtime.models), default=0.0)

    def model_mb(self, name: str) -> float:
        """Returns the size of a model's weights; of one that is not configured, the largest of all."""
        model = self.models.get(name)
        return self._max_model_mb if model is None else model.weights_mb

    def adapter_mb(self, name: str) -> float:
        """Returns the size of one adapter of a model; of an unknown model's, the largest of all."""
        model = self.models.get(name)
        return self._max_adapter_mb if model is None else model.adapter_mb

    @property
    def parallel_loads(self) -> int:
        """Loads at once that the weight store is expected to serve at full speed.

        That is as many as its rate keeps in progress.
        """
        return max(math.ceil(self.runtime.loads_per_s * self.max_load_s), 1)
