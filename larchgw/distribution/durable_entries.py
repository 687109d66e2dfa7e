"""The interface to a process's durable copies of registry entries."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from ..rpc.generated.ttypes import Entry


class DurableEntries(Protocol):
    """Durable copies of those entries that must survive a restart of all processes."""

    async def make_durable(self, entries: Sequence[Entry]) -> bool:
        """Waits until those among the entries that need it are durable; returns whether they are."""
