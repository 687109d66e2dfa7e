"""A stopping server accepts no next_request request on a connection whose response had begun."""

from __future__ import annotations

import asyncio

from larchgw.net.asyncio_loop import AsyncLoop
from larchgw.net.counters import Counters
from larchgw.net.exchange import Exchange
from larchgw.net.http_server import HttpServer
from tests.support.asyncio_tests import on_loop

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class RecordingHandler:
    """Queues the requests that it receives."""

    name = "test"

    def __init__(self) -> None:
        self.exchanges: asyncio.Queue[Exchange] = asyncio.Queue()

    def on_exchange(self, exchange: Exchange) -> None:
        self.exchanges.put_nowait(exchange)

    def on_client_gone(self, exchange: Exchange) -> None:
        pass


@on_loop
async def test_a_stopping_server_closes_after_a_response_that_had_begun() -> None:
    handler = RecordingHandler()
    loop = AsyncLoop(asyncio.get_running_loop())
    server = HttpServer(
        loop, Counters(), ("127.0.0.1", 0), handler, max_connections=10, max_body_memory_bytes=1 << 20
    )
    reader, writer = await asyncio.open_connection(*server.listener.address)
    writer.write(REQUEST)
    exchange = await handler.exchanges.get()
    exchange.start(200, b"OK", [], None)
    exchange.send(b"first")
    server.stopping = True
    server.listener.close()
    server.close_idle()
    exchange.end(complete=True)
    await reader.readuntil(LAST_CHUNK)
    writer.write(REQUEST)
    next_request = asyncio.ensure_future(handler.exchanges.get())
    closed = asyncio.ensure_future(reader.read())
    await asyncio.wait((next_request, closed), return_when=asyncio.FIRST_COMPLETED)
    was_accepted = next_request.done()
    for task in (next_request, closed):
        task.cancel()
    writer.close()
    loop.close()
    assert not was_accepted
