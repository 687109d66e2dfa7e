"""Hollow runners in a process of their own: they check in, report, and take orders at once."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Sequence
from multiprocessing.connection import Connection
from typing import Any

from .fleet_size import BEAT_S, SERVICE, FleetSize, Popularity, model_name

ANSWER_S = 1.0  # that a control process has to acknowledge
LOAD_S = 1.0  # that an order takes


class HollowRunner:
    """One runner, with a kept connection to a control process."""

    def __init__(
        self, number: int, address: str, size: FleetSize, controls: Sequence[str], dice: random.Random
    ) -> None:
        self.id, self.address = f"i-{number:05x}", address
        self._controls, self._dice, self._zone = controls, dice, f"zone{number % 10}"
        self.checkins = self.failures = self.orders = 0
        self._held: dict[str, list[str]] = {model_name(number % size.models): []}
        popularity = Popularity(size, dice)
        while len(self._held) < size.models_held:
            self._held.setdefault(popularity.draw()[1], [])
        for index in range(size.adapters_held):
            list(self._held.values())[index % len(self._held)].append(f"a{index + 1}")
        self._busy_until = 0.0
        self._call_count = 0
        self._beats = 0
        self._at = number  # of the control process that takes its check-ins

    async def serve(self) -> None:
        """Listens for reports and orders. Raises OSError."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._answer, host, int(port))

    async def check_in(self) -> None:
        """Beats for ever."""
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        await asyncio.sleep(BEAT_S * self._dice.random())
        while True:
            try:
                if writer is None or reader is None:
                    control = self._controls[self._at % len(self._controls)]
                    host, _, port = control.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                async with asyncio.timeout(ANSWER_S):
                    writer.write(self._message())
                    await _read_message(reader)
                self.checkins += 1
            except (OSError, EOFError, TimeoutError, ValueError):
                self.failures += 1
                self._at += 1
                if writer is not None:
                    writer.close()
                reader = writer = None
            await asyncio.sleep(BEAT_S * self._dice.uniform(0.95, 1.05))

    def _message(self) -> bytes:
        self._beats += 1
        body = json.dumps(
            {
                "service": SERVICE,
                "address": self.address,
                "zone": self._zone,
                "config_version": "v1",
                "slots": 64,
                "state": "ready",
                "cold_left_ms": 0,
                "phase": "both",
                "models": self._models(),
                "call_count": self._beats,
            }
        ).encode()
        head = (
            f"POST /Runners.Checkin/{self.id} HTTP/1.1\r\nHost: control\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def _models(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "config_version": 1, "adapters": adapters} for name, adapters in self._held.items()
        ]

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, body = await _read_message(reader)
                if head.startswith(b"POST"):
                    status, answer = "202 Accepted", self._order(json.loads(body))
                else:
                    status, answer = "200 OK", self._report()
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode()
                    + answer
                )
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            writer.close()

    def _order(self, order: dict[str, Any]) -> bytes:
        self.orders += 1
        self._call_count += 1
        self._busy_until = asyncio.get_running_loop().time() + LOAD_S
        model, adapter = order["model"], order.get("adapter")
        if order["order"] == "loading":
            held = self._held.setdefault(model, [])
            if adapter and adapter not in held:
                held.append(adapter)
        elif adapter:
            self._held[model].remove(adapter)
        else:
            self._held.pop(model, None)
        return b"{}"

    def _report(self) -> bytes:
        occupied = asyncio.get_running_loop().time() < self._busy_until
        return json.dumps(
            {
                "phase": "both",
                "models": self._models(),
                "occupied": occupied,
                "call_count": self._call_count,
                "queued": 0,
                "in_progress": 8,
                "cache_used": 0,
                "cache_total": 240_000,
                "takes": 0,
            }
        ).encode()


async def _read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    _, found, rest = head.lower().partition(b"content-length:")
    length = int(rest.partition(b"\r\n")[0]) if found else 0
    return head, await reader.readexactly(length)


def play(addresses: list[str], size: FleetSize, controls: list[str], seed: int, pipe: Connection) -> None:
    """The main function of the process; answers each message with counts until it is told None."""
    asyncio.run(_play(addresses, size, controls, seed, pipe))


async def _play(
    addresses: list[str], size: FleetSize, controls: list[str], seed: int, pipe: Connection
) -> None:
    runners = [
        HollowRunner(number, address, size, controls, random.Random(seed * 100_003 + number))
        for number, address in enumerate(addresses)
    ]
    for runner in runners:
        await runner.serve()
    beats = [asyncio.ensure_future(runner.check_in()) for runner in runners]
    while await asyncio.to_thread(pipe.recv) is not None:
        pipe.send(
            (
                sum(one.checkins for one in runners),
                sum(one.failures for one in runners),
                sum(one.orders for one in runners),
            )
        )
    for beat in beats:
        beat.cancel()
