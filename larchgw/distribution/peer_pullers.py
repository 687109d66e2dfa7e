"""Pulls between control processes: one puller per peer, for all keys."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from .connection import Connect
from .pull_settings import PullSettings
from .puller import Puller
from .registry import Registry

RECONCILE_INTERVAL_S = 0.1  # between two comparisons of the list of peers with the running pullers


class PeerPullers:
    """Keeps one puller running for each peer."""

    def __init__(
        self,
        registry: Registry,
        connect: Connect,
        peers: Callable[[], Sequence[str]],
        settings: PullSettings,
        random_source: random.Random,
        *,
        node_name: str = "",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates it without pullers; `run` starts them.

        Args:
            registry: The registry to merge entries into.
            connect: Opens a connection to an address.
            peers: Returns the RPC addresses of the other control processes.
            settings: Timing of pulls.
            random_source: Randomizes pauses.
            node_name: Name of this process, for the logs of the called processes.
            clock: Monotonic clock in seconds.
        """
        self._registry = registry
        self._connect = connect
        self._peers = peers
        self._settings = settings
        self._random_source = random_source
        self._node_name = node_name
        self._clock = clock
        self._pullers: dict[str, Puller] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Keeps the pullers in line with the list of peers until cancelled."""
        try:
            while True:
                self.reconcile()
                await asyncio.sleep(RECONCILE_INTERVAL_S)
        finally:
            for address in list(self._tasks):
                self._stop(address)

    def reconcile(self) -> None:
        """Starts and stops pullers so that exactly one runs for each current peer."""
        wanted = dict.fromkeys(self._peers())
        for address in [address for address in self._tasks if address not in wanted]:
            self._stop(address)
        for address in wanted:
            if address not in self._tasks or self._tasks[address].done():
                self._start(address)

    def contact_proven_at(self, address: str) -> float | None:
        """Returns the start of the last pull from that peer that was answered completely.

        A time of `clock`; None if there was none. A peer that is itself isolated from the majority counts
        too.
        """
        puller = self._pullers.get(address)
        return puller.contact_proven_at if puller is not None else None

    def _start(self, address: str) -> None:
        puller = Puller(
            self._registry,
            self._connect,
            lambda: [address],
            self._settings,
            self._random_source,
            node_name=self._node_name,
            is_only_source=False,
            clock=self._clock,
        )
        self._pullers[address] = puller
        self._tasks[address] = asyncio.get_running_loop().create_task(puller.run())

    def _stop(self, address: str) -> None:
        self._tasks.pop(address).cancel()
        self._pullers.pop(address, None)
