"""The outcomes of connections and of the attempts they carry."""

from __future__ import annotations

from enum import Enum


class ConnectionOutcome(Enum):
    """How a connection, or the attempt it carried, ended. Names and values are written to logs."""

    DONE = "the worker completed the job"
    FAILED = "the worker failed the job"
    TURNED_AWAY = "the worker rejected the job or returned it unstarted"
    KILLED = "the worker reported the job as lost"
    REFUSED = "the connection was refused"
    NEVER_UP = "the connection could not be established"
    NEVER_GRABBED = "no Gearman worker grabbed the job"
    NO_SOCKET = "no file descriptor was left for a connection"
    NO_WAY = "the worker supports no protocol that can carry this job"
    BROKE_UNSENT = "the connection broke before the request was completely written"
    BROKE = "the connection broke after the request was completely written"
    CUT_SHORT = "the connection was closed before the end of the response"
    GARBLED = "the received data violates the protocol"
    STRANGER = "the received data names another request"
    SILENT = "nothing was received in time"
    GIVEN_UP = "this process cancelled it"
    WITHDRAWN = "the connection was established after the attempt was withdrawn"
    # Outcomes of connections without an attempt
    CLOSED = "the peer closed the connection between requests"
    IDLE = "the connection was idle for too long"
    SLOW = "the peer was too slow to send a message"
    CLOGGED = "the peer does not read"
    STOPPED = "this process is stopping"
