"""Connections that this process has opened, with the faults of their links between it and the socket."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import struct
from collections.abc import Iterable
from typing import Any, cast

from .links import Links

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a reset instead of an end
MILLISECOND_S = 0.001


class LinkedProtocol(asyncio.Protocol):
    """Stands between a connection and the protocol that the program gave it."""

    def __init__(self, inner: asyncio.Protocol, links: Links, host: str) -> None:
        """`inner` is the program's protocol, `host` the other end of the link."""
        self.inner, self._links, self._host = inner, links, host
        self.transport: LinkedTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up (asyncio's call)."""
        real = cast(asyncio.Transport, transport)
        self.transport = LinkedTransport(real, self.inner, self._links, self._host)
        self.inner.connection_made(self.transport)
        self.transport.start()

    def data_received(self, data: bytes) -> None:
        """Bytes have come (asyncio's call)."""
        assert self.transport is not None
        if not self.transport.is_over:
            self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        """The peer sends no more (asyncio's call)."""
        assert self.transport is not None
        return None if self.transport.is_over else self.inner.eof_received()

    def pause_writing(self) -> None:
        """Too much waits for the socket (asyncio's call)."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """The socket takes more (asyncio's call)."""
        self.inner.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended (asyncio's call)."""
        assert self.transport is not None
        self.transport.lose(exc)


class LinkedTransport(asyncio.Transport):
    """What the program writes to. While the link is held, the peer sees neither bytes nor an end.

    As a kernel does, it gives a connection up whose bytes stay unacknowledged for TCP_USER_TIMEOUT.
    """

    def __init__(self, real: asyncio.Transport, inner: asyncio.Protocol, links: Links, host: str) -> None:
        """`real` is the socket's own transport, `inner` the program's protocol, `host` the other end."""
        super().__init__()
        self._real, self._inner, self._links, self._host = real, inner, links, host
        self._loop = asyncio.get_running_loop()
        self._waiting: list[bytes] = []
        self._flush: asyncio.TimerHandle | None = None
        self._user_timeout: asyncio.TimerHandle | None = None
        self._wants_reading = True
        self._ending = False  # the program has closed it, or it was given up
        self.is_over = False  # its loss has been reported to the program

    def start(self) -> None:
        """Obeys the link from now on."""
        self._links.listen(self._changed)
        self._read_if_wanted()

    def lose(self, error: Exception | None) -> None:
        """Reports once to the program that the connection is lost."""
        self._links.forget(self._changed)
        self._stop_timers()
        self._report_loss(error)

    # asyncio.Transport

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends these bytes, or keeps them for later."""
        link = self._links.of(self._host)
        if self._ending:
            return
        if not (link.hold_sent or link.delay_ms or self._waiting):
            self._real.write(data)
            return
        self._waiting.append(bytes(data))
        if link.hold_sent:
            self._start_user_timeout()
        elif self._flush is None:
            self._flush = self._loop.call_later(link.delay_ms * MILLISECOND_S, self._send_waiting)

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """Sends several pieces."""
        self.write(b"".join(list_of_data))

    def close(self) -> None:
        """Ends the connection once all is sent; the peer hears of it when the link is healthy."""
        self._end(abrupt=False)

    def abort(self) -> None:
        """Ends the connection; the peer hears of it when the link is healthy."""
        self._end(abrupt=True)

    def is_closing(self) -> bool:
        """Whether it is ending."""
        return self._ending or self._real.is_closing()

    def get_extra_info(self, name: str, default: object = None) -> object:
        """See asyncio's, of the socket's own transport."""
        return self._real.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Bytes that wait, here or for the socket."""
        return self._real.get_write_buffer_size() + sum(map(len, self._waiting))

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Sets the bounds of what waits for the socket."""
        self._real.set_write_buffer_limits(high, low)

    def pause_reading(self) -> None:
        """The program wants no more bytes."""
        self._wants_reading = False
        self._real.pause_reading()

    def resume_reading(self) -> None:
        """The program wants bytes again."""
        self._wants_reading = True
        self._read_if_wanted()

    def is_reading(self) -> bool:
        """Whether bytes are handed to the program."""
        return self._wants_reading and not self._ending

    # Between the program and the socket

    def _changed(self, reset: frozenset[str]) -> None:
        if self._host in reset:
            self._reset()
            return
        link = self._links.of(self._host)
        if not link.hold_sent:
            self._stop_user_timeout()
            if self._flush is None:
                self._send_waiting()
        self._read_if_wanted()

    def _reset(self) -> None:
        self._real.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._waiting.clear()
        self._real.abort()
        self._report_loss(ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET)))

    def _read_if_wanted(self) -> None:
        """Reads or not, by what the program wants and the link lets through."""
        if self._real.is_closing():
            return
        held = self._links.of(self._host).hold_received
        if held or not self._wants_reading:
            self._real.pause_reading()
        else:
            self._real.resume_reading()

    def _send_waiting(self) -> None:
        """Sends all that was kept, unless it must still be kept."""
        self._flush = None
        if self._links.of(self._host).hold_sent:
            if self._waiting:
                self._start_user_timeout()
            return
        waiting, self._waiting = self._waiting, []
        if waiting:
            self._real.write(b"".join(waiting))
        if self._ending:
            self._real.close()

    def _end(self, abrupt: bool) -> None:
        if self._ending:
            return
        self._ending = True
        if abrupt:
            self._waiting.clear()
        if self._links.of(self._host).hold_sent:
            self._loop.call_soon(self._report_loss, None)  # the socket itself ends in `_send_waiting`
        elif abrupt:
            self._real.abort()
        elif not self._waiting:
            self._real.close()

    def _start_user_timeout(self) -> None:
        """Starts the wait after which a kernel gives a connection with unacknowledged bytes up."""
        sock: socket.socket | None = self._real.get_extra_info("socket")
        if self._user_timeout is not None or sock is None:
            return
        bound_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        if bound_ms:
            self._user_timeout = self._loop.call_later(bound_ms * MILLISECOND_S, self._give_up)

    def _give_up(self) -> None:
        self._user_timeout = None
        self._ending = True
        self._waiting.clear()
        self._report_loss(TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT)))

    def _report_loss(self, error: Exception | None) -> None:
        if not self.is_over:
            self.is_over = self._ending = True
            self._inner.connection_lost(error)

    def _stop_timers(self) -> None:
        self._stop_user_timeout()
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None

    def _stop_user_timeout(self) -> None:
        if self._user_timeout is not None:
            self._user_timeout.cancel()
            self._user_timeout = None
