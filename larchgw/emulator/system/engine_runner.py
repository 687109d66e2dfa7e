"""Runners of models: streams of events from the engine model, orders, loads, adapters and reports."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Any

from tornado.iostream import IOStream

from ...configuration.model import Model
from ..engine import Engine, EngineSettings, Generation
from ..modelrunner import Capacity, ModelRunner, WeightStore
from ..sockets import RealTime
from .httpstream import Request, chunk, send
from .records import Arrival, OrderSeen, Records
from .runner import SPOILT, Described, Mischief, Runner
from .site import ADAPTER_SLOTS, CACHE_TOKENS, ENGINE_SLOTS, STRIDE

VERSION = 1  # of all weights
DEFAULT_PRIORITY = 5
LONGEST_RUN_S = 2.0  # that an unload waits for one run


class EngineRunner(Runner):
    """One runner of models."""

    def __init__(
        self,
        described: Described,
        time: RealTime,
        records: Records,
        rng: random.Random,
        models: Mapping[str, Model],
        store: WeightStore,
        memory_mb: float,
        max_conns: int = 200,
    ) -> None:
        super().__init__(described, time, records, max_conns)
        self._store = store
        self._speed = rng.uniform(0.9, 1.2)
        self.placed = ModelRunner(
            "", described.address, described.zone, Capacity(memory_mb, ADAPTER_SLOTS), models, store
        )
        self.engine = self._make_engine()

    def preload(self, names: list[str]) -> None:
        """Holds these models from its start."""
        for name in names:
            self.placed.preload(name)

    def _make_engine(self) -> Engine:
        return Engine(
            EngineSettings(
                slots=ENGINE_SLOTS,
                queue=2 * ENGINE_SLOTS,
                cache_tokens=CACHE_TOKENS,
                stride=STRIDE,
                speed=self._speed,
            ),
            self.time,
        )

    def reset(self) -> None:
        """A new incarnation holds nothing in memory, but for the first one's models; its disk keeps them."""
        self.engine = self._make_engine()
        if self.incarnation > 1 or not self.up:
            self.placed.restart(self.time.now(), self.id)
        self.placed.id, self.placed.fallen = self.id, False

    def load(self) -> tuple[int, int, int]:
        """Requests running, requests waiting, and slots."""
        return self.engine.load()

    def held(self) -> list[dict[str, Any]]:
        """The models that it holds now."""
        self.placed.advance(self.time.now())
        return _models(self.placed.snapshot().models)

    def report(self) -> dict[str, Any]:
        """GET /report: models and orders as of a moment ago."""
        seen = self.placed.report(self.time.now())
        return {
            **super().report(),
            "models": _models(seen.models),
            "occupied": seen.occupied,
            "call_count": seen.call_count,
            "cache_used": self.engine.cache.used,
            "cache_total": self.engine.cache.capacity,
        }

    # Orders

    def order(self, request: Request, stream: IOStream) -> None:
        """POST /order; one beyond its memory fells it."""
        asked = request.json()
        status = self._order(asked) if asked is not None else 400
        if self.placed.fallen:
            self.records.overloads.append((self.id, self.time.now()))
            self.crash()
            return
        self.answer(stream, status, b"{}")

    def _order(self, asked: dict[str, Any]) -> int:
        action, owner, fence, model = (asked.get(name) for name in ("order", "owner", "fence", "model"))
        known = action in ("loading", "unloading") and model in self.placed.models
        if not known or not isinstance(owner, str) or not isinstance(fence, int):
            return 400
        now, before = self.time.now(), len(self._store.begun)
        status = self.placed.order(
            now,
            self.id,
            str(action),
            str(model),
            str(asked.get("adapter") or ""),
            asked.get("if_revision"),
            fence,
        )
        self.records.orders.append(OrderSeen(self.id, owner, fence, now, status))
        self.records.loads += self._store.begun[before:]
        return status

    # Requests

    async def run(self, request: Request, stream: IOStream, arrival: Arrival) -> None:
        """Streams the events of a generation, unless what it needs is not there or there is no room."""
        model, _, adapter = request.headers.get("x-model", "").partition("/")
        if not self.placed.is_serving(self.time.now(), model, adapter):
            coming = self.placed.is_loading(model)
            self.turn_away(stream, arrival, 503 if coming else 421)
            return
        if request.headers.get("expect-version", str(VERSION)) != str(VERSION):
            self.turn_away(stream, arrival, 421)
            return
        await _Stream(self, request, stream, arrival, model, adapter).done


