"""One non-blocking TCP connection with a bounded buffer of what is still to be written."""

from __future__ import annotations

import errno
import select
import socket
from typing import Protocol

from .connection_outcome import ConnectionOutcome
from .loop import CLIENTS, READ, WRITE, EventLoop
from .timers import Deadline

READ_BYTES = 65536
MAX_READS = 4  # chunks read in one turn: what came last may be the end
MAX_UNSENT_BYTES = 1 << 20
LINGER_S = 1.0  # seconds for the other side to read our last answer before the connection is closed


class ConnectionOwner(Protocol):
    """Is called, on the loop, for what happens on a connection."""

    def on_open(self) -> None:
        """The connection is established."""

    def on_data(self, data: bytes) -> None:
        """Bytes have come."""

    def on_written(self) -> None:
        """Nothing is left to write."""

    def on_end(self, ending: ConnectionOutcome) -> None:
        """The connection is over and closed; not called for an end that this side asked for."""


class Connection:
    """A connection on an event loop.

    Attributes:
        peer_ended: Whether the peer's end of stream has been read already.
        max_unsent: Bytes; whoever writes more at once has to raise it.
        reads_until_empty: Whether a turn also looks for the end behind a chunk that was short.
    """

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        owner: ConnectionOwner,
        connecting: bool = False,
        rank: int = CLIENTS,
    ) -> None:
        """Watches the socket from now on.

        Args:
            loop: The loop that it runs on.
            sock: The socket; set to non-blocking here.
            owner: Is called for what happens.
            connecting: Whether the connection is still being established.
            rank: Its place among the sockets that are ready in one turn, see `loop`.
        """
        self.loop, self.sock, self.owner, self.rank = loop, sock, owner, rank
        self.peer_ended = False
        self.max_unsent = MAX_UNSENT_BYTES
        self.reads_until_empty = True
        self.connecting, self.closed, self._paused = connecting, False, False
        self._closing = False
        self._lingering: dict[Connection, float] = {}  # where it is listed while it finishes
        self._linger_timer: Deadline | None = None
        self._output = bytearray()
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._update_watch()

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return len(self._output)

    def busy(self) -> bool:
        """Whether it takes nothing new now: it still writes, or is closed."""
        return self.closed or bool(self._output)

    def write(self, data: bytes) -> None:
        """Sends these bytes, as far as the kernel takes them now; the rest follows.

        An owner that leaves more than `max_unsent` bytes unsent gets `on_end` with CLOGGED.
        """
        if self.closed or self._closing:
            return
        self._output += data
        if not self.connecting:
            self._flush()
            if not self.closed and len(self._output) > self.max_unsent:
                self._on_connection_end(ConnectionOutcome.CLOGGED)

    def pause(self, paused: bool) -> None:
        """Stops or resumes reading, so that the other side's writing stops."""
        if paused != self._paused and not self.closed:
            self._paused = paused
            self._update_watch()

    def close_after_write(self, lingering: dict[Connection, float] | None = None) -> None:
        """Writes what is left, then closes; until then it is in `lingering` with the time of this call.

        Closing at once while bytes from the other side lie unread would reset the connection, and the reset
        can overtake our last answer.
        """
        if self.closed or self._closing:
            return
        self._closing = True
        self.loop.closing_count += 1
        now = self.loop.clock.now()
        self._linger_timer = self.loop.deadlines.add(now + LINGER_S, self.close)
        if lingering is not None:
            self._lingering = lingering
            lingering[self] = now
        if not self._output:
            self._shut_down_writing()
        self._paused = False
        if not self.closed:
            self._update_watch()

    def close(self) -> None:
        """Closes it at once; the owner is not called."""
        if self.closed:
            return
        self.closed = True
        if self._closing:
            self._receive()  # unread bytes would turn this close into a reset
        self.loop.closing_count -= self._closing
        self._lingering.pop(self, None)
        self.loop.deadlines.cancel(self._linger_timer)
        self.loop.unwatch(self.sock)
        self.sock.close()

    def _on_connection_end(self, ending: ConnectionOutcome) -> None:
        finishing = self._closing
        self.close()
        if not finishing:
            self.owner.on_end(ending)

    def _shut_down_writing(self) -> None:
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
        if self.closed:  # closed earlier in this turn
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
                sent = self.sock.send(self._output)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._on_connection_end(ConnectionOutcome.BROKE)
                return
            del self._output[:sent]
            if not self._output:
                if self._closing:
                    self._shut_down_writing()
                else:
                    self.owner.on_written()
        if not self.closed:
            self._update_watch()

    def _receive(self) -> tuple[list[bytes], ConnectionOutcome | None]:
        """What lies in the socket, so much of it as one turn takes, and the end behind it if it is there."""
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
        """Hands over what came; the owner sees in `peer_ended` that nobody waits behind the bytes."""
        chunks, ending = self._receive()
        self.peer_ended = ending is not None
        for data in chunks:
            if not self._closing and not self.closed:
                self.owner.on_data(data)
        if ending is not None and not self.closed:
            self._on_connection_end(ending)

    def read_now(self) -> None:
        """Reads what has come since the loop last looked: before a close, or it would be lost unread."""
        if not self.closed and not self.connecting:
            self._read()

    def is_reusable(self) -> bool:
        """Whether nothing has come on an idle connection, no byte and no end."""
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def peer_closed(self) -> bool:
        """Whether the other side has closed it or is gone; also while paused, behind unread bytes."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))


def connect(
    loop: EventLoop, address: tuple[str, int], owner: ConnectionOwner, rank: int
) -> Connection | ConnectionOutcome:
    """Opens a connection to an IP address and port, without blocking.

    Returns:
        The connection, which may still be on its way up, or why there is none.
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
