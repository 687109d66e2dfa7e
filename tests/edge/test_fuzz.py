"""Malformed and malicious bytes on sockets: runners get only what was sent, and valid requests still succeed.

All random data comes from fixed seeds, so that failures are reproducible.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import pytest

from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import HOST, Answer, Call, Client, Edge, ScriptedRunner, edge, soon

MUTANTS = 400
VICTIM_BODY = b"the victim's own"
HEAD_LIMIT = 16384  # of the default configuration of `edge`
CHARACTERS = b"\r\n\t :;,\x00\x7f\xff0aZ/%-"


class RecordingRunner:
    """Serves and records every request that reaches a runner."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    async def serve(self, runner: ScriptedRunner) -> None:
        """Answers each request with its id."""
        while True:
            call = await runner.call()
            self.calls.append(call)
            call.answer(call.id.encode())

    def named(self, id: str) -> list[Call]:
        """Returns the requests with this attempt id."""
        return [call for call in self.calls if call.id == id]


@asynccontextmanager
async def serving() -> AsyncIterator[tuple[Edge, RecordingRunner]]:
    """Runs an edge with one runner that serves all requests."""
    runner, seen = ScriptedRunner("i-1"), RecordingRunner()
    async with edge(runner) as made:
        task = asyncio.create_task(seen.serve(runner))
        try:
            yield made, seen
        finally:
            task.cancel()


def request(id: str, body: bytes = b"ask", path: str = "/writing/x", chunked: bool = False) -> bytes:
    """Returns a valid request."""
    fields = [f"Host: {HOST}", f"X-Attempt-Id: {id}", "X-Time-Left-Ms: 4000", "X-Extra: some, text"]
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    head = "\r\n".join([f"POST {path} HTTP/1.1", *fields, framing]).encode() + b"\r\n\r\n"
    if not chunked:
        return head + body
    middle = len(body) // 2
    parts = [part for part in (body[:middle], body[middle:]) if part]
    return head + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in [*parts, b""])


async def run_loop(count: int = 3) -> None:
    """Runs the loop until written data is read."""
    for _ in range(count):
        await asyncio.sleep(0)


@on_loop
async def test_a_request_in_any_two_pieces_is_parsed_alike() -> None:
    async with serving() as (made, seen):
        client = await made.client()
        for chunked in (False, True):
            length = len(request("id0000", chunked=chunked))
            for cut in range(1, length):
                id = f"id{cut:04d}"
                data = request(id, chunked=chunked)
                client.writer.write(data[:cut])
                await run_loop()
                client.writer.write(data[cut:])
                answer = await client.answer()
                assert (answer.status, answer.body) == (200, id.encode()), (chunked, cut)
            bodies = {call.body for call in seen.calls}
            assert bodies == {b"ask"}
            assert len(seen.calls) == length - 1
            seen.calls.clear()


def pieces(data: bytes, rng: random.Random) -> Iterator[bytes]:
    """Splits data into pieces of random sizes."""
    while data:
        size = rng.choice((1, 2, 7, 64, 500))
        yield data[:size]
        data = data[size:]


@pytest.mark.parametrize("seed", range(4))
@on_loop
async def test_pipelined_requests_in_any_pieces_keep_their_order_and_bodies(seed: int) -> None:
    rng = random.Random(seed)
    sent = {f"id{number}": rng.randbytes(rng.choice((0, 1, 300, 3000))) for number in range(25)}
    async with serving() as (made, seen):
        client = await made.client()
        data = b"".join(
            request(id, body, chunked=bool(body) and rng.random() < 0.5) for id, body in sent.items()
        )

        async def write() -> None:
            for piece in pieces(data, rng):
                client.writer.write(piece)
                await asyncio.sleep(0)

        writing = asyncio.create_task(write())
        for id in sent:
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, id.encode())
            assert answer.fields["x-attempt-id"] == id
        await writing
        assert {call.id: call.body for call in seen.calls} == sent


def mutant(data: bytes, rng: random.Random) -> bytes:
    """Returns the request with some bytes changed, added, removed or repeated."""
    for _ in range(rng.randint(1, 3)):
        at = rng.randrange(len(data))
        end = min(at + rng.randint(1, 12), len(data))
        change = rng.randrange(5)
        if change == 0:
            data = data[:at] + bytes([rng.choice(CHARACTERS)]) + data[at + 1 :]
        elif change == 1:
            data = data[:at] + bytes([rng.choice(CHARACTERS)]) + data[at:]
        elif change == 2:
            data = data[:at] + data[end:]
        elif change == 3:
            data = data[:end] + data[at:]
        else:
            lines = data.split(b"\r\n")
            data = b"\r\n".join([*lines[:1], rng.choice(lines), *lines[1:]])
    return data


