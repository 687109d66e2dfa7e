"""RPC calls on real sockets: matching replies to calls, and errors when a reply is missing.

The peer is scripted frame by frame, so that the order of events is deterministic. The cases are those of
docs/calls.md.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from thrift.Thrift import TMessageType

from larchgw.rpc.client import RpcClient
from larchgw.rpc.codec import Message, decode_message, encode_message
from larchgw.rpc.errors import RpcConnectionError, RpcError, RpcTimeoutError, RpcUnavailableError
from larchgw.rpc.generated import Control
from larchgw.rpc.generated.ttypes import (
    ControlStatus,
    DemandReport,
    PushReply,
    PushRequest,
    StatusRequest,
    Unavailable,
)
from larchgw.rpc.server import RpcServer
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import soon

LONG_S = 20.0  # never reached in a test


class PeerConnection:
    """Server side of one connection: received calls, and replies written by the test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer

    async def receive_call(self) -> Message:
        length = int.from_bytes(await soon(self._reader.readexactly(4)), "big")
        return decode_message(await soon(self._reader.readexactly(length)))

    def reply(self, call: Message, name: str, method: str = "", kind: int = TMessageType.REPLY) -> None:
        body = Control.status_result(success=ControlStatus(node_name=name))
        self.writer.write(encode_message(method or call.method, kind, call.sequence, body))

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class ScriptedServer:
    """Accepts connections and queues them for the test."""

    def __init__(self) -> None:
        self._connections: asyncio.Queue[PeerConnection] = asyncio.Queue()
        self.opened = 0

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self._connections.put_nowait(PeerConnection(reader, writer))

    async def connection(self) -> PeerConnection:
        connection: PeerConnection = await soon(self._connections.get())
        return connection


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[RpcClient, ScriptedServer]]:
    peer = ScriptedServer()
    server = await asyncio.start_server(peer.accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = RpcClient(f"{host}:{port}")
    try:
        yield client, peer
    finally:
        client.close()
        server.close()


def start_status_call(client: RpcClient, timeout_s: float = LONG_S) -> asyncio.Task[Any]:
    return asyncio.ensure_future(client.call("status", StatusRequest(), timeout_s))


@on_loop
async def test_replies_out_of_order_reach_the_right_callers() -> None:
    async with connected() as (client, peer):
        calls = [start_status_call(client), start_status_call(client), start_status_call(client)]
        connection = await peer.connection()
        received = [await connection.receive_call() for _ in calls]
        for number in (2, 0, 1):
            connection.reply(received[number], f"answer {number}")
        assert [(await soon(call)).node_name for call in calls] == ["answer 0", "answer 1", "answer 2"]


@on_loop
async def test_reply_to_an_abandoned_call_is_dropped() -> None:
    async with connected() as (client, peer):
        abandoned = start_status_call(client)
        connection = await peer.connection()
        first = await connection.receive_call()
        abandoned.cancel()
        second = start_status_call(client)
        later = await connection.receive_call()
        assert later.sequence != first.sequence
        connection.reply(first, "late")
        connection.reply(first, "surplus")
        connection.reply(later, "own")
        assert (await soon(second)).node_name == "own"


@pytest.mark.parametrize(("method", "kind"), [("pull", TMessageType.REPLY), ("status", TMessageType.CALL)])
@on_loop
async def test_message_that_does_not_match_the_pending_call_closes_the_connection(
    method: str, kind: int
) -> None:
    """A reply to another method, or the client's own call echoed: TCP may connect a port to itself."""
    async with connected() as (client, peer):
        call = start_status_call(client)
        connection = await peer.connection()
        connection.reply(await connection.receive_call(), "not this", method, kind)
        with pytest.raises(RpcConnectionError):
            await soon(call)


@on_loop
async def test_call_without_a_result_is_not_confirmed_by_its_own_echo() -> None:
    async with connected() as (client, peer):
        call = asyncio.ensure_future(client.call("demand", DemandReport(node_name="e"), LONG_S))
        connection = await peer.connection()
        received = await connection.receive_call()
        connection.writer.write(
            encode_message(received.method, received.kind, received.sequence, received.body)
        )
        with pytest.raises(RpcConnectionError):
            await soon(call)


@on_loop
async def test_reply_without_a_result_is_an_error() -> None:
    async with connected() as (client, peer):
        call = start_status_call(client)
        connection = await peer.connection()
        received = await connection.receive_call()
        empty = Control.status_result()
        connection.writer.write(encode_message("status", TMessageType.REPLY, received.sequence, empty))
        with pytest.raises(RpcError):
            await soon(call)


@on_loop
async def test_reset_leaves_the_outcome_unknown_and_the_call_is_not_retried() -> None:
    async with connected() as (client, peer):
        kept = start_status_call(client)
        connection = await peer.connection()
        connection.reply(await connection.receive_call(), "one")
        await soon(kept)
        call = start_status_call(client)  # on the kept connection
        await connection.receive_call()
        connection.reset()
        with pytest.raises(RpcConnectionError) as lost:
            await soon(call)
        assert lost.value.was_sent
        assert peer.opened == 1
        again = start_status_call(client)
        connection = await peer.connection()
        connection.reply(await connection.receive_call(), "two")
        assert (await soon(again)).node_name == "two"


@on_loop
async def test_client_reconnects_for_the_next_call_after_a_reset_by_the_peer() -> None:
    async with connected() as (client, peer):
        call = start_status_call(client)
        connection = await peer.connection()
        connection.reply(await connection.receive_call(), "one")
        await soon(call)
        kept = client._connection
        connection.reset()
        while kept is not None and kept.transport is not None:
            await asyncio.sleep(0)
        call = start_status_call(client)
        connection = await peer.connection()
        connection.reply(await connection.receive_call(), "two")
        assert (await soon(call)).node_name == "two"


@on_loop
async def test_timeout_leaves_the_outcome_unknown() -> None:
    async with connected() as (client, _):
        with pytest.raises(RpcTimeoutError) as timed_out:
            await soon(start_status_call(client, 0.0))
        assert timed_out.value.was_sent


@on_loop
async def test_call_whose_client_is_closed_while_it_connects_fails_and_is_not_cancelled() -> None:
    """A caller that received CancelledError would stop, as if it had been cancelled itself."""
    async with connected() as (client, _):
        call = start_status_call(client)
        await asyncio.sleep(0)
        client.close()
        with pytest.raises(RpcConnectionError) as lost:
            await soon(call)
        assert not lost.value.was_sent


@on_loop
async def test_unavailable_reply_raises_its_reason_and_remedy() -> None:
    async with connected() as (client, peer):
        call = asyncio.ensure_future(client.call("push", PushRequest(), LONG_S))
        connection = await peer.connection()
        received = await connection.receive_call()
        unavailable = Control.push_result(None, Unavailable("cut off", "ask another"))
        connection.writer.write(encode_message("push", TMessageType.REPLY, received.sequence, unavailable))
        with pytest.raises(RpcUnavailableError) as refused:
            await soon(call)
        error = refused.value
        assert (error.address, error.method) == (client.address, "push")
        assert (error.reason, error.remedy) == ("cut off", "ask another")
        assert str(error) == f"push at {client.address}: cut off; ask another"


class CountingService:
    """Counts the calls that it executes."""

    def __init__(self) -> None:
        self.calls = 0

    async def push(self, request: PushRequest) -> PushReply:
        self.calls += 1
        return PushReply()


@pytest.mark.parametrize("is_complete", [True, False])
@on_loop
async def test_incomplete_call_is_not_executed(is_complete: bool) -> None:
    service = CountingService()
    server = RpcServer(service)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    frame = encode_message("push", TMessageType.CALL, 1, Control.push_args(PushRequest(node_name="e")))
    writer.write(frame if is_complete else frame[:-1])
    if is_complete:
        assert await soon(reader.readexactly(4))
    else:
        writer.write_eof()
        assert await soon(reader.read()) == b""
    assert service.calls == is_complete
    writer.close()
    server.stop()


@on_loop
async def test_reply_is_not_executed_as_a_call() -> None:
    service = CountingService()
    server = RpcServer(service)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(encode_message("push", TMessageType.REPLY, 1, Control.push_result(success=PushReply())))
    assert await soon(reader.read()) == b""
    assert service.calls == 0
    writer.close()
    server.stop()
