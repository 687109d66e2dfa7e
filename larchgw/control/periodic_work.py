"""The periodic tasks of a control process."""

from __future__ import annotations

import time

from ..runner_directory.directory import RunnerDirectory
from ..runtime.background_tasks import BackgroundTasks
from .contact_monitor import ContactMonitor, ContactState
from .control_processes import ControlProcesses
from .disk import ControlDisk
from .latest_view import LatestView
from .placer_role import PlacerRole
from .publication import ConfigurationPublisher
from .replicated_log import TICK_S, ReplicatedLog

DIRECTORY_TICK_S = 0.25
CONTACTS_TICK_S = 0.2
RESERVE_TICK_S = 1.0  # compactions are at least a few seconds apart


class PeriodicWork:
    """Runs the periodic tasks of one control process on its event loop."""

    def __init__(
        self,
        replicated_log: ReplicatedLog,
        latest_view: LatestView,
        publisher: ConfigurationPublisher,
        contact_monitor: ContactMonitor,
        directory: RunnerDirectory,
        processes: ControlProcesses,
        placer: PlacerRole,
        disk: ControlDisk,
    ) -> None:
        """Takes the components to call; nothing is called before `start`."""
        self._replicated_log, self._latest_view, self._publisher = replicated_log, latest_view, publisher
        self._contact_monitor, self._directory = contact_monitor, directory
        self._processes, self._placer, self._disk = processes, placer, disk

    def start(self, tasks: BackgroundTasks) -> None:
        """Starts all periodic tasks; they stop with `tasks`."""
        tasks.every("replication", TICK_S, self.tick_replication)
        tasks.every("directory", DIRECTORY_TICK_S, self.tick_directory)
        tasks.every("contacts", CONTACTS_TICK_S, self.update_contacts)
        tasks.every("reserve", RESERVE_TICK_S, self._disk.refill_reserve)

    def tick_replication(self) -> None:
        """Advances the replication member's timers, then publishes the view and the configuration."""
        self._replicated_log.tick()
        self._latest_view.publish()
        self._publisher.tick(time.monotonic())

    def tick_directory(self) -> None:
        """Advances the runner directory; no runner counts as silent while this process rejects check-ins."""
        state = self._contact_monitor.poll()
        self._directory.tick(time.monotonic(), state is ContactState.ISOLATED)

    def update_contacts(self) -> None:
        """Updates the contacts of the replication member, and publishes this process if it is the placer."""
        self._replicated_log.member.set_contacts(self._processes.contacts())
        self._placer.publish_placer()
