"""Which control process puts the committed configuration into the registry, and when."""

from __future__ import annotations

from collections.abc import Callable

from ..configuration.packing import pack
from ..distribution.keys import CONFIGURATION_KEY
from ..distribution.registry import Registry
from .configuration_state import ConfigurationState

BACKUP_PUBLISH_DELAY_S = 0.5  # after which a backup publishes a configuration that the primary has not


class ConfigurationPublisher:
    """Publishes `state`. `is_primary` tells whether this process is the primary with everything it took over
    acknowledged: its state is then the newest.

    The primary publishes at once, or each process would send the same to all; a backup publishes some time
    after it has learned of a commit, should the primary have ended meanwhile. What a start finds on the disk
    is as old as the last snapshot. It is left to the primary: an edge that starts at the same time would
    serve by it.
    """

    def __init__(self, state: ConfigurationState, registry: Registry, is_primary: Callable[[], bool]) -> None:
        self._state, self._registry, self._is_primary = state, registry, is_primary
        self._due_at: float | None = None

    def on_restored(self) -> None:
        """What the state holds by now came from the disk."""
        self._due_at = None

    def on_committed(self, now: float) -> None:
        """The state has changed."""
        self._due_at = now + BACKUP_PUBLISH_DELAY_S
        self.tick(now)

    def tick(self, now: float) -> None:
        """To be called several times in BACKUP_PUBLISH_DELAY_S."""
        if self._is_primary() or (self._due_at is not None and now >= self._due_at):
            self._due_at = None
            self._publish()

    def _publish(self) -> None:
        current, held = self._state.current, self._registry.get(CONFIGURATION_KEY)
        if current is not None and (held is None or held.major < self._state.index):
            self._registry.put(CONFIGURATION_KEY, pack(current.raw), self._state.index)
