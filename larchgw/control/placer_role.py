"""The placer role: this process places models while it holds the lease of that singleton role."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from random import Random

from ..configuration.model import Configuration
from ..distribution.keys import EXPECTED_LOADS_PREFIX, RUNNER_PREFIX
from ..distribution.placer_entry import publish_placer
from ..distribution.registry import Registry
from ..identifiers import RunnerId
from ..placement.model import PlacementSettings
from ..placement.orders import OrderClient
from ..placement.service import PlacementService
from ..placement.service_runtime import OrderPermits, PlacementRuntime
from ..placement.summary import PlacementSummary
from ..replication.lease import Lease
from ..rpc.generated.ttypes import DemandReport
from ..runner_directory.directory import RunnerDirectory
from .order_permits import PLACER_LEASE


class PlacerRole:
    """Connects the placement service with the lease, the registry and the runner directory.

    `start` must be called before any other method.
    """

    service: PlacementService

    def __init__(
        self,
        own_address: str,
        lease: Callable[[str], Lease | None],
        permits: OrderPermits,
        registry: Registry,
        directory: RunnerDirectory,
        settings: PlacementSettings,
        random_source: Random,
    ) -> None:
        """Prepares the role; nothing runs before `start`.

        Args:
            own_address: RPC address of this process, which identifies it in orders and in the registry.
            lease: Returns the lease of a given name while this process holds it.
            permits: Decides when an order may be sent to a runner.
            registry: Where the placer and its expected loads are published.
            directory: The runners.
            settings: Limits of placement.
            random_source: Breaks ties between plans.
        """
        self._own_address, self._lease, self._permits = own_address, lease, permits
        self._registry, self._directory = registry, directory
        self._settings, self._random_source = settings, random_source
        self._expected_loads_serial = 0

    def start(self) -> None:
        """Creates the service, which needs a running event loop, and starts watching the runners."""
        self.service = PlacementService(
            PlacementRuntime(
                clock=time.monotonic,
                lease=self.current_lease,
                expected_loads=self.expected_loads,
                permits=self._permits,
                calls=OrderClient(self._own_address),
                publish=self.publish_expected_loads,
                random_source=self._random_source,
                settings=self._settings,
            )
        )
        self._registry.watch(
            RUNNER_PREFIX, lambda entry: self._update_runner(entry.key.removeprefix(RUNNER_PREFIX))
        )

    async def run(self) -> None:
        """Runs until cancelled, and places models whenever this process holds the lease."""
        await self.service.run()

    def configure(self, configuration: Configuration) -> None:
        """Replaces the configuration that placement uses."""
        self.service.configure(configuration)

    def receive_demand_report(self, report: DemandReport) -> None:
        """Records the demand that a dispatcher reports."""
        self.service.receive_demand_report(report)

    def summary(self) -> PlacementSummary | None:
        """Summarizes the placement; None unless this process holds the lease."""
        return self.service.summary()

    def current_lease(self) -> Lease | None:
        """Returns the placer lease while this process holds it, otherwise None."""
        return self._lease(PLACER_LEASE)

    def publish_placer(self) -> None:
        """Publishes this process as the placer if it holds the lease."""
        lease = self.current_lease()
        if lease is not None:
            publish_placer(self._registry, self._own_address, lease.fencing_token)

    def publish_expected_loads(self, runner_id: str, names: dict[str, float]) -> None:
        """Publishes the models that a runner is expected to hold soon; see PlacementRuntime.publish.

        Args:
            runner_id: Id of the runner.
            names: Milliseconds until each model, or "model/adapter", is usable on the runner.
        """
        lease = self.current_lease()
        if lease is None:
            return
        self._expected_loads_serial += 1
        self._registry.put(
            EXPECTED_LOADS_PREFIX + runner_id,
            json.dumps(names).encode(),
            lease.fencing_token,
            self._expected_loads_serial,
        )

    def expected_loads(self, runner_id: RunnerId) -> list[str]:
        """Returns the models that a placer has published as loading on a runner and not withdrawn."""
        entry = self._registry.get(EXPECTED_LOADS_PREFIX + runner_id)
        if entry is None:
            return []
        return [name for name, remaining_ms in json.loads(entry.value).items() if remaining_ms >= 0.0]

    def _update_runner(self, runner_id: str) -> None:
        record = self._directory.get(runner_id)
        if record is not None:
            self.service.update_runner(record)
