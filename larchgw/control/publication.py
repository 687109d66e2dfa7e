"""Which control process puts the committed configuration into the registry, and when."""

from __future__ import annotations

import time
from collections.abc import Callable

from ..configuration.model import Configuration
from ..configuration.packing import pack
from ..distribution.keys import CONFIGURATION_KEY
from ..distribution.registry import Registry
from .configuration_state import ConfigurationState

BACKUP_PUBLISH_DELAY_S = 0.5  # after which a backup publishes a configuration that the primary has not


class ConfigurationPublisher:
    """Publishes the configuration of a replica's state in the registry.

    The primary publishes at once, or each process would send the same to all; a backup publishes some time
    after it has learned of a commit, should the primary have ended meanwhile. What a start finds on the disk
    is as old as the last snapshot. It is left to the primary: an edge that starts at the same time would
    serve by it.

    All times are seconds on one monotonic clock.
    """

    def __init__(self, state: ConfigurationState, registry: Registry, is_primary: Callable[[], bool]) -> None:
        """Publishes `state` in `registry`.

        Args:
            state: The replicated state of this process.
            registry: Where the configuration is published.
            is_primary: Whether this process is the primary with everything that it took over acknowledged:
                its state is then the newest.
        """
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
        current, published = self._state.current, self._registry.get(CONFIGURATION_KEY)
        if current is not None and (published is None or published.major < self._state.record_index):
            self._registry.put(CONFIGURATION_KEY, pack(current.raw), self._state.record_index)


class ConfigurationPropagation:
    """Hands the configuration of a changed state to the placer of this process, then to the publisher."""

    def __init__(
        self,
        state: ConfigurationState,
        configure: Callable[[Configuration], None],
        publisher: ConfigurationPublisher,
    ) -> None:
        """Reads `state` at each change; `configure` is the placer's."""
        self._state, self._configure, self._publisher = state, configure, publisher

    def on_state_changed(self) -> None:
        """The replicated state has changed; it may hold no configuration yet."""
        current = self._state.current
        if current is None:
            return
        self._configure(current)
        self._publisher.on_committed(time.monotonic())
