"""What a process does that was out of touch for so long that tombstones may have been forgotten meanwhile.

A runner's last entry, which says that it is gone, is forgotten after some minutes. A process that did not get
it keeps the entry before it for ever, since no vector can tell it of an entry that nobody holds. After such a
silence it therefore claims nothing, is sent the whole registry, and drops what is not in it.
"""

from __future__ import annotations

from collections.abc import Iterable

import structlog

from ..rpc.generated.ttypes import Entry
from .keys import EXPECTED_LOADS_PREFIX, RUNNER_PREFIX
from .registry import Registry

log = structlog.get_logger()
FORGOTTEN_PREFIXES = (RUNNER_PREFIX, EXPECTED_LOADS_PREFIX)  # keys that come and go; the others stay for ever


class Resync:
    """One comparison of the registry with the whole of another."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._seen: set[str] | None = None

    @property
    def under_way(self) -> bool:
        """Whether entries are being compared."""
        return self._seen is not None

    def begin(self) -> None:
        """From now on another registry's entries come from its first one."""
        self._registry.reset_vector()
        self._seen = set()

    def saw(self, entries: Iterable[Entry]) -> None:
        """The other registry holds these."""
        if self._seen is not None:
            self._seen.update(entry.key for entry in entries)

    def finish(self) -> None:
        """The other registry holds nothing else. One without any runner has just started, and proves
        nothing.
        """
        seen, self._seen = self._seen or set(), None
        if not any(key.startswith(RUNNER_PREFIX) for key in seen):
            return
        for prefix in FORGOTTEN_PREFIXES:
            dropped = self._registry.remove_if(prefix, lambda entry: self._strange(entry, seen))
            if dropped:
                log.info("resync.entries_dropped", prefix=prefix, count=dropped)

    def _strange(self, entry: Entry, seen: set[str]) -> bool:
        return entry.key not in seen and entry.origin != self._registry.origin
