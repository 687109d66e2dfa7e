"""The data folder of a control process: the files of its replication member, and reserved disk space."""

from __future__ import annotations

import os

from ..replication.ports import Ports
from ..rpc.generated.ttypes import DiskStatus
from ..storage.cell import Cell
from ..storage.files import FilePort
from ..storage.log import Log
from ..storage.reserve import Reserve

LOG_FOLDER = "log"
DEPARTURES_FOLDER = "departures"  # journal of runners that are draining or have left
DEPARTURES_SEGMENT_BYTES = 256 * 1024
RESERVE_NEVER_FILLED = -1
FREE_BYTES_UNKNOWN = -1  # in the status, if the file system does not report its free space


class ControlDisk:
    """The files under one data folder.

    Attributes:
        folder: Path of the data folder.
        log: The log of the replication member.
        departures: The journal of departed runners; see departure_store.py, which owns it.
        ports: Storage interfaces of the member, which owns them.
        reserve: Reserved space for small values when the disk is full.
    """

    def __init__(self, folder: str, log: Log, departures: Log, reserve: Reserve, ports: Ports) -> None:
        """Wraps recovered files; use `open` to recover them."""
        self.folder, self.log, self.departures, self.ports = folder, log, departures, ports
        self.reserve = reserve
        self._reserve_filled_at_index = RESERVE_NEVER_FILLED  # the log's first index at the last refill

    @classmethod
    def open(cls, files: FilePort, folder: str) -> ControlDisk:
        """Recovers the files of a data folder; creates the folder if it does not exist.

        Raises:
            DiskFullError: There is no space left on the disk.
            DiskFailedError: A disk operation failed.
            CorruptLogError: A record or snapshot is damaged.
            CorruptCellError: A small value is damaged.
        """
        reserve = Reserve(files, folder)
        log = Log.open(files, os.path.join(folder, LOG_FOLDER))
        departures = Log.open(files, os.path.join(folder, DEPARTURES_FOLDER), DEPARTURES_SEGMENT_BYTES)

        def cell(name: str) -> Cell:
            return Cell(files, folder, name, reserve)

        ports = Ports(identity=cell("identity"), witness=cell("witness"), leases=cell("leases"), journal=log)
        return cls(folder, log, departures, reserve, ports)

    def refill_reserve(self) -> None:
        """Refills the reserve at the first call, and whenever a compaction has freed space since then.

        It is not refilled at other times: on a full disk, the refill would compete with the log for the space
        that a cell has just taken from the reserve.
        """
        if self.log.first_index != self._reserve_filled_at_index:
            self._reserve_filled_at_index = self.log.first_index
            self.reserve.refill()

    def status(self) -> DiskStatus:
        """Reports sizes and log indexes of the files."""
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
        file_system = os.statvfs(folder)
    except OSError:
        return FREE_BYTES_UNKNOWN
    return file_system.f_bavail * file_system.f_frsize
