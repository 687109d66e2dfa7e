"""A non-blocking TCP connection with a bounded output buffer."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from typing import Protocol

from .connection_outcome import ConnectionOutcome
from .loop import CLIENTS, READ, WRITE, EventLoop
from .output_buffer import OutputBuffer
from .timers import Deadline

READ_BYTES = 65536
MAX_READS = 4  # chunks read in one iteration, so that an end of stream after the data is seen
MAX_UNSENT_BYTES = 1 << 20
LINGER_S = 1.0  # after the last byte was written, for the peer to read it before the connection is closed
# Without progress before a closing connection gives up what is unwritten. The kernel takes more only once a
# third of its buffer is free, which a slow peer needs seconds for.
STALLED_S = 10.0


class ConnectionOwner(Protocol):
    """Receives the events of a connection, on its loop."""

    def on_open(self) -> None:
        """Called when the connection is established."""

    def on_data(self, data: bytes) -> None:
        """Called with received bytes."""

    def on_written(self) -> None:
        """Called when all output is written."""

    def on_end(self, ending: ConnectionOutcome) -> None:
        """Called after the connection ended and was closed, but not when this side closed it."""


class Connection:
    """A connection on an event loop.

    Attributes:
        peer_ended: Whether the peer's end of stream was read.
        max_unsent: Limit of the output buffer, in bytes; must be raised before writing more at once.
        reads_until_empty: Whether to read on after a short chunk, to see an end of stream.
    """

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        owner: ConnectionOwner,
        connecting: bool = False,
        rank: int = CLIENTS,
    ) -> None:
        """Starts watching the socket.

        Args:
            loop: The event loop.
            sock: The socket; set to non-blocking mode here.
            owner: Receives the events.
            connecting: Whether the connection is still being established.
            rank: Its order among the sockets that are ready in one iteration, see `loop`.
        """
        self.loop, self.sock, self.owner, self.rank = loop, sock, owner, rank
        self.peer_ended = False
        self.max_unsent = MAX_UNSENT_BYTES
        self.reads_until_empty = True
        self.connecting, self.closed, self._paused = connecting, False, False
        self._closing = False
        self._lingering: dict[Connection, float] = {}  # the collection that lists it while it closes
        self._linger_timer: Deadline | None = None
        self._output = OutputBuffer()
        self._unsent_at_close = 0
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._update_watch()

    @property
    def unsent(self) -> int:
        """The number of bytes that the kernel has not accepted, now or when the connection was closed."""
        return self._unsent_at_close if self.closed else len(self._output)

    @property
    def held_bytes(self) -> int:
        """The bytes of output in memory; none once the connection is closed."""
        return len(self._output)

    def busy(self) -> bool:
        """Whether output is pending or the connection is closed."""
        return self.closed or bool(self._output)

    def write(self, *pieces: bytes) -> None:
        """Sends bytes, buffering what the kernel does not accept now; a long piece is not copied.

        If more than `max_unsent` bytes stay unsent, the connection ends with CLOGGED.
        """
        if self.closed or self._closing:
            return
        for piece in pieces:
            self._output.append(piece)
        if not self.connecting:
            self._flush()
            if not self.closed and len(self._output) > self.max_unsent:
                self._on_connection_end(ConnectionOutcome.CLOGGED)

    def pause(self, paused: bool) -> None:
        """Pauses or resumes reading, so that flow control stops the peer."""
        if paused != self._paused and not self.closed:
            self._paused = paused
            self._update_watch()

    def close_after_write(self, lingering: dict[Connection, float] | None = None) -> None:
        """Writes pending output, then closes; until then `lingering` holds it.

        The time in `lingering` is that of this call and, once all output is written, the time of that.
        Pending output is given up only if the peer takes none of it for STALLED_S.

        Closing immediately with unread bytes in the socket would reset the connection, and the reset can
        reach the peer before it has read the last response.
        """
        if self.closed or self._closing:
            return
        self._closing = True
        self.loop.closing_count += 1
        if lingering is not None:
            self._lingering = lingering
            lingering[self] = self.loop.clock.now()
        if not self._output:
            self._linger()
        else:
            self._close_after(STALLED_S)
        self._paused = False
        if not self.closed:
            self._update_watch()

    def close(self) -> None:
        """Closes the connection immediately, without calling the owner."""
        if self.closed:
            return
        self.closed = True
        self._unsent_at_close = len(self._output)
        self._output.clear()  # connection and owner refer to each other: nobody may free them for long
        if self._closing:
            self._receive()  # unread bytes would make this close a reset
        self.loop.closing_count -= self._closing
        self._lingering.pop(self, None)
        self.loop.deadlines.cancel(self._linger_timer)
        self.loop.unwatch(self.sock)
        self.sock.close()

    def _on_connection_end(self, ending: ConnectionOutcome) -> None:
        was_closing = self._closing
        self.close()
        if not was_closing:
            self.owner.on_end(ending)

    def _close_after(self, seconds: float) -> None:
        """Closes the connection after that time, instead of when it was to be closed before."""
        self.loop.deadlines.cancel(self._linger_timer)
        self._linger_timer = self.loop.deadlines.add(self.loop.clock.now() + seconds, self.close)

    def _linger(self) -> None:
        """Gives the peer time to read the last response, which is written."""
        self._close_after(LINGER_S)
        if self in self._lingering:
            self._lingering[self] = self.loop.clock.now()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _update_watch(self) -> None:
        events = 0 if self._paused or self.connecting else READ
        if self._output or self.connecting:
            events |= WRITE
        self.loop.watch(self.sock, events, self._ready, self.rank)

    def _ready(self, mask: int) -> None:
        if self.closed:  # closed earlier in this iteration
            return
        if self.connecting:
            self._on_connected()
            return
        if mask & WRITE:
            self._flush()
        if mask & READ and not self.closed:
            self._read()

    def _on_connected(self) -> None:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            refused = error == errno.ECONNREFUSED
            self._on_connection_end(ConnectionOutcome.REFUSED if refused else ConnectionOutcome.NEVER_UP)
            return
        self.connecting = False
        self.owner.on_open()
        if not self.closed:
            self._flush()

    def _flush(self) -> None:
        if self._output:
            try:
                sent = self._output.send(self.sock)
            except OSError:
                self._on_connection_end(ConnectionOutcome.BROKE)
                return
            if not self._output:
                if self._closing:
                    self._linger()
                else:
                    self.owner.on_written()
            elif self._closing and sent:
                self._close_after(STALLED_S)
        if not self.closed:
            self._update_watch()

    def _receive(self) -> tuple[list[bytes], ConnectionOutcome | None]:
        """Reads up to MAX_READS chunks, and the end of the stream if it follows."""
        chunks: list[bytes] = []
        for _ in range(MAX_READS):
            try:
                data = self.sock.recv(READ_BYTES)
            except BlockingIOError:
                break
            except OSError:
                return chunks, ConnectionOutcome.BROKE
            if not data:
                return chunks, ConnectionOutcome.CLOSED
            chunks.append(data)
            if len(data) < READ_BYTES and not self.reads_until_empty:
                break
        return chunks, None

    def _read(self) -> None:
        """Passes received bytes on; `peer_ended` already tells the owner whether the peer has left."""
        chunks, ending = self._receive()
        self.peer_ended = ending is not None
        for data in chunks:
            if not self._closing and not self.closed:
                self.owner.on_data(data)
        if ending is not None and not self.closed:
            self._on_connection_end(ending)

    def read_now(self) -> None:
        """Reads what was received since the last iteration, so that a close does not lose it."""
        if not self.closed and not self.connecting:
            self._read()

    def is_reusable(self) -> bool:
        """Whether an idle connection has received neither bytes nor an end of stream."""
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def peer_closed(self) -> bool:
        """Whether the peer closed or lost the connection; also works while paused with unread bytes."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))


def connect(
    loop: EventLoop, address: tuple[str, int], owner: ConnectionOwner, rank: int
) -> Connection | ConnectionOutcome:
    """Starts connecting to an IP address and port, without blocking.

    Returns:
        The connection, possibly still being established, or the reason for the failure.
    """
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return ConnectionOutcome.NO_SOCKET
    sock.setblocking(False)
    error = sock.connect_ex(address)
    if error not in (0, errno.EINPROGRESS):
        sock.close()
        return ConnectionOutcome.REFUSED if error == errno.ECONNREFUSED else ConnectionOutcome.NEVER_UP
    return Connection(loop, sock, owner, connecting=True, rank=rank)


Connect = Callable[[EventLoop, tuple[str, int], ConnectionOwner, int], Connection | ConnectionOutcome]
"""The type of `connect`: loop, address, owner and rank; returns the connection or why there is none."""