async def all_answers(client: Client) -> list[Answer]:
    """Returns every response until the connection ends."""
    answers = []
    while True:
        try:
            answers.append(await client.answer())
        except (asyncio.IncompleteReadError, ConnectionError):
            return answers


@pytest.mark.parametrize("seed", range(4))
@on_loop
async def test_a_malformed_request_never_changes_the_next_one(seed: int) -> None:
    rng = random.Random(seed)
    async with serving() as (made, seen):
        for number in range(MUTANTS // 4):
            seen.calls.clear()
            body, chunked = rng.choice((b"", b"ask" * 9)), rng.random() < 0.4
            data = mutant(request(f"m{number}", body, chunked=chunked), rng)
            client = await made.client()
            client.writer.write(data + request("victim", VICTIM_BODY))
            client.writer.write_eof()
            answers = await all_answers(client)
            assert all(answer.whole for answer in answers), data
            victims = seen.named("victim")
            assert [call.body for call in victims] in ([], [VICTIM_BODY]), data
            assert all(call.line == "POST /writing/x HTTP/1.1" for call in victims), data
            served = [answer for answer in answers if answer.status == 200]
            assert [answer.fields["x-attempt-id"] for answer in served] == [call.id for call in seen.calls], (
                data
            )
            for call in seen.calls:
                assert call.line.split(" ")[1].encode() in data + request("victim"), data
                assert [name for name, _ in call.fields].count("x-attempt-id") == 1, data
        client = await made.ask("/writing/x", "after")
        assert (await client.answer()).status == 200
        assert made.proxy.open_count == 0


SMUGGLED = request("inner", b"", "/writing/smuggled")


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 5\r\nContent-Length: %d",
        b"Content-Length: %d\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nContent-Length: %d",
        b"Transfer-Encoding: identity\r\nContent-Length: %d",
        b"Transfer-Encoding: xchunked\r\nContent-Length: %d",
        b"Transfer-Encoding : chunked\r\nContent-Length: %d",
        b"Transfer-Encoding:\x0bchunked\r\nContent-Length: %d",
        b"Content-Length: +%d",
        b"Content-Length: %d, 0",
        b"Content-Length: 0x%d",
        b"Content-Length: -%d",
        b"X: y\rContent-Length: %d",
        b"X: y\nContent-Length: %d",
    ],
)
@on_loop
async def test_an_ambiguous_length_never_yields_two_requests(framing: bytes) -> None:
    async with serving() as (made, seen):
        body = b"0\r\n\r\n" + SMUGGLED
        head = f"POST /writing/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: outer\r\n".encode()
        client = await made.client()
        client.writer.write(head + framing % len(body) + b"\r\n\r\n" + body)
        client.writer.write_eof()
        await all_answers(client)
        assert seen.named("inner") == []
        assert all(call.body == body for call in seen.calls)


@pytest.mark.parametrize(
    "head",
    [
        b"GET /read_only/" + b"x" * 2 * HEAD_LIMIT,
        b"GET /read_only/x HTTP/1.1\r\nX-Long: " + b"y" * 2 * HEAD_LIMIT,
        b"GET /read_only/x HTTP/1.1\r\n" + b"X-Name: v\r\n" * (HEAD_LIMIT // 8),
        b"GET /read_only/x HTTP/1.1\r\n" + b"y" * 2 * HEAD_LIMIT,
        b"\r\n" * 2 * HEAD_LIMIT,
        b"POST /writing/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"0" * 2 * HEAD_LIMIT,
        b"POST /writing/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"e" * 2 * HEAD_LIMIT,
    ],
)
@on_loop
async def test_an_endless_head_is_rejected_and_others_are_served(head: bytes) -> None:
    async with serving() as (made, seen):
        client = await made.client()
        client.writer.write(head)
        client.writer.write_eof()
        try:
            said = await soon(client.reader.read())
        except ConnectionError:
            said = b""  # closed with unread bytes, so reset
        assert said == b"" or said.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5")), said[:80]
        assert seen.calls == []
        good = await made.ask("/writing/x", "good")
        assert (await good.answer()).status == 200
