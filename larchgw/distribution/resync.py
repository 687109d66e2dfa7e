"""Anti-entropy after a disconnection so long that tombstones may have been removed meanwhile.

The last entry of a runner, which marks it as gone (its tombstone), is removed after some minutes. A process
that missed the tombstone would keep the runner's previous entry forever, because an entry that no process
holds is never sent again. After a long disconnection, a process therefore resets its vector, reads the
complete registry of another process, and removes the entries that are not in it.

Source: Dynamo (SOSP 2007), section 4.7, in its simplest form: a comparison of all keys.
"""

from __future__ import annotations

from collections.abc import Iterable

import structlog

from ..rpc.generated.ttypes import Entry
from .keys import EXPECTED_LOADS_PREFIX, RUNNER_PREFIX
from .registry import Registry

log = structlog.get_logger()
REMOVABLE_PREFIXES = (RUNNER_PREFIX, EXPECTED_LOADS_PREFIX)  # entries of all other kinds are never removed


class Resync:
    """Compares the registry with another complete one: `start`, `observe` for each reply, then `finish`."""

    def __init__(self, registry: Registry) -> None:
        """Creates a comparison of `registry` with the registry that a puller reads."""
        self._registry = registry
        self._observed_keys: set[str] | None = None  # None: no comparison is running

    @property
    def is_running(self) -> bool:
        """Whether a comparison is running."""
        return self._observed_keys is not None

    def start(self) -> None:
        """Starts or restarts a comparison; the next replies send the other registry from its beginning."""
        self._registry.reset_vector()
        self._observed_keys = set()

    def observe(self, entries: Iterable[Entry]) -> None:
        """Records that the other registry holds these entries."""
        if self._observed_keys is not None:
            self._observed_keys.update(entry.key for entry in entries)

    def finish(self) -> None:
        """Drops entries that the other registry does not hold, after all of its entries were observed.

        Nothing is dropped if the other registry contains no runner, because its process has just started.
        """
        observed_keys, self._observed_keys = self._observed_keys or set(), None
        if not any(key.startswith(RUNNER_PREFIX) for key in observed_keys):
            return
        for prefix in REMOVABLE_PREFIXES:
            dropped = self._registry.remove_if(
                prefix, lambda entry: self._is_absent_elsewhere(entry, observed_keys)
            )
            if dropped:
                log.info("resync.entries_dropped", prefix=prefix, count=dropped)

    def _is_absent_elsewhere(self, entry: Entry, observed_keys: set[str]) -> bool:
        return entry.key not in observed_keys and entry.origin != self._registry.origin
