"""POST /order and GET /report at runners, by Tornado's client over curl."""

from __future__ import annotations

import json
import logging
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPResponse

from .model import Order, OrderOutcome, RunnerReport

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3
REQUEST_TIMEOUT_S = 0.8
MAX_CLIENTS = 64  # calls at once; curl queues more
CURL_COULDNT_CONNECT = 7

_OUTCOMES = {200: OrderOutcome.ALREADY_HELD, 202: OrderOutcome.ACCEPTED, 409: OrderOutcome.CONFLICT,
             412: OrderOutcome.FENCED, 421: OrderOutcome.OTHER_RUNNER}


class OrderClient:
    """Calls to runners; needs a running event loop. `owner` names this placer in its orders."""

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

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
        if body is not None:
            headers["Content-Type"] = "application/json"
        return await self._client.fetch(
            f"http://{address}{path}", method="GET" if body is None else "POST", headers=headers, body=body,
            raise_error=False, follow_redirects=False, connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S)


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
    return OrderOutcome.UNSENT if errno == CURL_COULDNT_CONNECT else OrderOutcome.UNKNOWN
