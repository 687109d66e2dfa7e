"""Publication of the committed configuration in the registry."""

from __future__ import annotations

import time
from collections.abc import Callable

from ..configuration.model import Configuration
from ..configuration.packing import pack
from ..distribution.keys import CONFIGURATION_KEY
from ..distribution.registry import Registry
from .configuration_state import ConfigurationState

BACKUP_PUBLISH_DELAY_S = 0.5  # after this, a backup publishes a configuration that the primary has not


class ConfigurationPublisher:
    """Publishes the configuration of a replica's state in the registry.

    The primary publishes at once. A backup publishes only some time after it has learned of a commit, in case
    the primary has failed; if all published at once, each process would send the same entry to all others.

    The state recovered from disk at startup is only as new as the last snapshot, so a backup does not publish
    it: an edge that starts at the same time would serve requests with an outdated configuration.

    All times are seconds on one monotonic clock.
    """

    def __init__(self, state: ConfigurationState, registry: Registry, is_primary: Callable[[], bool]) -> None:
        """Publishes `state` in `registry`.

        Args:
            state: The replicated state of this process.
            registry: Where the configuration is published.
            is_primary: Whether this process is the primary and all records that it took over are committed;
                its state is then the newest.
        """
        self._state, self._registry, self._is_primary = state, registry, is_primary
        self._due_at: float | None = None

    def on_restored(self) -> None:
        """Called after the state was recovered from disk; a backup does not publish that state."""
        self._due_at = None

    def on_committed(self, now: float) -> None:
        """Called after a commit has changed the state."""
        self._due_at = now + BACKUP_PUBLISH_DELAY_S
        self.tick(now)

    def tick(self, now: float) -> None:
        """Publishes the state if this is due; call it several times per BACKUP_PUBLISH_DELAY_S."""
        if self._is_primary() or (self._due_at is not None and now >= self._due_at):
            self._due_at = None
            self._publish()

    def _publish(self) -> None:
        current, published = self._state.current, self._registry.get(CONFIGURATION_KEY)
        if current is not None and (published is None or published.major < self._state.record_index):
            self._registry.put(CONFIGURATION_KEY, pack(current.raw), self._state.record_index)


class ConfigurationPropagation:
    """Passes a changed configuration to the placer of this process, then to the publisher."""

    def __init__(
        self,
        state: ConfigurationState,
        configure: Callable[[Configuration], None],
        publisher: ConfigurationPublisher,
    ) -> None:
        """Reads `state` at each change; `configure` passes the configuration to the placer."""
        self._state, self._configure, self._publisher = state, configure, publisher

    def on_state_changed(self) -> None:
        """Called when the replicated state has changed; it may not contain a configuration yet."""
        current = self._state.current
        if current is None:
            return
        self._configure(current)
        self._publisher.on_committed(time.monotonic())
