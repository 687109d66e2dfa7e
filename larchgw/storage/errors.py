"""Errors of the storage. Every message names the file, the problem and the remedy."""

from __future__ import annotations

import errno

FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})
"""Error numbers of a system call that found no space."""

RESTORE_REMEDY = (
    "move the data folder aside and start the process with an empty one, so that it is taken in as a new "
    "replica, or restore the folder from a copy"
)
"""What to do when synced data is damaged: another replica has a copy."""


class StorageError(Exception):
    """Any failure of the storage.

    Attributes:
        path: The file or folder concerned.
        problem: What is wrong with it.
        remedy: What the caller or the operator can do.
    """

    def __init__(self, path: str, problem: str, remedy: str) -> None:
        """Makes the message from the three fields."""
        super().__init__(f"{path}: {problem}; {remedy}")
        self.path = path
        self.problem = problem
        self.remedy = remedy


class DiskFullError(StorageError, OSError):
    """The disk, or the log's limit, has no space left.

    The call that raised it guarantees nothing, and the storage stays usable. It is an OSError, as the ports
    of `larchgw/replication` require: a member then gives up its role and goes on.
    """


class DiskFailedError(StorageError, OSError):
    """The disk refused a call for another reason than space.

    The call that raised it guarantees nothing and may be repeated. It is an OSError for the same reason as
    DiskFullError.
    """


class CompactedRecordsError(StorageError):
    """The records asked for were replaced by a snapshot."""


class CorruptDataError(StorageError):
    """Synced data cannot be read back.

    Attributes:
        offset: Where the damage begins, in bytes from the start of the file.
    """

    def __init__(self, path: str, offset: int, problem: str, remedy: str = RESTORE_REMEDY) -> None:
        """Adds the offset to the problem."""
        super().__init__(path, f"at byte {offset}: {problem}", remedy)
        self.offset = offset


class CorruptLogError(CorruptDataError):
    """A synced record or snapshot is damaged or missing."""


class CorruptCellError(CorruptDataError):
    """Neither copy of a small value can be read."""


def from_os_error(path: str, error: OSError) -> StorageError:
    """Returns the typed error for what a system call on `path` raised."""
    reason = error.strerror or str(error)
    if error.errno in FULL_ERRNOS:
        return DiskFullError(path, reason, "compact the log or free space on the disk, then repeat the call")
    return DiskFailedError(path, reason, "check the disk and the rights of the folder, then repeat the call")
