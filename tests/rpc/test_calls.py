"""Calls between processes on real sockets: which answer belongs to which call, and what the lack of one says.

The peer is scripted frame by frame, so that each moment is forced. The rows are those of docs/calls.md.
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
from larchgw.rpc.errors import RpcConnectionError, RpcError, RpcTimeoutError
from larchgw.rpc.generated import Control
from larchgw.rpc.generated.ttypes import ControlStatus, DemandReport, PushReply, PushRequest, StatusRequest
from larchgw.rpc.server import RpcServer
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import soon

LONG_S = 20.0  # that no test waits for


class Frames:
    """A peer's side of one connection: the calls that come, and the bytes that the test answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer

    async def call(self) -> Message:
        length = int.from_bytes(await soon(self._reader.readexactly(4)), "big")
        return decode_message(await soon(self._reader.readexactly(length)))

    def answer(self, call: Message, name: str, method: str = "", kind: int = TMessageType.REPLY) -> None:
        body = Control.status_result(success=ControlStatus(node_name=name))
        self.writer.write(encode_message(method or call.method, kind, call.sequence, body))

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Peer:
    """Connections that a client has opened."""

    def __init__(self) -> None:
        self._connections: asyncio.Queue[Frames] = asyncio.Queue()
        self.opened = 0

    async def taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self._connections.put_nowait(Frames(reader, writer))

    async def connection(self) -> Frames:
        return await soon(self._connections.get())


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[RpcClient, Peer]]:
    peer = Peer()
    server = await asyncio.start_server(peer.taken, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = RpcClient(f"{host}:{port}")
    try:
        yield client, peer
    finally:
        client.close()
        server.close()


def ask(client: RpcClient, timeout: float = LONG_S) -> asyncio.Task[Any]:
    return asyncio.ensure_future(client.call("status", StatusRequest(), timeout))


@on_loop
async def test_answers_that_pass_each_other_reach_their_own_callers() -> None:
    async with connected() as (client, peer):
        calls = [ask(client), ask(client), ask(client)]
        frames = await peer.connection()
        seen = [await frames.call() for _ in calls]
        for number in (2, 0, 1):
            frames.answer(seen[number], f"answer {number}")
        assert [(await soon(call)).node_name for call in calls] == ["answer 0", "answer 1", "answer 2"]


@on_loop
async def test_an_answer_that_comes_after_its_call_was_given_up_is_nobodys() -> None:
    async with connected() as (client, peer):
        given_up = ask(client)
        frames = await peer.connection()
        first = await frames.call()
        given_up.cancel()
        second = ask(client)
        later = await frames.call()
        assert later.sequence != first.sequence
        frames.answer(first, "late")
        frames.answer(first, "surplus")
        frames.answer(later, "own")
        assert (await soon(second)).node_name == "own"


@pytest.mark.parametrize("method,kind", [("pull", TMessageType.REPLY), ("status", TMessageType.CALL)])
@on_loop
async def test_what_is_no_answer_to_the_call_of_its_number_ends_a_connection(method: str, kind: int) -> None:
    """An answer of another method, or our own call come back: TCP may connect a port to itself."""
    async with connected() as (client, peer):
        call = ask(client)
        frames = await peer.connection()
        frames.answer(await frames.call(), "not this", method, kind)
        with pytest.raises(RpcConnectionError):
            await soon(call)


@on_loop
async def test_a_call_without_a_result_is_not_confirmed_by_its_own_echo() -> None:
    async with connected() as (client, peer):
        call = asyncio.ensure_future(client.call("demand", DemandReport(node_name="e"), LONG_S))
        frames = await peer.connection()
        seen = await frames.call()
        frames.writer.write(encode_message(seen.method, seen.kind, seen.sequence, seen.body))
        with pytest.raises(RpcConnectionError):
            await soon(call)


@on_loop
async def test_an_answer_without_a_result_is_no_answer() -> None:
    async with connected() as (client, peer):
        call = ask(client)
        frames = await peer.connection()
        seen = await frames.call()
        empty = Control.status_result()
        frames.writer.write(encode_message("status", TMessageType.REPLY, seen.sequence, empty))
        with pytest.raises(RpcError):
            await soon(call)


@on_loop
async def test_a_reset_leaves_open_whether_the_call_was_carried_out_and_nothing_is_sent_again() -> None:
    async with connected() as (client, peer):
        kept = ask(client)
        frames = await peer.connection()
        frames.answer(await frames.call(), "one")
        await soon(kept)
        call = ask(client)  # on the kept connection
        await frames.call()
        frames.reset()
        with pytest.raises(RpcConnectionError) as lost:
            await soon(call)
        assert lost.value.was_sent
        assert peer.opened == 1
        again = ask(client)
        frames = await peer.connection()
        frames.answer(await frames.call(), "two")
        assert (await soon(again)).node_name == "two"


@on_loop
async def test_a_connection_that_the_peer_has_forgotten_is_opened_anew_for_the_next_call() -> None:
    async with connected() as (client, peer):
        call = ask(client)
        frames = await peer.connection()
        frames.answer(await frames.call(), "one")
        await soon(call)
        connection = client._connection
        frames.reset()
        while connection is not None and connection.transport is not None:
            await asyncio.sleep(0)
        call = ask(client)
        frames = await peer.connection()
        frames.answer(await frames.call(), "two")
        assert (await soon(call)).node_name == "two"


@on_loop
async def test_silence_leaves_open_whether_the_call_was_carried_out() -> None:
    async with connected() as (client, _):
        with pytest.raises(RpcTimeoutError) as silent:
            await soon(ask(client, 0.0))
        assert silent.value.was_sent


@on_loop
async def test_a_call_whose_client_is_closed_while_it_connects_fails_and_is_not_cancelled() -> None:
    """A loop that saw itself cancelled would end."""
    async with connected() as (client, _):
        call = ask(client)
        await asyncio.sleep(0)
        client.close()
        with pytest.raises(RpcConnectionError) as lost:
            await soon(call)
        assert not lost.value.was_sent


class Served:
    """Counts what it carries out."""

    def __init__(self) -> None:
        self.calls = 0

    async def push(self, request: PushRequest) -> PushReply:
        self.calls += 1
        return PushReply()


@pytest.mark.parametrize("whole", [True, False])
@on_loop
async def test_a_call_that_did_not_come_in_whole_is_not_carried_out(whole: bool) -> None:
    served = Served()
    server = RpcServer(served)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    frame = encode_message("push", TMessageType.CALL, 1, Control.push_args(PushRequest(node_name="e")))
    writer.write(frame if whole else frame[:-1])
    if whole:
        assert await soon(reader.readexactly(4))
    else:
        writer.write_eof()
        assert await soon(reader.read()) == b""
    assert served.calls == whole
    writer.close()
    server.stop()


@on_loop
async def test_an_answer_is_not_taken_for_a_call() -> None:
    served = Served()
    server = RpcServer(served)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(encode_message("push", TMessageType.REPLY, 1, Control.push_result(success=PushReply())))
    assert await soon(reader.read()) == b""
    assert served.calls == 0
    writer.close()
    server.stop()
