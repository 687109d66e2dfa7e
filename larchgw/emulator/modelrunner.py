"""Runners that load and unload models as they are ordered, and the weight store, in virtual time.

They answer orders by status and give reports that lag, as the system's runners do. A runner that is ordered
to load more
than it holds falls and says nothing from then on.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..configuration.model import Model

HISTORY = 20  # changes that reports reach back over


class WeightStore:
    """Counts loads and slows them where many run at once."""

    def __init__(self, at_once: int) -> None:
        self.begun: list[float] = []
        self._at_once = at_once
        self._ends: list[float] = []

    def begin(self, now: float, load_s: float) -> float:
        """A load begins; returns when it is done."""
        self._ends = [end for end in self._ends if end > now]
        slowed = max((len(self._ends) + 1) / self._at_once, 1.0)
        self._ends.append(now + load_s * slowed)
        self.begun.append(now)
        return self._ends[-1]

    def most_in(self, window_s: float) -> int:
        """The most loads that began in any window of this length."""
        most, first = 0, 0
        for last, at in enumerate(self.begun):
            while self.begun[first] < at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


@dataclass(frozen=True, slots=True)
class Capacity:
    """What one runner holds, and how it loads."""

    weights_mb: float
    adapter_slots: int = 8
    local_share: float = 0.2  # of load_s, for a load from its own disk
    adapter_s: float = 0.014
    report_lag_s: float = 0.2


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What a report tells."""

    models: dict[str, frozenset[str]]
    occupied: bool
    call_count: int


@dataclass(slots=True)
class _Running:
    action: str
    model: str
    adapter: str
    done_at: float


@dataclass(slots=True)
class ModelRunner:
    """One runner; `id` changes at a restart."""

    id: str
    address: str
    zone: str
    capacity: Capacity
    models: Mapping[str, Model]
    store: WeightStore
    held: dict[str, set[str]] = field(default_factory=dict)
    fallen: bool = False
    orders: list[tuple[float, str, str, str]] = field(default_factory=list)  # taken: time, action, name
    call_count: int = 0
    runs: dict[str, list[float]] = field(default_factory=dict)  # name -> when each run ends
    disk: set[str] = field(default_factory=set)
    fence: int = 0
    _running: _Running | None = None
    _history: list[tuple[float, Snapshot]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.disk |= set(self.held)
        self._note(-math.inf)

    def preload(self, name: str) -> None:
        """Holds a model from its start."""
        self.held[name] = set()
        self.disk.add(name)
        self._history.clear()
        self._note(-math.inf)

    def used_mb(self) -> float:
        """Memory in use, with a load under way."""
        held = {name: set(adapters) for name, adapters in self.held.items()}
        if self._running is not None and self._running.action == "loading":
            adapters = held.setdefault(self._running.model, set())
            adapters |= {self._running.adapter} - {""}
        return sum(
            self.models[name].weights_mb + len(adapters) * self.models[name].adapter_mb
            for name, adapters in held.items()
        )

    def order(
        self,
        now: float,
        runner: str,
        action: str,
        model: str,
        adapter: str = "",
        if_revision: int | None = None,
        fence: int = 0,
    ) -> int:
        """The status that answers an order."""
        self.advance(now)
        if runner != self.id:
            return 421
        if fence < self.fence:
            return 412
        self.fence = fence
        if self._running is not None or if_revision not in (None, self.call_count):
            return 409
        holds = model in self.held and (not adapter or adapter in self.held[model])
        if holds == (action == "loading"):
            return 200
        self.call_count += 1
        self.orders.append((now, action, model, adapter))
        self._running = _Running(action, model, adapter, now)
        self._running.done_at = self._done_at(now, self._running)
        self._check_room()
        self._note(now)
        return 202

    def _done_at(self, now: float, order: _Running) -> float:
        if order.action == "unloading":
            names = [name for name in self.runs if name == order.model or name.startswith(order.model + "/")]
            return max([now, *(end for name in names for end in self.runs[name])])
        if order.adapter:
            return now + self.capacity.adapter_s
        load_s = self.models[order.model].load_s
        if order.model in self.disk:
            return now + load_s * self.capacity.local_share
        return self.store.begin(now, load_s)

    def _check_room(self) -> None:
        adapters = sum(len(names) for names in self.held.values())
        order = self._running
        if order is not None and order.action == "loading" and order.adapter:
            adapters += 1
        if self.used_mb() > self.capacity.weights_mb or adapters > self.capacity.adapter_slots:
            self.fallen = True

    def advance(self, now: float) -> None:
        """Ends an order whose time has come."""
        order = self._running
        if order is None or now < order.done_at:
            return
        self._running = None
        if order.action == "loading" and order.adapter:
            if order.model in self.held:
                self.held[order.model].add(order.adapter)
        elif order.action == "loading":
            self.held[order.model] = set()
            self.disk.add(order.model)
        elif order.adapter:
            self.held.get(order.model, set()).discard(order.adapter)
        else:
            self.held.pop(order.model, None)
        self._note(order.done_at)

    def is_loading(self, model: str) -> bool:
        """Whether a load of it is under way."""
        order = self._running
        return order is not None and (order.action, order.model, order.adapter) == ("loading", model, "")

    def is_serving(self, now: float, model: str, adapter: str = "") -> bool:
        """Whether a request for it would run now."""
        self.advance(now)
        if self.fallen or model not in self.held or (adapter and adapter not in self.held[model]):
            return False
        order = self._running
        return order is None or order.model != model or order.adapter not in ("", adapter)

    def run(self, name: str, until: float) -> None:
        """A request runs; an unload waits for it."""
        self.runs.setdefault(name, []).append(until)

    def running(self, now: float) -> int:
        """Requests that run now."""
        for name, ends in list(self.runs.items()):
            self.runs[name] = [end for end in ends if end > now]
        return sum(len(ends) for ends in self.runs.values())

    def snapshot(self) -> Snapshot:
        """What is true now."""
        models = {name: frozenset(adapters) for name, adapters in self.held.items()}
        return Snapshot(models, self._running is not None, self.call_count)

    def _note(self, at: float) -> None:
        self._history = [*self._history[1 - HISTORY :], (at, self.snapshot())]

    def report(self, now: float) -> Snapshot:
        """What was true a report's lag ago."""
        self.advance(now)
        seen = [snapshot for at, snapshot in self._history if at <= now - self.capacity.report_lag_s]
        return seen[-1] if seen else self._history[0][1]

    def restart(self, now: float, id: str) -> None:
        """Comes back empty as another incarnation; its disk keeps what it had."""
        self.id, self.call_count, self.fence = id, 0, 0
        self.held, self.runs, self._running = {}, {}, None
        self._history, self.orders = [], []
        self._note(now)
