"""Scripted runners, clients, selection and budget for the edge's proxy, all on one asyncio loop."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Any

from larchgw.configuration.model import Configuration, Limits, Model, Route, Runtime, Service
from larchgw.configuration.settings import NodeSettings
from larchgw.edge.proxy import Proxy
from larchgw.identifiers import RunnerId
from larchgw.net.asyncio_loop import AsyncLoop
from larchgw.net.timers import Clock
from larchgw.routing.interface import (
    Attempt,
    AttemptOutcome,
    Choice,
    Reject,
    RequestTraits,
    Send,
    Wait,
)
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage
from tests.support.asyncio_tests import PATIENCE

HOST = "desk.example"
SMALL_BUFFER = 16384  # of a socket, so that a long body isn't with the kernels at once
LONG_BODY = bytes(16 << 20)  # more than the kernels of both sides take
SEAL = "3e1b.07"


async def soon(awaitable: Any) -> Any:
    """What it gives, within PATIENCE."""
    return await asyncio.wait_for(awaitable, PATIENCE)


async def until(condition: Callable[[], Any]) -> Any:
    """Lets the loop turn until the condition holds."""
    end = asyncio.get_running_loop().time() + PATIENCE
    while not (found := condition()):
        assert asyncio.get_running_loop().time() < end, "waited in vain"
        await asyncio.sleep(0)
    return found


class FakeClock(Clock):
    """Stands still until it is moved."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 1_000_000.0

    def now(self) -> float:
        return self.time


def route(kind: str, **changes: Any) -> Route:
    """A route to service `lm` at path /KIND/."""
    plain: dict[str, Any] = {
        "name": "r-" + kind,
        "hostname": HOST,
        "path_start": f"/{kind}/",
        "kind": kind,
        "deadline_ms": 5000.0,
        "target_ms": 600.0,
        "service": "lm",
        "tries": 2,
    }
    return Route(**plain | changes)


READING, WRITING = route("read_only"), route("writing")
STREAM = route("streaming", can_resume=True, gap_aim_ms=300.0)
ONCE = route("streaming", name="r-once", path_start="/once/")
LM = Service("lm", max_conns=64)


def configuration(*routes: Route, services: tuple[Service, ...] = (LM,), **limits: Any) -> Configuration:
    """These routes, or one of each kind."""
    return Configuration(1, routes or (READING, WRITING, STREAM, ONCE), services, Limits(**limits))


PINNED = Service("lm", max_conns=64, runtime=Runtime(slots=8, models=(Model("m1"), Model("m2"))))


class ScriptedSelection:
    """Sends each request to the first runner that it was not sent to, unless `script` holds choices."""

    def __init__(self) -> None:
        self.script: list[Choice | Callable[[RequestTraits, Mapping[str, RunnerRecord]], Choice]] = []
        self.asked: list[tuple[RequestTraits, tuple[str, ...], dict[str, float]]] = []
        self.offered: list[tuple[str, ...]] = []
        self.sends: list[Attempt] = []
        self.heads: list[Attempt] = []
        self.outcomes: list[AttemptOutcome] = []
        self.loads: list[tuple[str, int, int, int]] = []

    def choose(
        self,
        now: float,
        request: RequestTraits,
        runners: Mapping[str, RunnerRecord],
        tried: Sequence[str],
        expected: Mapping[str, float],
    ) -> Choice:
        self.asked.append((request, tuple(tried), dict(expected)))
        self.offered.append(tuple(runners))
        if self.script:
            step = self.script.pop(0)
            return step if isinstance(step, Send | Wait | Reject) else step(request, runners)
        for name, runner in runners.items():
            if name not in tried and runner.stage < Stage.DRAINING:
                return Send(runner, 3)
        return Reject(0.5, "no_runner")

    def sent(self, attempt: Attempt) -> None:
        self.sends.append(attempt)

    def first_byte_received(self, now: float, attempt: Attempt) -> None:
        self.heads.append(attempt)

    def ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self.outcomes.append(outcome)

    def observe_load(self, now: float, runner: str, running: int, waiting: int, slots: int) -> None:
        self.loads.append((runner, running, waiting, slots))

    def pending(self, service: str) -> int:
        return len(self.sends) - len(self.outcomes)


