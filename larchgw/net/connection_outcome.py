"""The outcomes of connections and of the attempts they carry."""

from __future__ import annotations

from enum import Enum


class ConnectionOutcome(Enum):
    """How a connection, or the attempt it carried, ended. Names and values appear in logs and error responses."""

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
    # Outcomes of connections without an attempt
    CLOSED = "the other side closed it between requests"
    IDLE = "it stood idle for too long"
    SLOW = "the other side was too slow with a message"
    CLOGGED = "the other side does not read"
    STOPPED = "we stop"
