"""What the end of a connection means for the attempt that it carried."""

from __future__ import annotations

from ...net.connection_outcome import ConnectionOutcome
from ..scheduling.interface import Status

_STATUS = {
    ConnectionOutcome.DONE: Status.OK,
    ConnectionOutcome.FAILED: Status.ERROR,
    ConnectionOutcome.TURNED_AWAY: Status.FULL,
    ConnectionOutcome.KILLED: Status.RESET,
    ConnectionOutcome.REFUSED: Status.CONNECT_FAILED,
    ConnectionOutcome.NEVER_UP: Status.CONNECT_FAILED,
    ConnectionOutcome.NEVER_GRABBED: Status.CONNECT_FAILED,
    ConnectionOutcome.NO_SOCKET: Status.MOOT,
    ConnectionOutcome.NO_WAY: Status.FULL,
    ConnectionOutcome.BROKE_UNSENT: Status.CONNECT_FAILED,
    ConnectionOutcome.BROKE: Status.RESET,
    ConnectionOutcome.CUT_SHORT: Status.RESET,
    ConnectionOutcome.GARBLED: Status.RESET,
    ConnectionOutcome.STRANGER: Status.RESET,
    ConnectionOutcome.SILENT: Status.TIMEOUT,
    ConnectionOutcome.GIVEN_UP: Status.CANCELLED,
    ConnectionOutcome.WITHDRAWN: Status.MOOT,
    # Should one of these meet an attempt all the same, it may have run.
    ConnectionOutcome.CLOSED: Status.RESET,
    ConnectionOutcome.IDLE: Status.RESET,
    ConnectionOutcome.SLOW: Status.TIMEOUT,
    ConnectionOutcome.CLOGGED: Status.RESET,
    ConnectionOutcome.STOPPED: Status.RESET,
}


def status_of(ending: ConnectionOutcome, written: bool = True) -> Status:
    """The scheduler's status of an attempt.

    Args:
        ending: How the connection, or the attempt on it, ended.
        written: Whether the request's last byte had been written.
    """
    status = _STATUS[ending]
    if not written and status in (Status.RESET, Status.TIMEOUT):
        return Status.CONNECT_FAILED  # a worker begins with the last byte: without it, the job never ran
    if not written and status == Status.CANCELLED:
        return Status.MOOT  # nor was it the worker's fault
    return status
