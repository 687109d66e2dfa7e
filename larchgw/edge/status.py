"""The status report of an edge, as a JSON object for operators and their tools."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..configuration.model import Configuration
from ..distribution.puller import Puller
from ..membership.swim import Swim
from ..routing.retry_budget import RetryBudget
from ..runner_directory.runner_view import RunnerView
from .proxy import Proxy


@dataclass(frozen=True, slots=True)
class EdgeStatus:
    """The parts of an edge that the status report is read from."""

    node_name: str
    is_ready: Callable[[], bool]
    configuration: Callable[[], Configuration | None]
    puller: Puller
    view: RunnerView
    swim: Swim
    proxy: Proxy
    budget: RetryBudget

    def read(self) -> dict[str, Any]:
        """Returns the current status.

        `silent_s` is the time in seconds since a control process that is not isolated last answered.
        """
        configuration, heard = self.configuration(), self.puller.last_heard_at
        dispatchers = max(self.swim.count("edge"), 1)
        now = self.proxy.loop.clock.now()
        return {
            "node_name": self.node_name,
            "ready": self.is_ready(),
            "config_version": configuration.config_version if configuration is not None else 0,
            "control": {
                "source": self.puller.source,
                "changes": self.puller.source_changes,
                "silent_s": None if heard is None else round(time.monotonic() - heard, 3),
            },
            "dispatchers": dispatchers,
            "runners": self._runners(configuration),
            "open_requests": self.proxy.open_count,
            "retries_left": self.budget.remaining_by_service(now, dispatchers),
            "counters": self.proxy.net_counters.nonzero_values(),
        }

    def _runners(self, configuration: Configuration | None) -> dict[str, dict[str, int]]:
        """Returns the number of runners by service and stage."""
        services = configuration.services if configuration is not None else ()
        return {
            service.name: dict(
                Counter(record.stage.name.lower() for record in self.view.by_service(service.name).values())
            )
            for service in services
        }
