"""The HTTP interface to the operator and to runners, on Tornado."""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from typing import Any, Protocol

import tornado.httpserver
import tornado.web

from ..configuration.change import NOT_GIVEN
from ..configuration.records import LARGEST
from ..net.address import parse_address
from ..runner_directory.errors import CheckInError
from .operator_service import OperatorResponse

MAX_BODY_BYTES = 64 << 20  # a configuration of many thousand routes
SERVER_OPTIONS: dict[str, int] = {  # of Tornado's server; the times are seconds
    "max_body_size": MAX_BODY_BYTES,
    "max_buffer_size": MAX_BODY_BYTES,
    "idle_connection_timeout": 60,
}
_VERSION = re.compile(r"[0-9]{1,19}")  # int() would also take "-1", "1_0" and digits of other scripts


class ControlService(Protocol):
    """What the interface asks of the process behind it."""

    async def operator_call(self, operation: str, base_version: int, body: bytes) -> OperatorResponse:
        """An operator's "replace", "change" or "read"."""

    async def checkin(self, runner: str, body: bytes) -> bool:
        """A runner's check-in; False if we must not acknowledge it now. Raises CheckInError."""

    async def leave(self, runner: str) -> bool:
        """A runner's end; False if we must not acknowledge it now."""


class _Handler(tornado.web.RequestHandler):
    def initialize(self, service: ControlService, address: str) -> None:
        self.service, self.address = service, address

    def answer(self, status: int, body: bytes) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def compute_etag(self) -> None:
        return None


def _base_version(text: str) -> int | None:
    """The version in the header, NOT_GIVEN if it is left out, None where it can be no version."""
    if not text:
        return NOT_GIVEN
    if _VERSION.fullmatch(text) is None or int(text) > LARGEST:
        return None
    return int(text)


class _OperatorHandler(_Handler):
    async def call(self, operation: str) -> None:
        base_version = _base_version(self.request.headers.get("X-Built-On", "").strip())
        if base_version is None:
            self.answer(400, b'{"error": "X-Built-On: is no whole number; give the version it builds on"}')
            return
        answer = await self.service.operator_call(operation, base_version, self.request.body)
        self.answer(answer.status, answer.body)


class _ReplaceHandler(_OperatorHandler):
    async def post(self) -> None:
        await self.call("replace")


class _ChangeHandler(_OperatorHandler):
    async def post(self) -> None:
        await self.call("change")


class _ReadHandler(_OperatorHandler):
    async def get(self) -> None:
        await self.call("read")


class _CheckinHandler(_Handler):
    async def post(self, runner: str) -> None:
        try:
            taken = await self.service.checkin(runner, self.request.body)
        except CheckInError as error:
            self.answer(400, json.dumps({"error": str(error)}).encode())
            return
        self.acknowledge(taken)

    def acknowledge(self, taken: bool) -> None:
        if taken:
            # A runner that stays with one process is watched there; moving about is news for all of them.
            self.answer(200, json.dumps({"beat_to": self.address}).encode())
        else:
            self.answer(503, b'{"error": "cut off from the other control processes; call another one"}')


class _LeaveHandler(_CheckinHandler):
    async def post(self, runner: str) -> None:
        self.acknowledge(await self.service.leave(runner))


def application(
    service: ControlService, address: str, further: Sequence[Any] = ()
) -> tornado.web.Application:
    """The paths; `address` is what runners are told to check in at. `further`: rules of Tornado's."""
    extra = {"service": service, "address": address}
    return tornado.web.Application(
        [
            (r"/Config\.Replace", _ReplaceHandler, extra),
            (r"/Config\.Change", _ChangeHandler, extra),
            (r"/Config\.Read", _ReadHandler, extra),
            (r"/Runners\.Checkin/([^/]+)", _CheckinHandler, extra),
            (r"/Runners\.Leave/([^/]+)", _LeaveHandler, extra),
            *further,
        ],
        log_function=lambda handler: None,
    )


def serve(
    service: ControlService, address: str, further: Sequence[Any] = ()
) -> tornado.httpserver.HTTPServer:
    """Listens for the operator and for runners at "host:port", and for `further` rules. Raises OSError."""
    server = tornado.httpserver.HTTPServer(application(service, address, further), **SERVER_OPTIONS)
    host, port = parse_address(address)
    server.listen(port, host, backlog=512)
    return server
