"""POST /order and GET /report at runners, by Tornado's client over curl.

curl sends a request a second time, unasked, where a kept connection ends before a byte of its answer. The
runner may have taken the first one: an order therefore always has a new connection. See docs/calls.md.
"""

from __future__ import annotations

import json
import logging
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPResponse

from .model import Order, OrderOutcome, RunnerReport

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3
REQUEST_TIMEOUT_S = 0.8
MOST_ORDERS = 64  # under way at once
MOST_REPORTS = 64  # the same; a call above these would wait inside the client, past the time it was meant for

_OUTCOMES = {200: OrderOutcome.ALREADY_HELD, 202: OrderOutcome.ACCEPTED, 409: OrderOutcome.CONFLICT,
             412: OrderOutcome.FENCED, 421: OrderOutcome.OTHER_RUNNER}


class OrderClient:
    """Calls to runners; needs a running event loop. `owner` names this placer in its orders."""

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MOST_ORDERS + MOST_REPORTS)

    async def order(self, order: Order, fence: int) -> OrderOutcome:
        """Sends an order and tells what is known of its end. Raises nothing."""
        try:
            response = await self._call(order.runner, order.address, "/order",
                                        encode_order(order, self._owner, fence))
        except (HTTPClientError, OSError) as error:
            return _failure(error)
        return outcome_of(response.code)

    async def report(self, runner: str, address: str) -> RunnerReport | None:
        """A runner's report; None if it gave none."""
        try:
            response = await self._call(runner, address, "/report")
        except (HTTPClientError, OSError):
            return None
        return decode_report(response.body) if response.code == 200 else None

    def close(self) -> None:
        """Ends all calls."""
        self._client.close()

    async def _call(self, runner: str, address: str, path: str, body: bytes | None = None) -> HTTPResponse:
        headers = {"X-Target-Runner": runner}
        is_order = body is not None
        if is_order:
            headers["Content-Type"] = "application/json"
        return await self._client.fetch(
            f"http://{address}{path}", method="POST" if is_order else "GET", headers=headers, body=body,
            raise_error=False, follow_redirects=False, connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            prepare_curl_callback=_on_new_connection if is_order else _on_any_connection)


def _on_new_connection(curl: pycurl.Curl) -> None:
    """No kept connection, so that curl has no reason to send it again."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _on_any_connection(curl: pycurl.Curl) -> None:
    """Kept connections too: a report may be read twice. Handles are used again, with what was set on them."""
    curl.setopt(pycurl.FRESH_CONNECT, 0)


def encode_order(order: Order, owner: str, fence: int) -> bytes:
    """The body of POST /order."""
    body: dict[str, Any] = {"order": order.action, "model": order.model, "owner": owner, "fence": fence}
    if order.adapter:
        body["adapter"] = order.adapter
    if order.if_revision is not None:
        body["if_revision"] = order.if_revision
    return json.dumps(body, separators=(",", ":")).encode()


def outcome_of(status: int) -> OrderOutcome:
    """What a status says. Tornado gives 599 where there was none."""
    if status in _OUTCOMES:
        return _OUTCOMES[status]
    return OrderOutcome.REJECTED if 400 <= status < 500 else OrderOutcome.UNKNOWN


def decode_report(body: bytes) -> RunnerReport | None:
    """A report from its JSON; None if it is none."""
    try:
        raw = json.loads(body)
        models = {str(model["name"]): frozenset(str(name) for name in model.get("adapters", ()))
                  for model in raw["models"]}
        return RunnerReport(models, bool(raw["occupied"]), int(raw["call_count"]), int(raw.get("queued", 0)),
                            int(raw.get("in_progress", 0)))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        logger.warning("unreadable report: %s", error)
        return None


def _failure(error: Exception) -> OrderOutcome:
    errno = getattr(error, "errno", None)
    return OrderOutcome.UNSENT if errno == pycurl.E_COULDNT_CONNECT else OrderOutcome.UNKNOWN
