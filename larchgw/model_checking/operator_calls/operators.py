"""Operators as the pages have them: they race, lose answers, and send the same again until it is clear."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from ...configuration.change import CHANGE, REPLACE
from ...control.operator_order import OperatorOrder
from ...control.operator_service import OperatorResponse
from .cluster import SimulatedCluster
from .invariants import Sent

SILENCE_S = 1.0  # then another process is called
MAX_AT_ONCE = 8  # orders under way
MAX_SENDS = 25  # of one order, before its operator gives it up
INVALID_SHARE = 0.1
AGAIN_SHARE = 0.4  # of rounds in which an old order is sent again
TWIN_SHARE = 0.2  # of sends that go to two processes at once
OTHER_BASE_SHARE = 0.1  # of orders whose very text is sent on top of another version as well


class Operators:
    """A few operators who know nothing of each other."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self._checks = cluster.checks
        self._random = cluster.random
        self._serial = 0
        self.is_working = True  # false once they should come to an end

    async def work(self) -> None:
        """One operator's days."""
        while self.is_working:
            base = await self.read()
            if base is not None:
                await asyncio.gather(*(self.send(sent) for sent in self._orders(base)))
            if self._checks.acknowledged and self._random.random() < AGAIN_SHARE:
                await self.send(self._random.choice(self._checks.acknowledged[-4:]))
            await asyncio.sleep(self._random.uniform(0.0, 0.3))

    async def read(self) -> int | None:
        """The current version as read from any process; None where there was no clear answer."""
        before = self._checks.newest_acknowledged
        answer = await self._call("read", -1, b"")
        if answer is None or answer.status not in (200, 404):
            return None
        version = json.loads(answer.body)["config_version"] if answer.status == 200 else 0
        self._checks.read(before, version)
        return int(version)

    async def send(self, sent: Sent) -> int | None:
        """Sends an order until there is a clear answer; None if there is none."""
        for _ in range(MAX_SENDS):
            if not self.is_working:
                return None
            twins = 2 if self._random.random() < TWIN_SHARE else 1
            statuses = await asyncio.gather(*(self._send_once(sent) for _ in range(twins)))
            clear = [status for status in statuses if status is not None and status < 500]
            if clear:
                return clear[0]
            await asyncio.sleep(self._random.uniform(0.02, 0.4))
        return None

    async def _send_once(self, sent: Sent) -> int | None:
        order = sent.order
        answer = await self._call(order.operation, order.base_version, order.body)
        if answer is None:
            return None
        self._checks.answered(sent, answer.status)
        return answer.status

    async def _call(self, operation: str, base_version: int, body: bytes) -> OperatorResponse | None:
        address = self._random.choice(self._cluster.addresses)
        return await self._cluster.call(address, operation, base_version, body, SILENCE_S)

    # ---- orders ----

    def _orders(self, base: int) -> list[Sent]:
        count = self._random.choice((1, 1, 2, 3, MAX_AT_ONCE))
        orders = [self._order(base) for _ in range(count)]
        if self._random.random() < OTHER_BASE_SHARE and base > 1:
            order = orders[0].order
            elsewhere = OperatorOrder(order.operation, base - 1, order.body)
            orders.append(Sent(elsewhere, orders[0].version, orders[0].is_valid))
        for sent in orders:
            self._checks.sends(sent)
        return orders

    def _order(self, base: int) -> Sent:
        """A whole configuration or a change; different ones may bear the same number."""
        version = base + self._random.randint(1, 2)
        self._serial += 1
        service = {"name": "s", "health_path": f"/{self._serial}"}
        if self._random.random() < 0.5:
            operation, body = REPLACE, {"config_version": version, "routes": [], "services": [service]}
        else:
            operation, body = CHANGE, {"config_version": version, "add": {"services": [service]}}
        text, is_valid = json.dumps(body), True
        if self._random.random() < INVALID_SHARE:
            text, is_valid = self._spoiled(body, base), False
        return Sent(OperatorOrder(operation, base, text.encode()), version, is_valid)

    def _spoiled(self, body: dict[str, Any], base: int) -> str:
        """The same order, but invalid."""
        route = {
            "name": "r",
            "hostname": "h.example",
            "path_start": "/",
            "kind": "writing",
            "deadline_ms": 100,
            "service": f"none-{self._serial}",
            "tries": 1,
        }
        part = body["add"] if "add" in body else body
        return self._random.choice(
            (
                json.dumps(body)[:-2],
                json.dumps({**body, "config_version": base}),
                json.dumps({**body, "add": {**part, "routes": [route]}, "routes": [route]}),
            )
        )
