"""What a control process does again and again while it runs."""

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
RESERVE_TICK_S = 1.0  # compactions are at least some seconds apart


class PeriodicWork:
    """The ticks of one control process, on its event loop."""

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
        """Takes the parts that have to be called; nothing is called before `start`."""
        self._replicated_log, self._latest_view, self._publisher = replicated_log, latest_view, publisher
        self._contact_monitor, self._directory = contact_monitor, directory
        self._processes, self._placer, self._disk = processes, placer, disk

    def start(self, tasks: BackgroundTasks) -> None:
        """Begins all ticks as tasks, which end with `tasks`."""
        tasks.every("replication", TICK_S, self.tick_replication)
        tasks.every("directory", DIRECTORY_TICK_S, self.tick_directory)
        tasks.every("contacts", CONTACTS_TICK_S, self.update_contacts)
        tasks.every("reserve", RESERVE_TICK_S, self._disk.refill_reserve)

    def tick_replication(self) -> None:
        """Lets time pass for the replication member, and publishes what came of it."""
        self._replicated_log.tick()
        self._latest_view.publish()
        self._publisher.tick(time.monotonic())

    def tick_directory(self) -> None:
        """Lets time pass for the runners; nobody counts as silent while this process turns runners away."""
        state = self._contact_monitor.poll()
        self._directory.tick(time.monotonic(), state is ContactState.ISOLATED)

    def update_contacts(self) -> None:
        """Tells the replication member whom it may ask, and the others who is the placer."""
        self._replicated_log.member.set_contacts(self._processes.contacts())
        self._placer.publish_placer()