class ScriptedBudget:
    """Allows `left` sends beyond the first."""

    def __init__(self, left: int = 1000) -> None:
        self.left, self.requests, self.repeats = left, 0, 0

    def record_request(self, now: float, service: str) -> None:
        self.requests += 1

    def may_retry(self, now: float, service: str, dispatchers: int) -> bool:
        return self.repeats < self.left

    def record_retry(self, now: float, service: str) -> None:
        self.repeats += 1


class Call:
    """One request that came to a runner, and the connection that it came on."""

    def __init__(
        self, line: str, headers: list[tuple[str, str]], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        self.line, self.fields, self.body, self.writer = line, headers, body, writer
        self.headers = dict(headers)
        self.id = self.headers.get("x-attempt-id", "")

    def say(self, data: bytes) -> None:
        self.writer.write(data)

    def head(self, status: str = "200 OK", **fields: str) -> None:
        """The head of an answer in chunks."""
        lines = {"X-Attempt-Id": self.id, "X-Server-Seal": SEAL, "Transfer-Encoding": "chunked"}
        lines |= {name.replace("_", "-"): value for name, value in fields.items()}
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value)
        self.say(f"HTTP/1.1 {status}\r\n{text}\r\n".encode())

    def stream(self, **fields: str) -> None:
        self.head(Content_Type="text/event-stream", **fields)

    def chunk(self, data: bytes) -> None:
        self.say(b"%x\r\n%b\r\n" % (len(data), data))

    def events(self, *numbers: int) -> None:
        for number in numbers:
            self.chunk(event(number))

    def end(self) -> None:
        self.say(b"0\r\n\r\n")

    def answer(self, body: bytes = b"served", status: str = "200 OK", **fields: str) -> None:
        """An answer with a length."""
        self.head(status, Transfer_Encoding="", Content_Length=str(len(body)), **fields)
        self.say(body)

    def turn_away(self, status: str = "503 Busy", **fields: str) -> None:
        self.answer(b"full", status, **{"X_Not_Run": "1", "X_Server_Seal": SEAL} | fields)

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class ScriptedRunner:
    """A runner whose calls the test answers one by one.

    With `reads_bodies` off, calls come before their bodies have been read. It reads on only once the test
    sets `reads_on`, and keeps what it reads in `late`.
    """

    def __init__(self, name: str, reads_bodies: bool = True) -> None:
        self.name, self._reads_bodies = name, reads_bodies
        self.reads_on = asyncio.Event()
        self.late = b""
        self.opened = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed: asyncio.Queue[None] = asyncio.Queue()
        self._calls: asyncio.Queue[Call] = asyncio.Queue()
        self._server: asyncio.Server | None = None

    async def start(self) -> RunnerRecord:
        listening = socket.create_server(("127.0.0.1", 0))
        if not self._reads_bodies:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self._server = await asyncio.start_server(self._serve, sock=listening)
        host, port = self._server.sockets[0].getsockname()
        return RunnerRecord(
            RunnerId(self.name), "lm", f"{host}:{port}", "z", slots=8, models=(HeldModel("m1", 1, ("a1",)),)
        )

    async def call(self) -> Call:
        call: Call = await soon(self._calls.get())
        return call

    @property
    def unread(self) -> int:
        """Calls that have come and were not taken by the test."""
        return self._calls.qsize()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.append(writer)
        try:
            while True:
                line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                split = [line.partition(":") for line in lines if line]
                headers = [(name.lower(), value.strip()) for name, _, value in split]
                length = int(dict(headers).get("content-length", "0"))
                if not self._reads_bodies:
                    self._calls.put_nowait(Call(line, headers, b"", writer))
                    await self.reads_on.wait()
                    self.late = await reader.read(-1)
                    raise ConnectionResetError
                body = await reader.readexactly(length)
                self._calls.put_nowait(Call(line, headers, body, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.put_nowait(None)
        finally:
            writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self.writers:
            writer.close()


class Answer:
    """What a client read: `whole` tells whether the framing says that it is complete."""

    def __init__(self, status: int, fields: dict[str, str], body: bytes, whole: bool) -> None:
        self.status, self.fields, self.body, self.whole = status, fields, body, whole


class Client:
    """One connection to the proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def ask(
        self,
        path: str = "/read_only/x",
        name: str = "id1",
        body: bytes = b"ask",
        method: str = "POST",
        **fields: str,
    ) -> None:
        lines = {"Host": HOST, "X-Attempt-Id": name, "X-Time-Left-Ms": "4000"}
        lines |= {field.replace("_", "-"): value for field, value in fields.items()}
        if body:
            lines["Content-Length"] = str(len(body))
        text = "".join(f"{field}: {value}\r\n" for field, value in lines.items() if value)
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)

    async def head(self) -> tuple[int, dict[str, str]]:
        line, *lines = (await soon(self.reader.readuntil(b"\r\n\r\n"))).decode("latin-1").split("\r\n")
        split = [line.partition(":") for line in lines if line]
        return int(line.split()[1]), {name.lower(): value.strip() for name, _, value in split}

    async def chunk(self) -> bytes:
        """The next piece of an answer in chunks; empty at its end. Raises IncompleteReadError if cut."""
        size = int((await soon(self.reader.readuntil(b"\r\n"))).strip(), 16)
        data: bytes = await soon(self.reader.readexactly(size + 2))
        return data[:-2]

    async def answer(self) -> Answer:
        status, fields = await self.head()
        if "transfer-encoding" not in fields:
            length, body = int(fields.get("content-length", "0")), b""
            try:
                body = await soon(self.reader.readexactly(length))
            except asyncio.IncompleteReadError as error:
                return Answer(status, fields, error.partial, False)
            return Answer(status, fields, body, True)
        pieces: list[bytes] = []
        try:
            while data := await self.chunk():
                pieces.append(data)
        except asyncio.IncompleteReadError:
            return Answer(status, fields, b"".join(pieces), False)
        return Answer(status, fields, b"".join(pieces), True)

    async def ended(self) -> bytes:
        """Everything until the proxy closes the connection."""
        data: bytes = await soon(self.reader.read())
        return data

    def close(self) -> None:
        self.writer.close()


class Edge:
    """A proxy with scripted parts; `runners` by name."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.loop = AsyncLoop(asyncio.get_running_loop(), clock)
        self.selection, self.budget = ScriptedSelection(), ScriptedBudget()
        settings = NodeSettings("edge-1", "127.0.0.1", "z", spare_ports=[1, 2])
        self.proxy = Proxy(self.loop, settings, self.selection, self.budget, random.Random(1))
        self.records: dict[str, RunnerRecord] = {}
        self.wanted: list[tuple[str, str, str]] = []
        self.proxy.runners = lambda service: {
            name: record for name, record in self.records.items() if record.service == service
        }
        self.proxy.on_missing_model = lambda *key: self.wanted.append(key)
        self.clients: list[Client] = []

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection(*self.address))
        self.clients.append(client)
        return client

    async def ask(
        self,
        path: str = "/read_only/x",
        name: str = "id1",
        body: bytes = b"ask",
        method: str = "POST",
        **fields: str,
    ) -> Client:
        client = await self.client()
        client.ask(path, name, body, method, **fields)
        return client

    def move(self, seconds: float) -> None:
        """Moves the fake clock and does what has come due."""
        clock = self.loop.clock
        assert isinstance(clock, FakeClock)
        clock.time += seconds
        self.loop.deadlines.run_due(clock.now())

    address: tuple[str, int] = ("", 0)


@asynccontextmanager
async def edge(
    *runners: ScriptedRunner,
    config: Configuration | None = None,
    clock: Clock | None = None,
    configured: bool = True,
) -> AsyncIterator[Edge]:
    """A proxy that listens, with these runners."""
    made = Edge(clock)
    for runner in runners:
        made.records[runner.name] = await runner.start()
    if configured:
        made.proxy.configure(config or configuration())
    made.address = made.proxy.listen("127.0.0.1:0")
    try:
        yield made
        assert len(made.selection.sends) == len(made.selection.outcomes) or made.proxy.open_count
    finally:
        for client in made.clients:
            client.close()
        made.proxy.close()
        made.loop.close()
        for runner in runners:
            runner.close()
