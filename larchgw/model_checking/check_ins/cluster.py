"""A simulated cluster of control processes, edges and runners on one network."""

from __future__ import annotations

import asyncio
from random import Random

from .invariants import InvariantChecker
from .network import Network, RunnerCall
from .processes import ControlProcess, Edge, Runner

EDGES, RUNNERS = 3, 5


class SimulatedCluster:
    """The processes of one run; all random choices derive from the seed.

    Attributes:
        survive: Number of control processes whose simultaneous loss is tolerated.
        checks: Checks the invariants of the run.
    """

    def __init__(self, seed: int, control_processes: int) -> None:
        """Creates the processes without starting them."""
        self.random = Random(seed)
        self.network = Network(self.random)
        self.survive = (control_processes - 1) // 2
        names = [f"control{number}" for number in range(control_processes)]
        self.control = [
            ControlProcess(name, names, self.network, self.random, self._on_acknowledged) for name in names
        ]
        self.edges = [Edge(f"edge{number}", names, self.network, self.random) for number in range(EDGES)]
        self.runners = [
            Runner(f"runner{number}", names, self.network, self.random) for number in range(RUNNERS)
        ]
        self.checks = InvariantChecker(self.control, self.edges, self.network)
        self._running: list[asyncio.Task[None]] = []
        self._version = 0

    @property
    def processes(self) -> list[ControlProcess | Edge]:
        """All control processes and edges."""
        return [*self.control, *self.edges]

    def start(self) -> None:
        """Starts all processes and runners."""
        for process in self.processes:
            process.start()
        self._running = [asyncio.ensure_future(runner.run()) for runner in self.runners]

    async def end(self) -> None:
        """Stops all processes and runners."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        for process in self.processes:
            await process.end()

    def configure(self) -> None:
        """Publishes a new configuration version at a control process that is not isolated, if any."""
        able = [
            process
            for process in self.control
            if not process.contact.is_isolated() and not self.network.is_frozen(process.name)
        ]
        if not able:
            return
        self._version += 1
        self.random.choice(able).configure(self._version)

    def observe(self) -> None:
        """Persists the configurations that control processes received, and records the cluster's state."""
        for process in self.control:
            process.store_published_configuration()
        self.checks.observe()

    def acknowledged_calls(self) -> int:
        """Returns the number of acknowledged runner calls."""
        return sum(runner.acknowledged for runner in self.runners)

    def _on_acknowledged(self, control_process: str, call: RunnerCall) -> None:
        self.checks.observe_acknowledgement(control_process, call)
