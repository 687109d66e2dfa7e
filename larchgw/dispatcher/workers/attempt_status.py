"""Maps the outcome of a connection to the status of the attempt that it carried."""

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
    # Not expected for a connection with an attempt; if one occurs all the same, the attempt may have run.
    ConnectionOutcome.CLOSED: Status.RESET,
    ConnectionOutcome.IDLE: Status.RESET,
    ConnectionOutcome.SLOW: Status.TIMEOUT,
    ConnectionOutcome.CLOGGED: Status.RESET,
    ConnectionOutcome.STOPPED: Status.RESET,
}


def status_of(ending: ConnectionOutcome, written: bool = True) -> Status:
    """Returns the scheduler's status for an attempt.

    Args:
        ending: Outcome of the connection, or of the attempt on it.
        written: Whether the last byte of the request had been written.
    """
    status = _STATUS[ending]
    if not written and status in (Status.RESET, Status.TIMEOUT):
        return Status.CONNECT_FAILED  # workers start only after the last byte, so the job never ran
    if not written and status == Status.CANCELLED:
        return Status.MOOT  # the job never ran, and the worker is not at fault
    return status
