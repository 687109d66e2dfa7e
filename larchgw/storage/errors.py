"""Why the store cannot do what was asked. Every message names the file, the problem and the remedy."""

from __future__ import annotations

import errno

FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


class StorageError(Exception):
    """Any failure of the store. `path` is the file or folder concerned."""

    def __init__(self, path: str, problem: str, remedy: str) -> None:
        super().__init__(f"{path}: {problem}; {remedy}")
        self.path, self.problem, self.remedy = path, problem, remedy


class DiskFullError(StorageError, OSError):
    """There is no room. Nothing was promised by the call that raised it, and the store stays usable.

    An OSError, as the ports of larchgw/replication ask for, so that a member gives up its role and goes on.
    """


class DiskFailedError(StorageError, OSError):
    """The disk refused a call for another reason. Nothing was promised, and the call may be repeated.

    An OSError for the same reason as DiskFullError.
    """


class CompactedRecordsError(StorageError):
    """The records asked for were replaced by a snapshot."""


class CorruptDataError(StorageError):
    """Data that was synced cannot be read back. `offset` is its place in the file, in bytes."""

    def __init__(self, path: str, offset: int, problem: str, remedy: str) -> None:
        super().__init__(path, f"at byte {offset}: {problem}", remedy)
        self.offset = offset


class CorruptLogError(CorruptDataError):
    """A synced record or snapshot is damaged or missing."""

    REMEDY = (
        "move the data folder aside and start the process with an empty one, so that it is taken in as a new "
        "replica, or restore the folder from a copy"
    )

    def __init__(self, path: str, offset: int, problem: str, remedy: str = REMEDY) -> None:
        super().__init__(path, offset, problem, remedy)


class CorruptCellError(CorruptDataError):
    """Neither copy of a small value can be read."""

    REMEDY = CorruptLogError.REMEDY

    def __init__(self, path: str, offset: int, problem: str, remedy: str = REMEDY) -> None:
        super().__init__(path, offset, problem, remedy)


def from_os_error(path: str, error: OSError) -> StorageError:
    """The typed form of what a system call raised."""
    reason = error.strerror or str(error)
    if error.errno in FULL_ERRNOS:
        return DiskFullError(path, reason, "compact the log or free space on the disk, then repeat the call")
    return DiskFailedError(path, reason, "check the disk and the rights of the folder, then repeat the call")
