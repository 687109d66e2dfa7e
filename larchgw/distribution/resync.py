"""Anti-entropy after a time out of touch so long that tombstones may have been removed meanwhile.

A runner's last entry, which says that it is gone (its tombstone), is removed after some minutes. A process
that did not receive it would keep the entry before it for ever, since no version vector covers an entry that
nobody holds. After such a time it therefore resets its vector, is sent the complete registry, and removes
what is not in it.

Source: Dynamo (SOSP 2007), section 4.7, in its simplest form: a comparison of all keys.
"""

from __future__ import annotations

from collections.abc import Iterable

import structlog

from ..rpc.generated.ttypes import Entry
from .keys import EXPECTED_LOADS_PREFIX, RUNNER_PREFIX
from .registry import Registry

log = structlog.get_logger()
REMOVABLE_PREFIXES = (RUNNER_PREFIX, EXPECTED_LOADS_PREFIX)  # keys that come and go; the others stay for ever


class Resync:
    """One comparison of the registry with a complete other one: `start`, `observe` ..., `finish`."""

    def __init__(self, registry: Registry) -> None:
        """Compares `registry` with the one that a puller reads."""
        self._registry = registry
        self._observed_keys: set[str] | None = None  # None: no comparison is running

    @property
    def is_running(self) -> bool:
        """Whether entries are being compared."""
        return self._observed_keys is not None

    def start(self) -> None:
        """Starts, or starts again: from now on another registry's entries come from its first one."""
        self._registry.reset_vector()
        self._observed_keys = set()

    def observe(self, entries: Iterable[Entry]) -> None:
        """Notes that the other registry holds these."""
        if self._observed_keys is not None:
            self._observed_keys.update(entry.key for entry in entries)

    def finish(self) -> None:
        """Drops what the other registry does not hold, after all of its entries were observed.

        A registry without any runner has just started, and proves nothing.
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
