"""Every way in which a connection, or what it carries, can end, and what that means to the module."""

from __future__ import annotations

from enum import Enum

from ..dispatcher.scheduling.interface import Status


class ConnectionOutcome(Enum):
    """How a connection ended, or the attempt that it carried."""

    DONE = "the box served it"
    FAILED = "the box failed it"
    TURNED_AWAY = "the box turned it away or handed it back unstarted"
    KILLED = "the box says that the job was lost"
    REFUSED = "the connection was refused"
    NEVER_UP = "the connection never came up"
    NEVER_GRABBED = "no worker of the box grabbed the job"
    NO_SOCKET = "no descriptor was left for a connection"
    NO_WAY = "nothing that the box speaks carries this job"
    BROKE_UNSENT = "it broke before the request's last byte was written"
    BROKE = "it broke after the request's last byte was written"
    CUT_SHORT = "it was closed in order, but before the last line"
    GARBLED = "what came is not of the protocol"
    STRANGER = "what came names another request"
    SILENT = "nothing came in time"
    GIVEN_UP = "we cancelled it"
    WITHDRAWN = "its connection came up when it was no longer to be sent"
    # Ends of connections that carry no attempt
    CLOSED = "the other side closed it between requests"
    IDLE = "it stood idle for too long"
    SLOW = "the other side was too slow with a message"
    CLOGGED = "the other side does not read"
    STOPPED = "we stop"


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
    """The module's outcome; `written`: whether the request's last byte had been written."""
    status = _STATUS[ending]
    if not written and status in (Status.RESET, Status.TIMEOUT):
        return Status.CONNECT_FAILED  # a runner begins with the last byte: without it, it never ran
    if not written and status == Status.CANCELLED:
        return Status.MOOT  # nor was it its worker's fault
    return status
