"""The data folder of a control process: the files of its replication member, and room kept in reserve."""

from __future__ import annotations

import os

from ..replication.ports import Ports
from ..storage.cell import Cell
from ..storage.files import FilePort
from ..storage.log import Log
from ..storage.reserve import Reserve

LOG_FOLDER = "log"
NEVER_KEPT = -1


class ControlDisk:
    """What stands under one data folder. `ports` are for the member, which owns them."""

    def __init__(self, folder: str, log: Log, reserve: Reserve, ports: Ports) -> None:
        """Use ControlDisk.open."""
        self.folder, self.log, self.ports = folder, log, ports
        self._reserve = reserve
        self._kept_at = NEVER_KEPT  # first index of the log when the reserve was last filled up

    @classmethod
    def open(cls, files: FilePort, folder: str) -> ControlDisk:
        """Recovers the files. Raises DiskFull, DiskFailed, CorruptLog and CorruptCell."""
        reserve = Reserve(files, folder)
        log = Log.open(files, os.path.join(folder, LOG_FOLDER))

        def cell(name: str) -> Cell:
            return Cell(files, folder, name, reserve)

        ports = Ports(identity=cell("identity"), witness=cell("witness"), leases=cell("leases"), journal=log)
        return cls(folder, log, reserve, ports)

    def keep_reserve(self) -> None:
        """Fills the reserve up at the first call, and whenever a compaction has freed room since.

        At no other time: room that a cell has taken from the reserve on a full disk would be fought over
        with the log.
        """
        if self.log.first_index != self._kept_at:
            self._kept_at = self.log.first_index
            self._reserve.refill()
