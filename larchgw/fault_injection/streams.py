"""Connections opened by this process, wrapped so that link faults apply to them."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import struct
from collections.abc import Iterable
from typing import Any, cast

from .links import Links

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with time 0: close sends RST instead of FIN
MILLISECOND_S = 0.001


class LinkedProtocol(asyncio.Protocol):
    """Wraps the program's protocol of one connection."""

    def __init__(self, inner: asyncio.Protocol, links: Links, host: str) -> None:
        """`inner` is the wrapped protocol, `host` the remote host."""
        self.inner, self._links, self._host = inner, links, host
        self.transport: LinkedTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol; passes a wrapped transport on."""
        real = cast(asyncio.Transport, transport)
        self.transport = LinkedTransport(real, self.inner, self._links, self._host)
        self.inner.connection_made(self.transport)
        self.transport.start()

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol; drops data after the loss was reported."""
        assert self.transport is not None
        if not self.transport.is_loss_reported:
            self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        """See asyncio.Protocol."""
        assert self.transport is not None
        return None if self.transport.is_loss_reported else self.inner.eof_received()

    def pause_writing(self) -> None:
        """See asyncio.Protocol."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """See asyncio.Protocol."""
        self.inner.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        assert self.transport is not None
        self.transport.on_connection_lost(exc)


class LinkedTransport(asyncio.Transport):
    """Transport that applies a link. While the link is held, the peer receives neither data nor a close.

    As the kernel does, it fails a connection with data unacknowledged for TCP_USER_TIMEOUT.
    """

    def __init__(self, real: asyncio.Transport, inner: asyncio.Protocol, links: Links, host: str) -> None:
        """`real` is the socket's transport, `inner` the program's protocol, `host` the remote host."""
        super().__init__()
        self._socket_transport, self._inner, self._links, self._host = real, inner, links, host
        self._loop = asyncio.get_running_loop()
        self._pending: list[bytes] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        self._user_timeout_timer: asyncio.TimerHandle | None = None
        self._is_reading_wanted = True
        self._is_closing = False  # closed by the program, or failed
        self.is_loss_reported = False  # connection_lost of the program was called

    def start(self) -> None:
        """Starts applying the link."""
        self._links.add_listener(self._on_links_changed)
        self._update_reading()

    def on_connection_lost(self, error: Exception | None) -> None:
        """Handles the loss of the socket's connection and reports it to the program once."""
        self._links.remove_listener(self._on_links_changed)
        self._stop_timers()
        self._report_loss(error)

    # asyncio.Transport

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends data, or queues it if the link is held or delayed."""
        link = self._links.link_to(self._host)
        if self._is_closing:
            return
        if not (link.hold_sent or link.delay_ms or self._pending):
            self._socket_transport.write(data)
            return
        self._pending.append(bytes(data))
        if link.hold_sent:
            self._start_user_timeout()
        elif self._flush_timer is None:
            self._flush_timer = self._loop.call_later(link.delay_ms * MILLISECOND_S, self._send_pending)

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """See asyncio.WriteTransport."""
        self.write(b"".join(list_of_data))

    def close(self) -> None:
        """Closes once queued data is sent; while the link is held, the peer is not notified."""
        self._start_closing(abrupt=False)

    def abort(self) -> None:
        """Closes at once; while the link is held, the peer is not notified."""
        self._start_closing(abrupt=True)

    def is_closing(self) -> bool:
        """Whether the connection is closing."""
        return self._is_closing or self._socket_transport.is_closing()

    def get_extra_info(self, name: str, default: object = None) -> object:
        """See asyncio.BaseTransport; the answer is that of the socket's transport."""
        return self._socket_transport.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Returns the bytes queued here and in the socket's transport."""
        return self._socket_transport.get_write_buffer_size() + sum(map(len, self._pending))

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Sets the limits of the socket's transport."""
        self._socket_transport.set_write_buffer_limits(high, low)

    def pause_reading(self) -> None:
        """See asyncio.ReadTransport."""
        self._is_reading_wanted = False
        self._socket_transport.pause_reading()

    def resume_reading(self) -> None:
        """See asyncio.ReadTransport; a held link stays paused."""
        self._is_reading_wanted = True
        self._update_reading()

    def is_reading(self) -> bool:
        """See asyncio.ReadTransport."""
        return self._is_reading_wanted and not self._is_closing

    # Link faults

    def _on_links_changed(self, reset: frozenset[str]) -> None:
        if self._host in reset:
            self._reset()
            return
        link = self._links.link_to(self._host)
        if not link.hold_sent:
            self._stop_user_timeout()
            if self._flush_timer is None:
                self._send_pending()
        self._update_reading()

    def _reset(self) -> None:
        self._socket_transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self._pending.clear()
        self._socket_transport.abort()
        self._report_loss(ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET)))

    def _update_reading(self) -> None:
        """Pauses or resumes the socket according to the program and the link."""
        if self._socket_transport.is_closing():
            return
        held = self._links.link_to(self._host).hold_received
        if held or not self._is_reading_wanted:
            self._socket_transport.pause_reading()
        else:
            self._socket_transport.resume_reading()

    def _send_pending(self) -> None:
        """Sends queued data unless the link is held."""
        self._flush_timer = None
        if self._links.link_to(self._host).hold_sent:
            if self._pending:
                self._start_user_timeout()
            return
        pending, self._pending = self._pending, []
        if pending:
            self._socket_transport.write(b"".join(pending))
        if self._is_closing:
            self._socket_transport.close()

    def _start_closing(self, abrupt: bool) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        if abrupt:
            self._pending.clear()
        if self._links.link_to(self._host).hold_sent:
            self._loop.call_soon(self._report_loss, None)  # `_send_pending` closes the socket
        elif abrupt:
            self._socket_transport.abort()
        elif not self._pending:
            self._socket_transport.close()

    def _start_user_timeout(self) -> None:
        """Starts the time-out after which the kernel would fail a connection with unacknowledged data."""
        sock: socket.socket | None = self._socket_transport.get_extra_info("socket")
        if self._user_timeout_timer is not None or sock is None:
            return
        timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        if timeout_ms:
            self._user_timeout_timer = self._loop.call_later(
                timeout_ms * MILLISECOND_S, self._on_user_timeout
            )

    def _on_user_timeout(self) -> None:
        self._user_timeout_timer = None
        self._is_closing = True
        self._pending.clear()
        self._report_loss(TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT)))

    def _report_loss(self, error: Exception | None) -> None:
        if not self.is_loss_reported:
            self.is_loss_reported = self._is_closing = True
            self._inner.connection_lost(error)

    def _stop_timers(self) -> None:
        self._stop_user_timeout()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None

    def _stop_user_timeout(self) -> None:
        if self._user_timeout_timer is not None:
            self._user_timeout_timer.cancel()
            self._user_timeout_timer = None
