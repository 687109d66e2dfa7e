"""Detects a runner's machine that no longer responds, as opposed to a runner that only reads slowly.

The kernel closes a connection whose bytes stay unacknowledged for TCP_USER_TIMEOUT. It also counts probes of
a closed receive window, even answered ones, so it would give up a live runner that reads nothing of a long
body. Until a long request is delivered, that time-out is therefore off and unanswered packets are polled for.

Source: tcp(7), TCP_USER_TIMEOUT and TCP_INFO; RFC 5482.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

# A machine without power sends nothing: its connections must fail well before clients give up (2 s or more).
USER_TIMEOUT_MS = 1500  # maximum time without an acknowledgement
KEEPALIVE_IDLE_S = 1  # without traffic before the kernel sends a probe
KEEPALIVE_INTERVAL_S = 1  # between probes
LONG_REQUEST_BYTES = 65536  # the initial receive window; a longer request may fill it
POLL_S = 0.5  # between checks of a connection that carries a long request
# Consecutive unanswered probes or retransmissions. The kernel starts at 0.2 s and doubles the interval: the
# third one is sent after 1.4 s.
MAX_UNANSWERED = 3
_TCP_INFO_BYTES = 8
_RETRANSMITS, _PROBES = 2, 3  # bytes of `struct tcp_info`


def watch_by_kernel(sock: socket.socket) -> None:
    """Makes the kernel close the connection when the peer leaves bytes or probes unanswered."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def watch_by_polling(sock: socket.socket) -> None:
    """Disables the kernel's time-out; the caller polls `is_dead` every POLL_S."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)


def is_dead(sock: socket.socket) -> bool:
    """Whether the peer's kernel leaves bytes or probes unanswered."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    return max(info[_RETRANSMITS], info[_PROBES]) >= MAX_UNANSWERED


def undelivered_bytes(sock: socket.socket) -> int:
    """Returns the number of bytes that the peer's kernel has not acknowledged."""
    count: int = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0]
    return count
