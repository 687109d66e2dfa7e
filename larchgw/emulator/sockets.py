"""The models on loopback sockets: boxes, discovery and open-loop clients of the platform's protocol.

The models are the ones of virtual time; only what carries them differs. All runs in one asyncio loop, in a
process other than the dispatcher's, and every record is kept on this side.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import httptools

from .box import Begun, Box, BoxSpec, Said, Work
from .load import ClassSpec, Job, LoadSpec
from .rules import Records, Sent, Try
from .vault import Vault

MAX_BODY = 1 << 16
CLOSE_AFTER = 15.0  # seconds that a box lets a connection stand idle
SKEW = 0.25  # seconds that one turn of a busy loop may lie between two sockets
MAX_IDLE = 256  # kept connections of the clients


class RealTime:
    """A `Timeline` of the running asyncio loop, on Unix time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._offset = time.time() - self._loop.time()

    def now(self) -> float:
        return self._loop.time() + self._offset

    def at(self, when: float, action: Callable[[], None]) -> Any:
        return self._loop.call_at(when - self._offset, action)

    def drop(self, entry: Any) -> None:
        if entry is not None:
            entry.cancel()


class Exchange(asyncio.Protocol):
    """One connection of a server here: whole requests, one at a time; pipelined ones wait."""

    def __init__(self, owner: Handler) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.headers: dict[str, str] = {}
        self.path, self.body = "", b""
        self.busy = False
        self.on_lost: Callable[[], None] | None = None
        self._url = b""
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.owner.open.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.open.discard(self)
        if self.on_lost:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        if self.busy:
            self._waiting += data
            if len(self._waiting) > MAX_BODY:
                self.abort()  # nobody waits politely with so much
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    # From the parser

    def on_message_begin(self) -> None:
        self.headers, self.body, self._url = {}, b"", b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.path, self.busy = self._url.decode("latin-1"), True
        self.owner.handle(self)

    # To the other side

    def write(self, data: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(data)

    def reply(self, status: int, body: bytes, extra: str = "") -> None:
        self.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (
            status, len(body), extra.encode("latin-1"), body))
        self.done()

    def chunk(self, line: dict[str, Any]) -> None:
        text = json.dumps(line).encode() + b"\n"
        self.write(b"%x\r\n%b\r\n" % (len(text), text))

    def done(self) -> None:
        """The answer is over; what came in meanwhile is read now."""
        self.busy, self.on_lost = False, None
        if self._waiting:
            data, self._waiting = bytes(self._waiting), bytearray()
            self.data_received(data)

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()


class Handler:
    """What a server here does with a request."""

    def __init__(self) -> None:
        self.open: set[Exchange] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    def handle(self, exchange: Exchange) -> None:
        raise NotImplementedError

    async def listen(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Exchange(self), "127.0.0.1", port)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def refuse(self) -> None:
        """Connections break and new ones are refused, as when a process ends."""
        if self.server:
            self.server.close()
        for exchange in list(self.open):
            exchange.abort()


class BoxServer(Handler):
    """A box at an address. A job's body says what it takes: `{"work": seconds, "slots": n}`."""

    def __init__(self, box: Box, records: Records) -> None:
        super().__init__()
        self.box, self.records = box, records

    def handle(self, exchange: Exchange) -> None:
        box, now = self.box, self.box.time.now()
        if exchange.path == "/-/load":
            exchange.reply(200, b"", f"X-Load: {self._load()}\r\n")
            return
        name = exchange.headers.get("x-request-id", "")
        try:
            asked = json.loads(exchange.body)
            work = Work(name, float(asked["work"]), lambda w, said: self._said(exchange, w, said, sent),
                        int(exchange.headers.get("x-key", "0") or "0", 16), int(asked.get("slots", 1)))
        except (ValueError, KeyError, TypeError):
            exchange.reply(400 if name else 404, b"no job\n")
            return
        sent = Sent(name, box.spec.name, now)
        self.records.sent[name].append(sent)
        self.records.sent_by.append(("larchgw", box.spec.name, now))
        exchange.on_lost = lambda: self._lost(work, sent)
        box.offer(work)

    def _said(self, exchange: Exchange, work: Work, said: Said, sent: Sent) -> None:
        name, box = work.request, self.box
        if said is Said.STARTED:
            exchange.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            exchange.chunk({"id": name, "from": box.spec.name, "state": "started"})
            return
        if said is Said.PROGRESS:
            exchange.chunk({"id": name, "from": box.spec.name, "state": "running", "share": 0.5})
            return
        sent.until = box.time.now()
        sent.never_ran = said is Said.FULL
        exchange.on_lost = None
        if said is Said.FULL:
            exchange.reply(503, b"", f"X-Not-Run: 1\r\nX-Load: {self._load()}\r\n")
        elif said is Said.LOST:
            exchange.abort()
        elif said is Said.FAILED:
            exchange.reply(500, b"", f"X-Load: {self._load()}\r\n")
        else:
            exchange.chunk({"id": name, "from": box.spec.name, "state": "done", "result": box.spec.name,
                            "load": self._figures()})
            exchange.write(b"0\r\n\r\n")
            exchange.done()

    def _lost(self, work: Work, sent: Sent) -> None:
        """The dispatcher has closed the connection: it has given the attempt up."""
        sent.until = min(sent.until, self.box.time.now())
        self.box.cancel(work)

    def _load(self) -> str:
        return ",".join(f"{name}={value:g}" for name, value in self._figures().items())

    def _figures(self) -> dict[str, float]:
        return dict(zip(("eps", "queue", "x0"), self.box.report, strict=True))


