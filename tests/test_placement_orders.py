"""Orders and reports over real sockets: what a runner is told, and what its answer is taken for."""

import asyncio
import json
import socket

import pytest

from larchgw.placement.model import LOADING, Order, OrderOutcome
from larchgw.placement.orders import OrderClient


class Runner:
    """Answers with a status, or closes the connection without one."""

    def __init__(self, status, body=b""):
        self.status, self.body, self.seen = status, body, []

    async def serve(self, call):
        owner = self

        async def answer(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            fields = head.decode().split("\r\n")
            headers = dict(field.lower().split(": ", 1) for field in fields[1:] if field)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            method, path, _ = fields[0].split()
            owner.seen.append((method, path, headers.get("x-target-runner"), body))
            if owner.status is not None:
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
                             % (owner.status, len(owner.body), owner.body))
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        client = OrderClient("control-1")
        try:
            return await call(client, address)
        finally:
            client.close()
            server.close()


def order_at(address):
    return Order("i-7", address, LOADING, "m", if_revision=2)


@pytest.mark.parametrize("status, outcome", [
    (202, OrderOutcome.ACCEPTED), (409, OrderOutcome.CONFLICT), (412, OrderOutcome.FENCED),
    (503, OrderOutcome.UNKNOWN), (None, OrderOutcome.UNKNOWN)])
def test_an_order_reaches_the_runner_that_it_names_and_silence_is_no_refusal(status, outcome):
    runner = Runner(status)
    got = asyncio.run(runner.serve(lambda client, address: client.order(order_at(address), 41)))
    assert got is outcome
    method, path, target, body = runner.seen[0]
    assert (method, path, target) == ("POST", "/order", "i-7")
    assert json.loads(body) == {"order": "loading", "model": "m", "owner": "control-1", "fence": 41,
                                "if_revision": 2}


def test_an_order_that_no_connection_came_up_for_was_not_taken():
    async def call():
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
        client = OrderClient("control-1")
        try:
            return await client.order(order_at(address), 41), await client.report("i-7", address)
        finally:
            client.close()

    assert asyncio.run(call()) == (OrderOutcome.UNSENT, None)


def test_a_report_comes_from_the_runner_that_was_asked_for():
    runner = Runner(200, b'{"models":[],"occupied":false,"call_count":2}')
    report = asyncio.run(runner.serve(lambda client, address: client.report("i-7", address)))
    assert report is not None and report.call_count == 2
    assert runner.seen[0][:3] == ("GET", "/report", "i-7")


def test_another_runner_at_the_address_gives_no_report():
    runner = Runner(421, b'{"models":[],"occupied":false,"call_count":2}')
    assert asyncio.run(runner.serve(lambda client, address: client.report("i-7", address))) is None
