"""How a runner's machine is noticed that says nothing any more, and not one that only reads slowly.

The kernel ends a connection of which bytes stay unacknowledged for TCP_USER_TIMEOUT. It counts probes of a
closed window too, answered or not: a runner that is alive and reads nothing of a long body would be given up.
So until a long request is delivered the kernel is told to wait, and what stays unanswered is looked at here.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

# A machine without power says nothing: its connections must fail well before clients give up (2 s and more).
USER_TIMEOUT_MS = 1500  # for bytes to be acknowledged
KEEPALIVE_IDLE_S = 1  # of silence, before the kernel asks whether the other side is there ...
KEEPALIVE_INTERVAL_S = 1  # ... and again
LONG_REQUEST_BYTES = 65536  # a receiver's first window: what is longer may meet a closed one
LOOK_S = 0.5  # between two looks at a connection that carries a long request
# Probes or retransmissions without an answer in a row: at the kernel's pace, 0.2 s and twice as long each
# time, the third goes out after 1.4 s.
MOST_UNANSWERED = 3
_TCP_INFO_BYTES = 8
_RETRANSMITS, _PROBES = 2, 3  # bytes of `struct tcp_info`


def watch_by_kernel(sock: socket.socket) -> None:
    """The kernel ends the connection once the other side leaves bytes or probes unanswered."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def watch_by_looks(sock: socket.socket) -> None:
    """The kernel waits; call `is_dead` each LOOK_S."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)


def is_dead(sock: socket.socket) -> bool:
    """Whether the other side's kernel leaves bytes or probes unanswered."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    return max(info[_RETRANSMITS], info[_PROBES]) >= MOST_UNANSWERED


def undelivered(sock: socket.socket) -> int:
    """Bytes that the other side's kernel has not acknowledged."""
    count: int = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0]
    return count
