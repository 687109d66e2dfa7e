"""The expected completion times of ordered model loads, as published by the placer."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from ..distribution.keys import EXPECTED_LOADS_PREFIX
from ..distribution.registry import Registry
from ..rpc.generated.ttypes import Entry

STALE_AFTER_S = 10.0  # a load overdue by this much is no longer expected


class ExpectedLoads:
    """By runner, maps "model" or "model/adapter" to the expected end of its load, in `clock` time."""

    def __init__(self, registry: Registry, clock: Callable[[], float] = time.monotonic) -> None:
        """Reads the entries of the registry and watches for updates."""
        self._clock = clock
        self._by_runner: dict[str, dict[str, float]] = {}
        for entry in registry.items(EXPECTED_LOADS_PREFIX):
            self._update(entry)
        registry.watch(EXPECTED_LOADS_PREFIX, self._update)

    def expected(self, model: str, adapter: str) -> dict[str, float]:
        """Returns, by runner, when it is expected to hold the model, and the adapter if one is given."""
        name = f"{model}/{adapter}" if adapter else model
        oldest = self._clock() - STALE_AFTER_S
        found = {runner: names[name] for runner, names in self._by_runner.items() if name in names}
        return {runner: at for runner, at in found.items() if at > oldest}

    def _update(self, entry: Entry) -> None:
        runner = entry.key.removeprefix(EXPECTED_LOADS_PREFIX)
        now = self._clock()
        # A negative time means that it is being unloaded.
        times = {name: now + ms / 1000.0 for name, ms in json.loads(entry.value).items() if ms >= 0}
        if times:
            self._by_runner[runner] = times
        else:
            self._by_runner.pop(runner, None)
