"""What an emulated runner says of itself to the system: check-ins, draining, leaving."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from .records import Acknowledgement
from .runner import Runner

ANSWER_S = 1.0  # that a control process has to acknowledge
ANSWER_BYTES = 4096
JITTER = 0.1  # of the time between two check-ins
MOST_CALLS = 8  # control processes that are called one after the other, with one message


class Checkins:
    """Tells the control processes of one runner, while its life lasts."""

    def __init__(
        self, runner: Runner, controls: Callable[[], list[str]], beat_s: float, rng: random.Random
    ) -> None:
        self.runner, self._controls, self._beat_s, self._random = runner, controls, beat_s, rng
        self.acknowledged = 0
        self.has_left = False  # it checks in no more, though it still serves
        self._address = ""  # that took the last one
        self._count = 0
        self._client = AsyncHTTPClient(force_instance=True)

    async def run(self) -> None:
        """Checks in for as long as the runner lives."""
        life = self.runner.incarnation
        self._count, self.has_left = 0, False
        while self.runner.up and self.runner.incarnation == life:
            if not (self.runner.dark or self.has_left):
                await self.tell()
            await asyncio.sleep(self._beat_s * self._random.uniform(1 - JITTER, 1 + JITTER))

    async def tell(self, left_ms: float | None = None) -> bool:
        """One check-in. Returns whether it was acknowledged."""
        self._count += 1
        runner = self.runner
        message: dict[str, Any] = {
            "service": runner.described.service,
            "address": runner.described.address,
            "zone": runner.described.zone,
            "config_version": "v1",
            "slots": runner.described.slots,
            "state": "draining" if runner.draining else "ready",
            "cold_left_ms": 0,
            "phase": "both",
            "models": runner.held(),
            "call_count": self._count,
        }
        if left_ms is not None:
            message["left_ms"] = left_ms
        return await self._call("Checkin", json.dumps(message).encode(), runner.draining)

    async def drain(self, left_ms: float | None = None) -> bool:
        """Says that it drains, until that is acknowledged or there is nobody to say it to."""
        self.runner.draining = True
        return await self.tell(left_ms)

    async def leave(self) -> bool:
        """Says that it is gone."""
        self.has_left = True
        return await self._call("Leave", b"", True)

    def prefer(self, address: str) -> None:
        """Calls this control process next."""
        self._address = address

    def close(self) -> None:
        """Ends all calls."""
        self._client.close()

    async def _call(self, what: str, body: bytes, tells_end: bool) -> bool:
        """Calls one control process after the other until one acknowledges."""
        id, records, now = self.runner.id, self.runner.records, self.runner.time.now
        for address in self._targets():
            sent_at = now()
            answer = await self._post(f"http://{address}/Runners.{what}/{id}", body)
            if answer is None:
                self._address = ""
                continue
            self._address = str(answer.get("beat_to") or address)
            self.acknowledged += 1
            seen = Acknowledgement(id, address.partition(":")[0], now(), sent_at, tells_end)
            (records.acknowledgements if tells_end else records.checkins).append(seen)
            return True
        return False

    def _targets(self) -> list[str]:
        """The one that took the last check-in, then the others in any order."""
        others = [address for address in self._controls() if address != self._address]
        self._random.shuffle(others)
        return ([self._address] if self._address else []) + others[:MOST_CALLS]

    async def _post(self, url: str, body: bytes) -> dict[str, Any] | None:
        """The object that a 2xx brings in time; None otherwise."""
        try:
            response = await self._client.fetch(
                url,
                method="POST",
                body=body,
                request_timeout=ANSWER_S,
                connect_timeout=ANSWER_S,
                headers={"Content-Type": "application/json"},
            )
            if len(response.body) > ANSWER_BYTES:
                return None
            answer = json.loads(response.body or b"{}")
        except (HTTPClientError, OSError, ValueError):
            return None
        return answer if isinstance(answer, dict) else {}