class Discovery(Handler):
    """The list of boxes, with watches."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.servers: dict[str, dict[str, Any]] = {}
        self._watching: list[tuple[Exchange, Any]] = []

    def tell(self, spec: BoxSpec, address: str, state: str = "SERVING", started: float = 0.0) -> None:
        self.version += 1
        self.servers[spec.name] = {
            "id": spec.name, "addr": address, "zone": f"room-{'abc'[spec.zone % 3]}", "kind": spec.kind,
            "cell": 0, "state": state, "weight": 1.0, "started_ms": int(1000 * started)}
        watching, self._watching = self._watching, []
        for exchange, timer in watching:
            timer.cancel()
            self._answer(exchange)

    def handle(self, exchange: Exchange) -> None:
        _, _, query = exchange.path.partition("?")
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if not exchange.path.startswith("/api/targets"):
            exchange.reply(404, b"")
        elif asked.get("after", "") == str(self.version):
            wait = min(float(asked.get("wait_ms", "0")) / 1000.0, 60.0)
            timer = asyncio.get_running_loop().call_later(wait, lambda: self._over(exchange))
            self._watching.append((exchange, timer))
        else:
            self._answer(exchange)

    def _over(self, exchange: Exchange) -> None:
        self._watching = [pair for pair in self._watching if pair[0] is not exchange]
        self._answer(exchange)

    def _answer(self, exchange: Exchange) -> None:
        exchange.reply(200, json.dumps({"version": self.version, "full": True,
                                        "servers": list(self.servers.values())}).encode())


@dataclass(slots=True)
class Installation:
    """Boxes with their servers, and discovery."""

    time: RealTime
    records: Records
    discovery: Discovery
    servers: dict[str, BoxServer]

    @classmethod
    async def start(cls, specs: Sequence[BoxSpec], fetch_s: float, lanes: int, seed: int) -> Installation:
        clock = RealTime()
        records, discovery = Records(slack=SKEW), Discovery()
        vault = Vault(clock, lanes, fetch_s)

        def began(begun: Begun) -> None:
            records.begun[begun.request].append(begun)

        servers = {spec.name: BoxServer(Box(clock, spec, vault, seed + i, began), records)
                   for i, spec in enumerate(specs)}
        records.boxes += (server.box for server in servers.values())
        await discovery.listen()
        for server in servers.values():
            await server.listen()
            discovery.tell(server.box.spec, server.address)
        return cls(clock, records, discovery, servers)

    def drain(self, name: str) -> None:
        """Discovery tells of the drain, at once."""
        server = self.servers[name]
        self.discovery.tell(server.box.spec, server.address, "DRAINING")
        self.records.drain_told("larchgw", name, self.time.now())

    async def restart(self, name: str) -> None:
        """The box's process ends and a new one starts, cold, at another port."""
        server = self.servers[name]
        server.box.crash()
        server.refuse()
        await server.listen()
        server.box.start()
        self.records.ready_told("larchgw", name, self.time.now())
        self.discovery.tell(server.box.spec, server.address, "SERVING", server.box.up_since)

    def close(self) -> None:
        for handler in (self.discovery, *self.servers.values()):
            handler.refuse()


