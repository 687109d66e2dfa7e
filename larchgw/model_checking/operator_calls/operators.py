"""Simulated operators, who work concurrently, lose answers and retry orders until the outcome is known."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from ...configuration.change import CHANGE, REPLACE
from ...control.operator_order import OperatorOrder
from ...control.operator_service import OperatorResponse
from .cluster import SimulatedCluster
from .invariants import SentOrder

CALL_TIMEOUT_S = 1.0  # after which another process is called
MAX_CONCURRENT_ORDERS = 8
MAX_ATTEMPTS = 25  # to send one order
INVALID_SHARE = 0.1  # of the orders
RESEND_SHARE = 0.4  # of the rounds in which an acknowledged order is sent again
DUPLICATE_SHARE = 0.2  # of the attempts that go to two processes concurrently
OTHER_BASE_SHARE = 0.1  # of the rounds in which the same text is also sent with another base version
ROUND_PAUSE_S = (0.0, 0.3)
RETRY_PAUSE_S = (0.02, 0.4)


class Operators:
    """Operators who work independently of each other.

    Attributes:
        is_working: Set to False to stop all operators.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        """Takes the cluster that the operators call."""
        self._cluster = cluster
        self._checks = cluster.checks
        self._random = cluster.random
        self._serial = 0
        self.is_working = True

    async def work(self) -> None:
        """Acts as one operator until `is_working` is False."""
        while self.is_working:
            base = await self.read()
            if base is not None:
                await asyncio.gather(*(self.send(sent) for sent in self._orders(base)))
            if self._checks.acknowledged and self._random.random() < RESEND_SHARE:
                await self.send(self._random.choice(self._checks.acknowledged[-4:]))
            await asyncio.sleep(self._random.uniform(*ROUND_PAUSE_S))

    async def read(self) -> int | None:
        """Reads the current version from a random process; returns None if there was no definite answer."""
        before = self._checks.newest_acknowledged
        answer = await self._call("read", -1, b"")
        if answer is None or answer.status not in (200, 404):
            return None
        version = json.loads(answer.body)["config_version"] if answer.status == 200 else 0
        self._checks.read(before, version)
        return int(version)

    async def send(self, sent: SentOrder) -> int | None:
        """Sends an order until there is a definite answer; returns its status, or None without one."""
        for _ in range(MAX_ATTEMPTS):
            if not self.is_working:
                return None
            copies = 2 if self._random.random() < DUPLICATE_SHARE else 1
            statuses = await asyncio.gather(*(self._attempt(sent) for _ in range(copies)))
            clear = [status for status in statuses if status is not None and status < 500]
            if clear:
                return clear[0]
            await asyncio.sleep(self._random.uniform(*RETRY_PAUSE_S))
        return None

    async def _attempt(self, sent: SentOrder) -> int | None:
        order = sent.order
        answer = await self._call(order.operation, order.base_version, order.body)
        if answer is None:
            return None
        self._checks.answered(sent, answer.status)
        return answer.status

    async def _call(self, operation: str, base_version: int, body: bytes) -> OperatorResponse | None:
        address = self._random.choice(self._cluster.addresses)
        return await self._cluster.call(address, operation, base_version, body, CALL_TIMEOUT_S)

    # ---- orders ----

    def _orders(self, base: int) -> list[SentOrder]:
        count = self._random.choice((1, 1, 2, 3, MAX_CONCURRENT_ORDERS))
        orders = [self._order(base) for _ in range(count)]
        if self._random.random() < OTHER_BASE_SHARE and base > 1:
            order = orders[0].order
            on_other_base = OperatorOrder(order.operation, base - 1, order.body)
            orders.append(SentOrder(on_other_base, orders[0].version, orders[0].is_valid))
        for sent in orders:
            self._checks.sends(sent)
        return orders

    def _order(self, base: int) -> SentOrder:
        """Makes an order with a whole configuration or a change; orders may compete for a version."""
        version = base + self._random.randint(1, 2)
        self._serial += 1
        service = {"name": "s", "health_path": f"/{self._serial}"}
        if self._random.random() < 0.5:
            operation, body = REPLACE, {"config_version": version, "routes": [], "services": [service]}
        else:
            operation, body = CHANGE, {"config_version": version, "add": {"services": [service]}}
        text, is_valid = json.dumps(body), True
        if self._random.random() < INVALID_SHARE:
            text, is_valid = self._make_invalid(body, base), False
        return SentOrder(OperatorOrder(operation, base, text.encode()), version, is_valid)

    def _make_invalid(self, body: dict[str, Any], base: int) -> str:
        """Returns an invalid variant of the order's text."""
        route = {
            "name": "r",
            "hostname": "h.example",
            "path_start": "/",
            "kind": "writing",
            "deadline_ms": 100,
            "service": f"none-{self._serial}",
            "tries": 1,
        }
        services = body.get("add", body)
        return self._random.choice(
            (
                json.dumps(body)[:-2],
                json.dumps({**body, "config_version": base}),
                json.dumps({**body, "add": {**services, "routes": [route]}, "routes": [route]}),
            )
        )
