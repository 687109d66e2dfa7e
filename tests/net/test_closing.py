"""A connection that is closed gracefully writes all of its output, however slowly the peer reads."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from larchgw.net.asyncio_loop import AsyncLoop
from larchgw.net.connection import LINGER_S, STALLED_S, Connection
from larchgw.net.connection_outcome import ConnectionOutcome
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import SMALL_BUFFER, FakeClock, soon

BODY = bytes(range(256)) * 4096
PIECE_BYTES = 65536


class IgnoringOwner:
    """Ignores the events of its connection."""

    def on_open(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        pass

    def on_written(self) -> None:
        pass

    def on_end(self, ending: ConnectionOutcome) -> None:
        pass


class Closing:
    """A connection with small buffers that is closing with output left, and its peer."""

    def __init__(self, loop: AsyncLoop, clock: FakeClock) -> None:
        ours, self.peer = socket.socketpair()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        self.peer.setblocking(False)
        self._loop, self._clock = loop, clock
        self.lingering: dict[Connection, float] = {}
        self.connection = Connection(loop, ours, IgnoringOwner())
        self.connection.max_unsent = len(BODY)
        self.connection.write(BODY)
        self.connection.close_after_write(self.lingering)

    def move(self, seconds: float) -> None:
        self._clock.time += seconds
        self._loop.deadlines.run_due(self._clock.now())

    async def read(self) -> bytes:
        """The next bytes; empty at the end of the stream."""
        data: bytes = await soon(asyncio.get_running_loop().sock_recv(self.peer, PIECE_BYTES))
        return data


@asynccontextmanager
async def closing() -> AsyncIterator[Closing]:
    clock = FakeClock()
    loop = AsyncLoop(asyncio.get_running_loop(), clock)
    made = Closing(loop, clock)
    try:
        yield made
    finally:
        made.connection.close()
        made.peer.close()
        loop.close()


@on_loop
async def test_a_peer_that_reads_slowly_gets_all_of_a_response_that_was_given_before_the_close() -> None:
    # Guards against LOST: the time to linger counted from the close, so that what was unwritten then was cut.
    async with closing() as made:
        received = b""
        while data := await made.read():
            received += data
            made.move(LINGER_S if len(received) < len(BODY) else 0.0)
        assert received == BODY


@on_loop
async def test_a_peer_that_reads_nothing_is_given_up_in_the_end() -> None:
    async with closing() as made:
        made.move(STALLED_S - 0.1)
        assert not made.connection.closed
        made.move(0.2)
        assert made.connection.closed
        assert not made.lingering
        assert made.connection.loop.closing_count == 0


@on_loop
async def test_a_connection_lingers_from_the_last_byte_that_was_written() -> None:
    async with closing() as made:
        began_at = made.lingering[made.connection]
        made.move(STALLED_S / 2)
        received = 0
        while data := await made.read():  # the end of the stream follows the last byte at once
            received += len(data)
        assert received == len(BODY)
        assert made.lingering[made.connection] == pytest.approx(began_at + STALLED_S / 2)
        made.move(LINGER_S - 0.1)
        assert not made.connection.closed
        made.move(0.2)
        assert made.connection.closed
