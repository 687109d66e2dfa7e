"""The data folder of a control process: the files of its replication member, and room kept in reserve."""

from __future__ import annotations

import os

from ..replication.ports import Ports
from ..rpc.generated.ttypes import DiskStatus
from ..storage.cell import Cell
from ..storage.files import FilePort
from ..storage.log import Log
from ..storage.reserve import Reserve

LOG_FOLDER = "log"
NEVER_KEPT = -1
NOT_TOLD = -1  # free bytes where the file system gives no figure


class ControlDisk:
    """What stands under one data folder. `ports` are for the member, which owns them."""

    def __init__(self, folder: str, log: Log, reserve: Reserve, ports: Ports) -> None:
        """Use ControlDisk.open."""
        self.folder, self.log, self.ports = folder, log, ports
        self.reserve = reserve
        self._kept_at = NEVER_KEPT  # first index of the log when the reserve was last filled up

    @classmethod
    def open(cls, files: FilePort, folder: str) -> ControlDisk:
        """Recovers the files. Raises DiskFullError, DiskFailedError, CorruptLogError and CorruptCellError."""
        reserve = Reserve(files, folder)
        log = Log.open(files, os.path.join(folder, LOG_FOLDER))

        def cell(name: str) -> Cell:
            return Cell(files, folder, name, reserve)

        ports = Ports(identity=cell("identity"), witness=cell("witness"), leases=cell("leases"), journal=log)
        return cls(folder, log, reserve, ports)

    def refill_reserve(self) -> None:
        """Fills the reserve up at the first call, and whenever a compaction has freed room since.

        At no other time: room that a cell has taken from the reserve on a full disk would be fought over
        with the log.
        """
        if self.log.first_index != self._kept_at:
            self._kept_at = self.log.first_index
            self.reserve.refill()

    def status(self) -> DiskStatus:
        """Figures for people to look at."""
        return DiskStatus(
            log_bytes=self.log.size_bytes,
            first_index=self.log.first_index,
            last_index=self.log.last_index,
            durable_index=self.log.durable_index,
            free_bytes=_free_bytes(self.folder),
            has_reserve=self.reserve.is_allocated(),
        )


def _free_bytes(folder: str) -> int:
    try:
        figures = os.statvfs(folder)
    except OSError:
        return NOT_TOLD
    return figures.f_bavail * figures.f_frsize
