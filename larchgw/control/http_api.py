"""The HTTP API for the operator and for runners, on Tornado."""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from typing import Any, Protocol

import tornado.httpserver
import tornado.web

from ..configuration.change import CHANGE, NO_BASE_VERSION, REPLACE
from ..configuration.json_values import MAX_NUMBER
from ..net.address import parse_address
from ..runner_directory.errors import CheckInError
from .operator_calls import READ
from .operator_service import OperatorResponse

MAX_BODY_BYTES = 64 << 20  # enough for a configuration with many thousands of routes
SERVER_OPTIONS: dict[str, int] = {  # options of Tornado's server; times are in seconds
    "max_body_size": MAX_BODY_BYTES,
    "max_buffer_size": MAX_BODY_BYTES,
    "idle_connection_timeout": 60,
}
BASE_VERSION_HEADER = "X-Built-On"
LISTEN_BACKLOG = 512  # connections that the kernel queues until they are accepted
_VERSION = re.compile(r"[0-9]{1,19}")  # int() also accepts "-1", "1_0" and digits of other scripts


class OperatorCallService(Protocol):
    """Serves the operator's calls."""

    async def operator_call(self, operation: str, base_version: int, body: bytes) -> OperatorResponse:
        """Serves one call of the operator.

        Args:
            operation: "replace", "change" or "read".
            base_version: The version that an order is based on; NO_BASE_VERSION if it names none.
            body: The order as received.
        """


class CheckInService(Protocol):
    """Serves the calls of runners."""

    async def check_in(self, runner_id: str, body: bytes) -> bool:
        """Records a runner's check-in.

        Returns:
            False if it must not be acknowledged now.

        Raises:
            CheckInError: The body is not a valid check-in.
        """

    async def leave(self, runner_id: str) -> bool:
        """Records that a runner has left; returns False if that must not be acknowledged now."""


class _Handler(tornado.web.RequestHandler):
    """Responds with JSON, without an ETag header."""

    def answer(self, status: int, body: bytes) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def compute_etag(self) -> None:
        return None


def _base_version(text: str) -> int | None:
    """Parses the version header: NO_BASE_VERSION if it is missing, None if it is not a valid version."""
    if not text:
        return NO_BASE_VERSION
    if _VERSION.fullmatch(text) is None or int(text) > MAX_NUMBER:
        return None
    return int(text)


class _OperatorHandler(_Handler):
    """Forwards a call of the operator with the base version from its header."""

    def initialize(self, operator_calls: OperatorCallService) -> None:
        self.operator_calls = operator_calls

    async def call(self, operation: str) -> None:
        base_version = _base_version(self.request.headers.get(BASE_VERSION_HEADER, "").strip())
        if base_version is None:
            self.answer(400, b'{"error": "X-Built-On: is no whole number; give the version it builds on"}')
            return
        response = await self.operator_calls.operator_call(operation, base_version, self.request.body)
        self.answer(response.status, response.body)


class _ReplaceHandler(_OperatorHandler):
    """`Config.Replace`."""

    async def post(self) -> None:
        await self.call(REPLACE)


class _ChangeHandler(_OperatorHandler):
    """`Config.Change`."""

    async def post(self) -> None:
        await self.call(CHANGE)


class _ReadHandler(_OperatorHandler):
    """`Config.Read`."""

    async def get(self) -> None:
        await self.call(READ)


class _RunnerHandler(_Handler):
    """Acknowledges a call of a runner, or rejects it so that the runner tries another control process."""

    def initialize(self, check_ins: CheckInService, address: str) -> None:
        self.check_ins, self.address = check_ins, address

    def acknowledge(self, may_acknowledge: bool) -> None:
        if may_acknowledge:
            # The runner is asked to keep calling this process: each change of process must be replicated
            # to all of them.
            self.answer(200, json.dumps({"beat_to": self.address}).encode())
        else:
            self.answer(503, b'{"error": "cut off from the other control processes; call another one"}')


class _CheckInHandler(_RunnerHandler):
    """`Runners.Checkin`."""

    async def post(self, runner_id: str) -> None:
        try:
            may_acknowledge = await self.check_ins.check_in(runner_id, self.request.body)
        except CheckInError as error:
            self.answer(400, json.dumps({"error": str(error)}).encode())
            return
        self.acknowledge(may_acknowledge)


class _LeaveHandler(_RunnerHandler):
    """`Runners.Leave`."""

    async def post(self, runner_id: str) -> None:
        self.acknowledge(await self.check_ins.leave(runner_id))


def application(
    operator_calls: OperatorCallService,
    check_ins: CheckInService,
    address: str,
    additional_rules: Sequence[Any] = (),
) -> tornado.web.Application:
    """Creates the Tornado application.

    Args:
        operator_calls: Serves the operator's calls.
        check_ins: Serves the calls of runners.
        address: "host:port" at which runners are told to check in.
        additional_rules: Further rules in Tornado's form.
    """
    operator_options = {"operator_calls": operator_calls}
    runner_options = {"check_ins": check_ins, "address": address}
    return tornado.web.Application(
        [
            (r"/Config\.Replace", _ReplaceHandler, operator_options),
            (r"/Config\.Change", _ChangeHandler, operator_options),
            (r"/Config\.Read", _ReadHandler, operator_options),
            (r"/Runners\.Checkin/([^/]+)", _CheckInHandler, runner_options),
            (r"/Runners\.Leave/([^/]+)", _LeaveHandler, runner_options),
            *additional_rules,
        ],
        log_function=lambda handler: None,
    )


def serve(
    operator_calls: OperatorCallService,
    check_ins: CheckInService,
    address: str,
    additional_rules: Sequence[Any] = (),
) -> tornado.httpserver.HTTPServer:
    """Starts the HTTP server for the operator and for runners at `address`; see `application`.

    Raises:
        OSError: The server cannot listen at the address.
    """
    rules = application(operator_calls, check_ins, address, additional_rules)
    server = tornado.httpserver.HTTPServer(rules, **SERVER_OPTIONS)
    host, port = parse_address(address)
    server.listen(port, host, backlog=LISTEN_BACKLOG)
    return server
