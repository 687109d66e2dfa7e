"""Errors of the storage package. Every message names the file, the problem and the remedy."""

from __future__ import annotations

import errno

FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})
"""Error numbers of system calls that mean that there is no space."""

RESTORE_REMEDY = (
    "move the data folder aside and start the process with an empty one, so that it joins as a new replica, "
    "or restore the folder from a copy"
)
"""The remedy for damaged synced data, of which another replica has a copy."""


class StorageError(Exception):
    """Base of the errors of this package.

    Attributes:
        path: The file or folder.
        problem: What is wrong with it.
        remedy: What the caller or the operator can do.
    """

    def __init__(self, path: str, problem: str, remedy: str) -> None:
        """Builds the message from the three attributes."""
        super().__init__(f"{path}: {problem}; {remedy}")
        self.path = path
        self.problem = problem
        self.remedy = remedy


class DiskFullError(StorageError, OSError):
    """The disk is full, or the log has reached its limit.

    The call that raised it has no guaranteed effect, and the storage stays usable. It is an OSError, as the
    ports of `larchgw/replication` require: a member then gives up its role and continues to run.
    """


class DiskFailedError(StorageError, OSError):
    """A call to the disk failed for another reason than lack of space.

    The call that raised it has no guaranteed effect and may be repeated. It is an OSError for the same reason
    as DiskFullError.
    """


class CompactedRecordsError(StorageError):
    """A snapshot has replaced the requested records."""


class CorruptDataError(StorageError):
    """Synced data cannot be read back.

    Attributes:
        offset: Start of the damage, in bytes from the start of the file.
    """

    def __init__(self, path: str, offset: int, problem: str, remedy: str = RESTORE_REMEDY) -> None:
        """Includes the offset in the problem."""
        super().__init__(path, f"at byte {offset}: {problem}", remedy)
        self.offset = offset


class CorruptLogError(CorruptDataError):
    """A synced record or snapshot is damaged or missing."""


class CorruptCellError(CorruptDataError):
    """Neither copy of a cell's value can be read."""


def from_os_error(path: str, error: OSError) -> StorageError:
    """Converts the error of a system call on `path` to an error of this package."""
    reason = error.strerror or str(error)
    if error.errno in FULL_ERRNOS:
        return DiskFullError(path, reason, "compact the log or free space on the disk, then repeat the call")
    return DiskFailedError(path, reason, "check the disk and the rights of the folder, then repeat the call")