class _Stream:
    """One answer in the making. `done` is set once nothing more comes of it."""

    def __init__(
        self,
        runner: EngineRunner,
        request: Request,
        stream: IOStream,
        arrival: Arrival,
        model: str,
        adapter: str,
    ) -> None:
        self.runner, self.stream, self.arrival = runner, stream, arrival
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._engine = runner.engine
        told = request.headers.get("last-event-id", "")
        self._event = int(told) if told.isdigit() else 0
        arrival.last_event = max(-(-_tokens_out(request) // STRIDE), 1)
        remaining = arrival.last_event - self._event
        # The engine makes an event of the first token and of every STRIDE more.
        self._generation = Generation(
            model,
            adapter,
            _parts(request),
            (remaining - 1) * STRIDE + 1,
            _priority(request),
            lambda made: self._on_event(),
            lambda made: self._on_done(),
        )
        self._wrong: Mischief | None = None
        self._head = b""
        stream.set_close_callback(self._closed)
        self._late = self._watch(request)
        if remaining <= 0:  # taken up behind its last event
            self._begin()
            self._on_done()
        elif not self._engine.submit(self._generation):
            self._refuse()
        else:
            runner.placed.run(request.headers.get("x-model", ""), runner.time.now() + LONGEST_RUN_S)

    def _watch(self, request: Request) -> asyncio.TimerHandle | None:
        left = request.headers.get("x-time-left-ms", "")
        if not left.isdigit():
            return None
        return asyncio.get_running_loop().call_later(int(left) / 1000.0, self._expired)

    def _refuse(self) -> None:
        self.runner.turn_away(self.stream, self.arrival, 503)
        self._over()

    def _on_event(self) -> None:
        arrival = self.arrival
        if self.runner.dark or self._engine is not self.runner.engine:
            arrival.broke_off = True
        if self.done.done() or arrival.broke_off:
            return
        if not arrival.ran:
            self._begin()
        if self.done.done():
            return
        self._event += 1
        event = b"id: %d\ndata: %b piece %d\n\n" % (self._event, arrival.id.encode(), self._event)
        if self._wrong is Mischief.CUT:
            send(self.stream, chunk(event[:-4]))
            arrival.broke_off = True
            self.stream.close()
            return
        arrival.answer += event
        send(self.stream, chunk(event))

    def _begin(self) -> None:
        """The first token: the request runs from here."""
        runner, arrival = self.runner, self.arrival
        arrival.ran = True
        self._wrong = runner.misbehave(self.stream, arrival)
        if self._wrong in SPOILT:
            self._over()
            return
        arrival.status, arrival.seal = 200, runner.seal()
        fields = {
            "X-Attempt-Id": arrival.id,
            "X-Server-Seal": arrival.seal,
            "Versions": str(VERSION),
            "Content-Type": "text/event-stream",
        }
        self._head = runner.head(200, fields, None)
        send(self.stream, self._head)

    def _on_done(self) -> None:
        if self.done.done() or self.arrival.broke_off:
            return
        self.arrival.whole = True
        send(self.stream, chunk(b""))
        if self._wrong is Mischief.SURPLUS:
            self.runner.surplus(self.stream)
        self.runner.repeat(self.stream, self._head + chunk(self.arrival.answer) + chunk(b""))
        self._over()

    def _expired(self) -> None:
        """The client's time is up."""
        if self.done.done():
            return
        if not self.arrival.ran:
            self._engine.cancel(self._generation)
            self._refuse()
        else:
            self.arrival.broke_off = True
            self.stream.close()

    def _closed(self) -> None:
        """The caller has left, or this runner has broken off."""
        if self.runner.up and self.runner.carries_on():
            return
        self.arrival.broke_off |= not self.runner.up
        self._engine.cancel(self._generation)
        self._over()

    def _over(self) -> None:
        if self.done.done():
            return
        self.arrival.ended_at = self.runner.time.now()
        if self._late is not None:
            self._late.cancel()
        self.stream.set_close_callback(None)
        self.done.set_result(None)


def _models(held: Mapping[str, frozenset[str]]) -> list[dict[str, Any]]:
    return [
        {"name": name, "config_version": VERSION, "adapters": sorted(adapters)}
        for name, adapters in sorted(held.items())
    ]


def _tokens_out(request: Request) -> int:
    _, _, told = request.headers.get("x-token-count", "").partition(",")
    return int(told) if told.isdigit() else 0


def _parts(request: Request) -> tuple[tuple[str, int], ...]:
    parts = []
    for item in request.headers.get("x-prompt-start", "").split(","):
        name, _, tokens = item.strip().partition(":")
        if tokens.isdigit():
            parts.append((name, int(tokens)))
    return tuple(parts)


def _priority(request: Request) -> int:
    told = request.headers.get("priority", "")
    return int(told) if told.isdigit() else DEFAULT_PRIORITY
