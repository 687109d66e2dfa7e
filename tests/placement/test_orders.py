"""Orders and reports over real sockets: the requests that runners get and the outcomes of their responses."""

import asyncio
import json
import math
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import pytest

from larchgw.configuration.settings import NodeSettings
from larchgw.control import placer_role
from larchgw.control.node import ControlNode
from larchgw.identifiers import RunnerId
from larchgw.placement.model import Order, OrderAction, OrderOutcome, RunnerReport
from larchgw.placement.orders import OrderClient

T = TypeVar("T")
RUNNER_ID = RunnerId("i-7")


class RunnerStub:
    """Responds with a status, or closes the connection without a response if the status is None."""

    def __init__(self, status: int | None, body: bytes = b"") -> None:
        self.status, self.body = status, body
        self.seen: list[tuple[str, str, str | None, bytes]] = []

    async def serve(self, call: Callable[[OrderClient, str], Awaitable[T]]) -> T:
        owner = self

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = head.decode().split("\r\n")
            headers = dict(field.lower().split(": ", 1) for field in fields[1:] if field)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            method, path, _ = fields[0].split()
            owner.seen.append((method, path, headers.get("x-target-runner"), body))
            if owner.status is not None:
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
                    % (owner.status, len(owner.body), owner.body)
                )
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        client = OrderClient("control-1")
        try:
            return await call(client, address)
        finally:
            client.close()
            server.close()


def order_at(address: str) -> Order:
    return Order(RUNNER_ID, address, OrderAction.LOADING, "m", if_revision=2)


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (202, OrderOutcome.ACCEPTED),
        (409, OrderOutcome.CONFLICT),
        (412, OrderOutcome.FENCED),
        (503, OrderOutcome.UNKNOWN),
        (None, OrderOutcome.UNKNOWN),
    ],
)
def test_an_order_reaches_its_runner_and_a_missing_response_is_not_a_rejection(
    status: int | None, outcome: OrderOutcome
) -> None:
    runner = RunnerStub(status)
    got = asyncio.run(runner.serve(lambda client, address: client.order(order_at(address), 41, math.inf)))
    assert got is outcome
    method, path, target, body = runner.seen[0]
    assert (method, path, target) == ("POST", "/order", "i-7")
    assert json.loads(body) == {
        "order": "loading",
        "model": "m",
        "owner": "control-1",
        "fence": 41,
        "if_revision": 2,
    }


def test_an_order_without_a_connection_was_not_sent() -> None:
    async def call() -> tuple[OrderOutcome, RunnerReport | None]:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
        client = OrderClient("control-1")
        try:
            return await client.order(order_at(address), 41, math.inf), await client.report(
                RUNNER_ID, address
            )
        finally:
            client.close()

    assert asyncio.run(call()) == (OrderOutcome.UNSENT, None)


def test_a_report_request_names_the_target_runner() -> None:
    runner = RunnerStub(200, b'{"models":[],"occupied":false,"call_count":2}')
    report = asyncio.run(runner.serve(lambda client, address: client.report(RUNNER_ID, address)))
    assert report is not None
    assert report.order_count == 2
    assert runner.seen[0][:3] == ("GET", "/report", "i-7")


def test_a_421_response_gives_no_report() -> None:
    runner = RunnerStub(421, b'{"models":[],"occupied":false,"call_count":2}')
    assert asyncio.run(runner.serve(lambda client, address: client.report(RUNNER_ID, address))) is None