class ClientLink(asyncio.Protocol):
    """One connection of the clients: a request, then its answer."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[tuple[int, dict[str, str], bytes]] | None = None
        self.keep = True
        self._parser: Any = None
        self._headers: dict[str, str] = {}
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.keep = False
        if self.answer and not self.answer.done():
            self.answer.set_exception(ConnectionResetError())

    def ask(self, data: bytes) -> asyncio.Future[tuple[int, dict[str, str], bytes]]:
        assert self.transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._headers, self._body = {}, b""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.answer

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self.keep = self.keep and self._parser.should_keep_alive()
        if self.answer and not self.answer.done():
            self.answer.set_result((self._parser.get_status_code(), self._headers, self._body))

    def close(self) -> None:
        self.keep = False
        if self.transport:
            self.transport.abort()


@dataclass(slots=True)
class Clients:
    """Sends jobs when they are due, whoever is slow; latency counts from then."""

    time: RealTime
    records: Records
    targets: Sequence[tuple[str, int]]  # the dispatchers, by zone
    load: LoadSpec
    jobs: list[Job]
    counts: dict[str, int] = field(default_factory=dict)
    _idle: dict[tuple[str, int], deque[ClientLink]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        """Until every job has its end."""
        for job in self.jobs:
            await asyncio.sleep(max(job.due - self.time.now(), 0.0))
            task = asyncio.create_task(self._job(job))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for links in self._idle.values():
            for link in links:
                link.close()

    async def _job(self, job: Job) -> None:
        cls = self.load.classes[job.job_class]
        try:
            while True:
                again = await self._try(job, cls)
                if again is None or len(job.tries) > self.load.retries:
                    break
                await asyncio.sleep(max(again, self.load.backoff_s))
        finally:
            self.counts[job.ended] = self.counts.get(job.ended, 0) + 1

    async def _try(self, job: Job, cls: ClassSpec) -> float | None:
        """Asks once. Seconds to wait before asking again, or None if that is of no use."""
        name = f"{job.number:x}-{len(job.tries)}"
        now = self.time.now()
        sent = min(now, job.due) if not job.tries else now  # late by our own doing: the client sent it then
        job.tries.append(name)
        record = self.records.tries[name] = Try(name, cls.effect == "unsafe", now, now + cls.deadline)
        body = json.dumps({"work": round(job.work, 4), "slots": job.slots}).encode()
        left = cls.deadline - (now - sent)
        data = (f"POST /{cls.name} HTTP/1.1\r\nHost: larchgw\r\nX-Request-Id: {name}\r\n"
                f"X-Key: {job.key:016x}\r\nX-Deadline-Ms: {max(int(1000 * left), 1)}\r\n"
                f"X-Extras: slots={job.slots}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        target = self.targets[job.zone % len(self.targets)]
        try:
            link = await self._link(target)
        except OSError:
            record.excused = True
            job.ended = "failed"
            return self.load.backoff_s
        try:
            status, headers, _ = await asyncio.wait_for(link.ask(data), max(left, 0.001))
        except TimeoutError:
            link.close()
            record.left = self.time.now()
            job.ended = "gave up"
            return None
        except OSError:
            record.excused = job.ended != ""
            job.ended = "failed"
            return None if cls.effect == "unsafe" else self.load.backoff_s
        now = self.time.now()
        if link.keep:
            idle = self._idle.setdefault(target, deque())
            idle.append(link)
            if len(idle) > MAX_IDLE:
                idle.popleft().close()
        job.ended = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        record.answers.append((now, job.ended))
        if status == 200:
            job.served_at = now
            begun = self.records.begun.get(name)
            job.began_at = begun[0].at if begun else 0.0
            return None
        if job.ended == "failed":
            return None
        try:
            return float(headers.get("retry-after", "0"))
        except ValueError:
            return 0.0

    async def _link(self, target: tuple[str, int]) -> ClientLink:
        idle = self._idle.get(target)
        while idle:
            link = idle.pop()
            if link.keep:
                return link
        _, link = await asyncio.get_running_loop().create_connection(ClientLink, *target)
        return link


def dispatcher_settings(load: LoadSpec, zones: int, instances: int = 1) -> dict[str, Any]:
    """What a dispatcher's configuration holds under `settings` for such a load."""
    effects = {"safe": "idempotent", "unsafe": "at_most_once"}
    return {
        "requestClasses": [{"name": c.name, "aim": c.aim, "deadline": c.deadline, "effect": effects[c.effect],
                            "points": c.worth} for c in load.classes],
        "nInstances": instances, "areas": [f"room-{'abc'[i % 3]}" for i in range(zones)],
        "shapes": ["gen5", "gen4", "gen3"], "worthBy": "work",
        "allowed": {"cancel": True, "maxAttempts": 3, "dialTimeout": 0.25, "idleClose": CLOSE_AFTER,
                    "probes": True, "retryAfter": True, "maxRetryAfter": 2.0},
        "familyInfo": {"tellsStart": True, "classStretch": [c.stretch for c in load.classes],
                       "classPriority": [c.priority for c in load.classes], "queueOrder": "fifo",
                       "reportX0": "free slots"},
        "obligations": {"coldFrom": 0.15, "warmUp": 22.0, "drainGrace": 1.0, "tipMultiple": 2.5, "fall": 3.0},
        "report": {"via": "piggyback", "fields": ["fail_rate", "q", "x0"]},
    }
