"""Helpers for tests of the emulated surroundings: runners on free ports, callers, and a scripted control."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from larchgw.configuration.model import Model
from larchgw.emulator.modelrunner import WeightStore
from larchgw.emulator.sockets import RealTime
from larchgw.emulator.system.engine_runner import EngineRunner
from larchgw.emulator.system.plain_runner import PlainRunner
from larchgw.emulator.system.records import Records
from larchgw.emulator.system.runner import Described, Runner
from tests.support.asyncio_tests import PATIENCE

MODELS = {name: Model(name, 100.0, 0.01, 2, 1.0) for name in ("m1", "m2", "m3")}


def free_address() -> str:
    """An address of this machine that nobody listens at."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@dataclass(slots=True)
class Reply:
    """One answer. `pieces` are its chunks, where it came in chunks; `whole` is False if it broke off."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class Caller:
    """One connection to a runner."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(
        self, target: str = "/ask/1", id: str = "id1", body: bytes = b"", method: str = "POST", **headers: str
    ) -> None:
        """A request; names of headers with _ for -."""
        fields = {"X-Attempt-Id": id} if id else {}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"{method} {target} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
        head = "\r\n".join([*lines, *(f"{name}: {text}" for name, text in fields.items())])
        self.writer.write(head.encode() + b"\r\n\r\n" + body)

    async def reply(self) -> Reply:
        """The next answer, as far as it comes."""
        async with asyncio.timeout(PATIENCE):
            reply = Reply()
            with suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
                await self._read(reply)
            return reply

    async def _read(self, reply: Reply) -> None:
        line, *fields = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").strip().split("\r\n")
        reply.status = int(line.split(" ")[1])
        pairs = (one.partition(":") for one in fields)
        reply.headers = {name.lower(): value.strip() for name, _, value in pairs}
        if "transfer-encoding" not in reply.headers:
            reply.body = await self.reader.readexactly(int(reply.headers["content-length"]))
        else:
            while length := int(await self.reader.readuntil(b"\r\n"), 16):
                reply.body += await self.reader.readexactly(length)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        reply.whole = True

    async def ask(
        self, target: str = "/ask/1", id: str = "id1", body: bytes = b"", method: str = "POST", **headers: str
    ) -> Reply:
        """A request and its answer."""
        self.send(target, id, body, method, **headers)
        return await self.reply()

    async def order(self, action: str, model: str, fence: int = 1, **more: Any) -> int:
        """The status that answers an order."""
        body = {"order": action, "model": model, "owner": "127.0.0.1:1", "fence": fence, **more}
        return (await self.ask("/order", "", json.dumps(body).encode())).status


def plain(records: Records, slots: int = 2, **more: Any) -> PlainRunner:
    """A runner without models."""
    return PlainRunner(
        Described("lookup", free_address(), "a", slots), RealTime(), records, random.Random(1), **more
    )


def engine(records: Records, *held: str, memory_mb: float = 250.0) -> EngineRunner:
    """A runner of models that holds these."""
    runner = EngineRunner(
        Described("lm", free_address(), "a", 24),
        RealTime(),
        records,
        random.Random(1),
        MODELS,
        WeightStore(3),
        memory_mb,
    )
    runner.preload(list(held))
    return runner


@asynccontextmanager
async def started(runner: Runner) -> AsyncIterator[Callable[[], Any]]:
    """Starts it; gives what opens connections to it."""
    runner.begin()
    writers: list[asyncio.StreamWriter] = []

    async def connect() -> Caller:
        host, _, port = runner.described.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
        return Caller(reader, writer)

    try:
        yield connect
    finally:
        for writer in writers:
            writer.close()
        runner.end()


@dataclass(slots=True)
class Call:
    """A call that the scripted control has got."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class ScriptedControl:
    """A control process that gives the next of its `answers`: status, body and headers; 200 behind them."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.answers: list[tuple[int, bytes, dict[str, str]]] = []
        self.address = ""

    def will_answer(self, status: int, body: bytes = b"{}", **headers: str) -> None:
        """One more answer."""
        self.answers.append((status, body, headers))

    def handle(self, request: HTTPServerRequest) -> None:
        """Tornado's call for a request."""
        self.calls.append(Call(request.method or "", request.path, dict(request.headers), request.body))
        status, body, headers = self.answers.pop(0) if self.answers else (200, b"{}", {})
        assert request.connection is not None
        line = ResponseStartLine("HTTP/1.1", status, "Scripted")
        request.connection.write_headers(
            line, HTTPHeaders({"Content-Length": str(len(body)), **headers}), body
        )
        request.connection.finish()


@asynccontextmanager
async def control() -> AsyncIterator[ScriptedControl]:
    """A scripted control on a port of its own."""
    scripted = ScriptedControl()
    sockets = bind_sockets(0, "127.0.0.1")
    scripted.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    server = HTTPServer(scripted.handle)
    server.add_sockets(sockets)
    try:
        yield scripted
    finally:
        server.stop()
        await server.close_all_connections()


async def until(condition: Callable[[], Any]) -> None:
    """Lets the loop turn until the condition holds."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.002)