class PersistentRunnerStub:
    """Keeps connections open and handles each call by the next step of `script`.

    A step is the bytes of a response, "reset" or "close"; after the last step, connections are reset.
    """

    def __init__(self, *script: bytes | str, closes: bool = False) -> None:
        self.script, self.closes = list(script), closes
        self.seen: list[tuple[str, bytes]] = []
        self.connections = 0

    async def serve(self, call: Callable[[OrderClient, str], Awaitable[T]]) -> T:
        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections += 1
            try:
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
                    body = await reader.readexactly(int(fields.get("content-length", 0)))
                    self.seen.append((head.split()[1], body))
                    step = self.script.pop(0) if self.script else "reset"
                    if step == "reset":
                        sock = writer.get_extra_info("socket")
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        writer.transport.abort()
                        return
                    if step == "close":
                        return
                    assert isinstance(step, bytes)
                    writer.write(step)
                    if self.closes:
                        return
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        self.server = server = await asyncio.start_server(respond, "127.0.0.1", 0)
        client = OrderClient("control-1")
        try:
            return await call(client, "{}:{}".format(*server.sockets[0].getsockname()))
        finally:
            client.close()
            server.close()


REPORT_BODY = b'{"models":[],"occupied":false,"call_count":2}'


def http_response(status: int, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


@pytest.mark.parametrize("end", ["reset", "close"])
def test_curl_does_not_repeat_an_order_whose_connection_closes_without_a_response(end: str) -> None:
    """Guards against duplicate orders: curl repeats a request if a reused connection closes without a byte.

    The report leaves a connection that curl reuses for the order.
    """

    async def call(client: OrderClient, address: str) -> OrderOutcome:
        assert await client.report(RUNNER_ID, address) is not None
        return await client.order(order_at(address), 41, math.inf)

    runner = PersistentRunnerStub(http_response(200, REPORT_BODY), end, http_response(409))
    assert asyncio.run(runner.serve(call)) is OrderOutcome.UNKNOWN
    assert [path for path, _ in runner.seen] == ["/report", "/order"]


def test_an_order_on_a_reused_connection_that_is_reset_may_have_been_accepted() -> None:
    """Guards against the outcome UNSENT because curl's second connection is refused.

    The order may have reached the runner on the first connection.
    """

    async def call(client: OrderClient, address: str) -> OrderOutcome:
        assert await client.report(RUNNER_ID, address) is not None
        runner.server.close()  # refuses new connections; the open one stays
        return await client.order(order_at(address), 41, math.inf)

    runner = PersistentRunnerStub(http_response(200, REPORT_BODY), "reset")
    assert asyncio.run(runner.serve(call)) is OrderOutcome.UNKNOWN
    assert [path for path, _ in runner.seen] == ["/report", "/order"]


def test_an_order_is_not_sent_if_its_deadline_passes_before_the_connection_is_ready() -> None:
    runner = RunnerStub(202)
    begin_by_s = time.monotonic() - 0.001
    got = asyncio.run(runner.serve(lambda client, address: client.order(order_at(address), 41, begin_by_s)))
    assert got is OrderOutcome.UNSENT
    assert runner.seen == []


def test_orders_and_reports_reuse_a_connection() -> None:
    """A new connection uses one of the runner's slots for a moment, which would delay its requests."""

    async def call(client: OrderClient, address: str) -> tuple[OrderOutcome, OrderOutcome]:
        await client.report(RUNNER_ID, address)
        return await client.order(order_at(address), 41, math.inf), await client.order(
            order_at(address), 41, math.inf
        )

    runner = PersistentRunnerStub(http_response(200, REPORT_BODY), http_response(202), http_response(409))
    assert asyncio.run(runner.serve(call)) == (OrderOutcome.ACCEPTED, OrderOutcome.CONFLICT)
    assert runner.connections == 1


def test_a_report_is_fetched_on_a_new_connection_if_a_reused_one_closes() -> None:
    async def call(client: OrderClient, address: str) -> RunnerReport | None:
        await client.report(RUNNER_ID, address)
        return await client.report(RUNNER_ID, address)

    runner = PersistentRunnerStub(http_response(200, REPORT_BODY), "reset", http_response(200, REPORT_BODY))
    assert asyncio.run(runner.serve(call)) is not None
    assert len(runner.seen) == 3


def test_a_surplus_response_after_a_report_is_not_used_for_an_order() -> None:
    async def call(client: OrderClient, address: str) -> OrderOutcome:
        await client.report(RUNNER_ID, address)
        return await client.order(order_at(address), 41, math.inf)

    runner = PersistentRunnerStub(http_response(200, REPORT_BODY) + http_response(202), http_response(409))
    assert asyncio.run(runner.serve(call)) is OrderOutcome.CONFLICT


class RepeatingRunnerStub:
    """Sends its response to each call a second time once the next call has come on the same connection."""

    def __init__(self, *responses: tuple[int, bytes]) -> None:
        self.responses = list(responses)

    async def serve(self, call: Callable[[OrderClient, str], Awaitable[T]]) -> T:
        server = await asyncio.start_server(self._respond, "127.0.0.1", 0)
        client = OrderClient("control-1")
        try:
            return await call(client, "{}:{}".format(*server.sockets[0].getsockname()))
        finally:
            client.close()
            server.close()

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        repeated = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                status, body = self.responses.pop(0)
                names = f"X-Attempt-Id: {fields['x-attempt-id']}\r\n" if "x-attempt-id" in fields else ""
                head = f"HTTP/1.1 {status} X\r\n{names}Content-Length: {len(body)}\r\n\r\n"
                response = head.encode() + body
                writer.write(repeated + response)
                repeated = response
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@pytest.mark.parametrize("first", [200, 202, 409, 421])
def test_a_late_second_response_to_an_order_is_not_used_for_the_next_order(first: int) -> None:
    # Guards against a load that is not counted, or one that is waited for in vain, because the response to an
    # earlier order, sent again late, was taken for the one to the next.
    async def call(client: OrderClient, address: str) -> OrderOutcome:
        await client.order(order_at(address), 41, math.inf)
        return await client.order(order_at(address), 41, math.inf)

    second = 409 if first == 202 else 202
    runner = RepeatingRunnerStub((first, b""), (second, b""))
    assert asyncio.run(runner.serve(call)) is OrderOutcome.UNKNOWN


def test_a_late_second_report_is_not_used_for_the_next_order_or_report() -> None:
    async def call(client: OrderClient, address: str) -> tuple[OrderOutcome, RunnerReport | None]:
        await client.report(RUNNER_ID, address)
        await client.report(RUNNER_ID, address)
        report = await client.report(RUNNER_ID, address)
        return await client.order(order_at(address), 41, math.inf), report

    older, newer = REPORT_BODY, REPORT_BODY.replace(b":2}", b":3}")
    runner = RepeatingRunnerStub((200, older), (200, newer), (200, newer), (202, b""))
    outcome, report = asyncio.run(runner.serve(call))
    assert outcome in (OrderOutcome.UNKNOWN, OrderOutcome.ACCEPTED)
    assert report is None or report.order_count == 3


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 202 X\r\nContent-Length: 9\r\n\r\nhalf",
        b"\0 no answer\r\n\r\n",
        b"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha",
    ],
)
def test_an_order_with_a_truncated_or_malformed_response_may_have_been_accepted(response: bytes) -> None:
    async def call(client: OrderClient, address: str) -> OrderOutcome:
        return await client.order(order_at(address), 41, math.inf)

    assert asyncio.run(PersistentRunnerStub(response, closes=True).serve(call)) is OrderOutcome.UNKNOWN


def test_the_owner_of_orders_does_not_depend_on_the_node_name_or_on_restarts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The owner in the orders is the address of the control process."""
    owners: list[str] = []
    monkeypatch.setattr(placer_role, "OrderClient", owners.append)
    for name, incarnation in (("core-1", "a"), ("core-1", "b"), ("renamed", "c")):
        folder = tmp_path / incarnation
        folder.mkdir()
        settings = NodeSettings(
            name,
            "127.0.0.1",
            "z",
            spare_ports=[7660, 7675],
            first_boot=True,
            seed_list=["127.0.0.1:8146"],
            data_dir=str(folder),
        )
        ControlNode(settings).components.runners.placer.start()
    assert owners == ["127.0.0.1:7660"] * 3
