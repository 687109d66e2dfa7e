"""The emulated clients: what a user waited, what is tried again, what was whole or never asked for."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest

from larchgw.emulator.system.clientlink import ClientLink
from larchgw.emulator.system.clients import Clients, Intent, draw
from larchgw.emulator.system.histogram import PRECISION, Histogram
from larchgw.emulator.system.records import Records, Try
from larchgw.emulator.system.site import CLASSES, Site
from tests.support.asyncio_tests import on_loop
from tests.support.system_runners import until

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Seal: s1\r\n"


@asynccontextmanager
async def linked(
    strays: list[float],
) -> AsyncIterator[tuple[ClientLink, asyncio.StreamReader, asyncio.StreamWriter]]:
    """A client's connection, and the edge's end of it."""
    ends: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
    server = await asyncio.start_server(lambda *ends_: ends.put_nowait(ends_), "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    now = asyncio.get_running_loop().time
    link = await ClientLink.connect(f"{host}:{port}", now, lambda: strays.append(now()))
    reader, writer = await ends.get()
    try:
        yield link, reader, writer
    finally:
        link.close()
        writer.close()
        server.close()


def attempt() -> Try:
    """A try that is about to be sent."""
    return Try("id1", "writing", "desk.example", "/ask/1", b"", "127.0.0.1", 0.0, 5.0)


@pytest.mark.parametrize("closed", ["no", "unseen", "seen"])
@on_loop
async def test_a_request_tells_whether_its_connection_was_closed_before_it_was_sent(closed: str) -> None:
    async with linked([]) as (link, _, edge):
        if closed != "no":
            # On a busy machine the client's loop sees a close late.
            edge.get_extra_info("socket").shutdown(socket.SHUT_WR)
        if closed == "seen":
            await until(lambda: not link.usable)
        one = attempt()
        link.ask(b"POST /ask/1 HTTP/1.1\r\n\r\n", one)
        assert one.closed_before is (closed != "no")


@pytest.mark.parametrize(
    ("answer", "closes", "whole"),
    [
        (HEAD + b"Content-Length: 4\r\n\r\ndone", False, True),
        (HEAD + b"Content-Length: 4\r\n\r\ndo", True, False),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", False, True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", True, False),
        (HEAD + b"\r\ndone", True, True),
    ],
)
@on_loop
async def test_only_an_answer_that_ended_by_its_framing_is_whole(
    answer: bytes, closes: bool, whole: bool
) -> None:
    strays: list[float] = []
    async with linked(strays) as (link, requests, edge):
        one = attempt()
        over = link.ask(b"POST /ask/1 HTTP/1.1\r\n\r\n", one)
        await requests.readuntil(b"\r\n\r\n")  # a close with unread bytes would be a reset
        edge.write(answer)
        if closes:
            edge.close()
        await over
        assert one.whole is whole
        assert (one.status, one.seal, one.answer_id) == (200, "s1", "id1")
        assert one.answer in (b"done", b"do")
        assert strays == []
        assert link.usable is not closes


@pytest.mark.parametrize("surplus", [HEAD + b"Content-Length: 0\r\n\r\n", b"\x00 no answer"])
@on_loop
async def test_bytes_that_nobody_asked_for_are_noticed(surplus: bytes) -> None:
    strays: list[float] = []
    async with linked(strays) as (link, _, edge):
        over = link.ask(b"POST /ask/1 HTTP/1.1\r\n\r\n", attempt())
        edge.write(HEAD + b"Content-Length: 0\r\n\r\n")
        await over
        edge.write(surplus)
        while not strays:
            await asyncio.sleep(0.002)
        assert not link.usable


def test_the_same_seed_asks_for_the_same() -> None:
    site = Site(rate=50.0)

    def drawn(seed: int) -> list[Any]:
        return draw(site, 20.0, random.Random(seed), lambda due: site.model_names())

    assert drawn(1) == drawn(1)
    assert drawn(1) != drawn(2)
    assert {intent.wanted.name for intent in drawn(1)} == {one.name for one in site.classes}
    assert all(0.0 <= intent.due < 20.0 for intent in drawn(1))
    assert 800 < len(drawn(1)) < 1200


def test_a_quantile_is_known_to_the_width_of_a_bucket() -> None:
    histogram, values = Histogram(), [0.001 * number for number in range(1, 1001)]
    for value in values:
        histogram.add(value)
    for share in (0.01, 0.5, 0.9, 0.99, 1.0):
        exact = values[int(share * 1000) - 1]
        assert exact * (1 - PRECISION) <= histogram.quantile(share) <= exact * (1 + PRECISION)
    assert histogram.most == 1.0
    assert Histogram().quantile(0.5) == 0.0


@dataclass(slots=True)
class ScriptedEdge:
    """Stands for the ingress and the one edge behind it: gives its answers in turn, 200 behind them."""

    answers: list[bytes]
    front: str = ""
    ip: str = "127.0.0.1"
    connections: int = 0

    def pick(self, zone: str) -> ScriptedEdge:
        """The ingress's choice."""
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
                await reader.readexactly(int(fields["Content-Length"]))
                served = b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\ndone"
                writer.write(self.answers.pop(0) if self.answers else served)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def refusal(status: int, **fields: str) -> bytes:
    """An answer of the edge's own."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} No\r\nContent-Length: 0\r\n{lines}\r\n".encode()


async def play(edge: ScriptedEdge, name: str, late_s: float = 0.0) -> tuple[Clients, Records]:
    """One request of this class, which was due so long ago."""
    server = await asyncio.start_server(edge.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    edge.front = f"{host}:{port}"
    records, now = Records(), asyncio.get_running_loop().time
    clients = Clients(edge, records, now, random.Random(1), lambda host, target: ("lookup",))  # type: ignore
    wanted = next(one for one in CLASSES if one.name == name)
    await clients.play([Intent(1, wanted, 0.0, "hall-a")], now() - late_s)
    clients.close()
    server.close()
    return clients, records


@pytest.mark.parametrize(
    ("name", "answer", "tries"),
    [
        ("ticket", refusal(503, Retry_After="0.01"), 2),
        ("ticket", refusal(429), 2),
        ("ticket", refusal(502), 1),
        ("ticket", refusal(504), 1),
        ("level", refusal(502), 2),
        ("level", refusal(504), 2),
        ("level", refusal(404), 1),
        ("level", refusal(400), 1),
    ],
)
@on_loop
async def test_a_request_is_tried_again_as_the_protocol_allows(name: str, answer: bytes, tries: int) -> None:
    edge = ScriptedEdge([answer])
    clients, records = await play(edge, name)
    result = clients.results[name]
    assert (result.asked, result.tries, result.served) == (1, tries, tries - 1)
    assert len(records.tries) == tries == edge.connections  # each with an id and a connection of its own


@on_loop
async def test_latency_counts_from_when_a_request_was_due() -> None:
    clients, _ = await play(ScriptedEdge([]), "ticket", late_s=2.0)
    result = clients.results["ticket"]
    assert result.served == 1
    assert result.in_time == 0
    assert result.latency.most >= 2.0


@on_loop
async def test_a_request_that_is_never_answered_is_given_up_at_its_deadline() -> None:
    clients, records = await play(ScriptedEdge([b""]), "ticket", late_s=3.9)
    (one,) = records.tries.values()
    assert one.gave_up
    assert one.status == 0
    assert clients.results["ticket"].failed == 1
