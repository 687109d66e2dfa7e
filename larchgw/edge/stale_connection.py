"""Detects that a runner's machine no longer answers, apart from a runner that only reads slowly.

The kernel ends a connection of which bytes stay unacknowledged for TCP_USER_TIMEOUT. It counts probes of a
closed window too, answered or not: a runner that is alive and reads nothing of a long body would be given up.
So until a long request is delivered the kernel is told to wait, and unanswered packets are polled for here.

Source: tcp(7), TCP_USER_TIMEOUT and TCP_INFO; RFC 5482.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

# A machine without power says nothing: its connections must fail well before clients give up (2 s and more).
USER_TIMEOUT_MS = 1500  # for bytes to be acknowledged
KEEPALIVE_IDLE_S = 1  # without a byte, before the kernel probes the other side
KEEPALIVE_INTERVAL_S = 1  # between probes
LONG_REQUEST_BYTES = 65536  # a receiver's first window: what is longer may meet a closed one
POLL_S = 0.5  # between two checks of a connection that carries a long request
# Probes or retransmissions without an answer in a row: at the kernel's pace, 0.2 s and twice as long each
# time, the third goes out after 1.4 s.
MAX_UNANSWERED = 3
_TCP_INFO_BYTES = 8
_RETRANSMITS, _PROBES = 2, 3  # bytes of `struct tcp_info`


def watch_by_kernel(sock: socket.socket) -> None:
    """Has the kernel end the connection once the other side leaves bytes or probes unanswered."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def watch_by_polling(sock: socket.socket) -> None:
    """Has the kernel wait; the caller polls `is_dead` each POLL_S."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)


def is_dead(sock: socket.socket) -> bool:
    """Whether the other side's kernel leaves bytes or probes unanswered."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    return max(info[_RETRANSMITS], info[_PROBES]) >= MAX_UNANSWERED


def undelivered_bytes(sock: socket.socket) -> int:
    """Returns the bytes that the other side's kernel has not acknowledged."""
    count: int = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0]
    return count
