"""Responses to GET /status and GET /metrics must equal the recorded ones."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
import tornado.httpserver
import tornado.netutil
import tornado.web

from larchgw.runtime import http_status
from tests.support.asyncio_tests import on_loop

FIXTURES = Path(__file__).parents[1] / "fixtures" / "runtime"
STATUS = {"node_name": "core-1", "view": {"epoch": 9, "backups": ["core-2"]}, "isolated": False, "zone": "é"}
METRICS = b"# HELP larchgw_requests_total Requests\nlarchgw_requests_total 1.0\n"
PER_RUN_HEADERS = (b"Date:", b"Server:")  # current time and Tornado version


async def response_to(method: bytes, path: bytes) -> bytes:
    """Returns the full response of a server with these handlers, without headers that vary between runs."""
    application = tornado.web.Application(http_status.rules(lambda: STATUS, lambda: METRICS))
    server = tornado.httpserver.HTTPServer(application)
    sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    try:
        reader, writer = await asyncio.open_connection(*sockets[0].getsockname()[:2])
        writer.write(method + b" " + path + b" HTTP/1.1\r\nHost: core-1\r\nConnection: close\r\n\r\n")
        response = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
    finally:
        server.stop()
    lines = response.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.startswith(PER_RUN_HEADERS))


@pytest.mark.parametrize(
    ("method", "path", "name"),
    [
        (b"GET", b"/status", "get_status"),
        (b"GET", b"/metrics", "get_metrics"),
        (b"POST", b"/status", "post_status"),
    ],
)
@on_loop
async def test_response_is_the_recorded_one(method: bytes, path: bytes, name: str) -> None:
    assert await response_to(method, path) == (FIXTURES / f"{name}.http").read_bytes()
