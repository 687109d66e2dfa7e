"""What a decision module has learned of the fleet, for the process that takes over from it. No decisions."""

from __future__ import annotations

from typing import Any

from ..scheduling.records import Mean, Pair, Worker
from ..scheduling.scheduler import Dispatcher

MEANS = ("fetch", "wait")
FIGURES = ("window", "crowd")
WORKER = ("limit", "off_until", "pace", "pace_at", "sign_at", "bad", "bad_at")


def tell(module: Dispatcher) -> dict[str, Any]:
    """In figures and lists only."""
    return {
        "runs": {c.name: _mean(m) for c, m in zip(module.s.classes, module.runs, strict=True)},
        "means": {name: _mean(getattr(module, name)) for name in MEANS},
        "figures": {"warm_load": module.fleet.taken.value}
        | {name: getattr(module, name) for name in FIGURES},
        "workers": {
            w.id.decode("latin-1"): {
                "up_since": w.up_since,
                "figures": {name: getattr(w, name) for name in WORKER},
                "doubts": w.doubts if w.id in module.silent else 0,
                "keys": [[p.key, p.used, p.uses] for p in w.keys.values()],
            }
            for w in module.workers.values()
        },
    }


def pending(module: Dispatcher) -> dict[str, float]:
    """Slots out at each worker."""
    return {w.id.decode("latin-1"): w.pending for w in module.workers.values() if w.pending}


def take(module: Dispatcher, told: dict[str, Any]) -> None:
    """KeyError, TypeError or ValueError if it is not what `tell` gives.

    Nothing of it holds for a worker that has restarted.
    """
    for cls, mean in zip(module.s.classes, module.runs, strict=True):
        if cls.name in told["runs"]:
            _set(mean, told["runs"][cls.name])
    for name in MEANS:
        _set(getattr(module, name), told["means"][name])
    for name in FIGURES:
        setattr(module, name, float(told["figures"][name]))
    module.fleet.taken.value = float(told["figures"]["warm_load"])  # the name that 0.5 gave it
    for worker in module.workers.values():
        known = told["workers"].get(worker.id.decode("latin-1"))
        if known is not None and float(known["up_since"]) == worker.up_since:
            _take_worker(module, worker, known)


def _take_worker(module: Dispatcher, worker: Worker, known: dict[str, Any]) -> None:
    for name in WORKER:
        setattr(worker, name, float(known["figures"][name]))
    worker.doubts = int(known["doubts"])
    if worker.doubts and worker.ready:
        module.silent[worker.id] = worker
    for key, used, uses in known["keys"] if worker.ready else ():
        if int(key) not in worker.keys:
            pair = worker.keys[int(key)] = Pair(int(key), worker)
            pair.used, pair.uses = float(used), int(uses)
            module.holders.setdefault(int(key), []).append(pair)


def _mean(mean: Mean) -> list[float]:
    return [mean.value, mean.dev, mean.count]


def _set(mean: Mean, figures: list[float]) -> None:
    value, dev, count = figures
    mean.value, mean.dev, mean.count = float(value), float(dev), int(count)
