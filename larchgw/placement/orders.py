"""HTTP client for POST /order and GET /report at runners, using Tornado's curl client.

curl repeats a request on its own if a reused connection closes before the first byte of the response. The
runner may have accepted the first one, so the body of an order can be read only once.

A runner may send a response twice, the second time late, where the response to the next call on the
connection is expected. Each call therefore has an `X-Attempt-Id` of its own, which responses repeat: one with
another id belongs to an earlier call. See docs/calls.md.
"""

from __future__ import annotations

import itertools
import json
import secrets
import time
from collections.abc import Mapping
from io import BytesIO
from types import MappingProxyType

import pycurl
import structlog
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPResponse

from ..identifiers import RunnerId
from .model import Order, OrderOutcome, RunnerReport

log = structlog.get_logger()

CONNECT_TIMEOUT_S = 0.3
REQUEST_TIMEOUT_S = 0.8
MAX_ORDERS = 64  # maximum number of orders in flight
MAX_REPORTS = 64  # the same for reports; further calls would queue inside the client until they are outdated

ATTEMPT_ID = "X-Attempt-Id"
CLIENT_ID_BYTES = 6  # random part of the attempt ids of one client

NO_HEADERS: Mapping[str, str] = MappingProxyType({})

_OUTCOME_BY_STATUS = {
    200: OrderOutcome.ALREADY_HELD,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_RUNNER,
}


class ForeignResponseError(OSError):
    """The response belongs to another call, so that nothing is known of this one."""

    def __init__(self, attempt_id: str, expected: str) -> None:
        """Names the id of the response, and that of the call."""
        super().__init__(f"the response has {ATTEMPT_ID} {attempt_id!r} instead of {expected!r}")


class OrderClient:
    """HTTP calls to runners; requires a running event loop."""

    def __init__(self, owner: str) -> None:
        """Creates a client.

        Args:
            owner: Identifies this process in its orders.
        """
        self._owner = owner
        self._client_id = secrets.token_hex(CLIENT_ID_BYTES)
        self._call_numbers = itertools.count(1)
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_ORDERS + MAX_REPORTS)

    async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
        """Sends an order and returns its outcome; raises no exception for failed calls.

        Args:
            order: The order.
            fencing_token: Fencing token of the lease under which the order was planned.
            begin_by_s: Deadline for starting to send the body, on the monotonic clock; after it, the order is
                not sent.
        """
        body = _OrderBody(encode_order(order, self._owner, fencing_token), begin_by_s)
        try:
            response = await self._call(
                order.runner_id,
                order.address,
                "/order",
                method="POST",
                headers={"Content-Type": "application/json"},
                body=body.content,
                prepare_curl_callback=body.install,
            )
        except (HTTPClientError, OSError) as error:
            return _failure(error, body)
        return outcome_of(response.code)

    async def report(self, runner_id: RunnerId, address: str) -> RunnerReport | None:
        """Fetches a runner's report; None if the call failed or the response is invalid."""
        try:
            response = await self._call(runner_id, address, "/report")
        except (HTTPClientError, OSError):
            return None
        return decode_report(response.body) if response.code == 200 else None

    def close(self) -> None:
        """Closes the client and its connections."""
        self._client.close()

    async def _call(
        self,
        runner_id: RunnerId,
        address: str,
        path: str,
        *,
        headers: Mapping[str, str] = NO_HEADERS,
        **options: object,
    ) -> HTTPResponse:
        """Makes one call. Raises ForeignResponseError if the response is one to an earlier call."""
        attempt_id = f"{self._client_id}-{next(self._call_numbers)}"
        response = await self._client.fetch(
            f"http://{address}{path}",
            headers={"X-Target-Runner": runner_id, ATTEMPT_ID: attempt_id, **headers},
            raise_error=False,
            follow_redirects=False,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            **options,
        )
        answered_id = response.headers.get(ATTEMPT_ID, attempt_id)
        if answered_id != attempt_id:
            log.info("runner_response.foreign", runner=runner_id, path=path)
            raise ForeignResponseError(answered_id, attempt_id)
        return response


class _OrderBody:
    """The body of one order, which curl can read only once, so that it cannot repeat the order.

    curl reads the body once the connection is established. If that happens after the deadline, the read is
    aborted and curl closes the connection. A runner does not accept an order without its body.
    """

    def __init__(self, content: bytes, begin_by_s: float) -> None:
        self.content = content
        self._unread = BytesIO(content)
        self._begin_by_s = begin_by_s
        self.was_read = False  # while false, no byte of the body can have reached a runner
        self.was_refused = False

    def install(self, curl: pycurl.Curl) -> None:
        """Sets the read callbacks of a curl handle; for `prepare_curl_callback`."""
        curl.setopt(pycurl.READFUNCTION, self._read)
        curl.setopt(pycurl.SEEKFUNCTION, _refuse_to_seek)

    def _read(self, size: int) -> bytes | int:
        if not self.was_read and time.monotonic() >= self._begin_by_s:
            self.was_refused = True
            return int(pycurl.READFUNC_ABORT)
        self.was_read = True
        return self._unread.read(size)


def _refuse_to_seek(offset: int, origin: int) -> int:
    return int(pycurl.SEEKFUNC_FAIL)


def encode_order(order: Order, owner: str, fencing_token: int) -> bytes:
    """Returns the body of POST /order; the keys are part of the protocol."""
    body: dict[str, str | int] = {
        "order": order.action,
        "model": order.model,
        "owner": owner,
        "fence": fencing_token,
    }
    if order.adapter:
        body["adapter"] = order.adapter
    if order.if_revision is not None:
        body["if_revision"] = order.if_revision
    return json.dumps(body, separators=(",", ":")).encode()


def outcome_of(status: int) -> OrderOutcome:
    """Returns the outcome for an HTTP status; Tornado reports 599 if there was no response."""
    if status in _OUTCOME_BY_STATUS:
        return _OUTCOME_BY_STATUS[status]
    return OrderOutcome.REJECTED if 400 <= status < 500 else OrderOutcome.UNKNOWN


def decode_report(body: bytes) -> RunnerReport | None:
    """Decodes a report from JSON; None if it is invalid."""
    try:
        fields = json.loads(body)
        models = {
            str(model["name"]): frozenset(str(name) for name in model.get("adapters", ()))
            for model in fields["models"]
        }
        return RunnerReport(
            models,
            is_occupied=bool(fields["occupied"]),
            order_count=int(fields["call_count"]),
            queued=int(fields.get("queued", 0)),
            in_progress=int(fields.get("in_progress", 0)),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        log.warning("runner_report.unreadable", error=str(error))
        return None


def _failure(error: Exception, body: _OrderBody) -> OrderOutcome:
    """Returns UNSENT only if no connection was ready in time and the body was never read."""
    has_no_connection = getattr(error, "errno", None) == pycurl.E_COULDNT_CONNECT
    is_unsent = (has_no_connection or body.was_refused) and not body.was_read
    return OrderOutcome.UNSENT if is_unsent else OrderOutcome.UNKNOWN
