"""Saves and restores what a scheduler has learned about the workers, for the process that takes over."""

from __future__ import annotations

from typing import Any

from ..scheduling.records import Mean, Pair, Worker
from ..scheduling.scheduler import Dispatcher

MEAN_FIELDS = ("fetch", "wait")
NUMBER_FIELDS = ("window", "crowd")
WORKER_FIELDS = ("limit", "off_until", "pace", "pace_at", "sign_at", "bad", "bad_at")


def snapshot(module: Dispatcher) -> dict[str, Any]:
    """Returns the learned state as JSON-compatible values."""
    return {
        "runs": {c.name: _mean_values(m) for c, m in zip(module.s.classes, module.runs, strict=True)},
        "means": {name: _mean_values(getattr(module, name)) for name in MEAN_FIELDS},
        "figures": {"warm_load": module.fleet.taken.value}
        | {name: getattr(module, name) for name in NUMBER_FIELDS},
        "workers": {
            w.id.decode("latin-1"): {
                "up_since": w.up_since,
                "figures": {name: getattr(w, name) for name in WORKER_FIELDS},
                "doubts": w.doubts if w.id in module.silent else 0,
                "keys": [[p.key, p.used, p.uses] for p in w.keys.values()],
            }
            for w in module.workers.values()
        },
    }


def pending(module: Dispatcher) -> dict[str, float]:
    """Returns the pending slots at each worker that has any."""
    return {w.id.decode("latin-1"): w.pending for w in module.workers.values() if w.pending}


def restore(module: Dispatcher, state: dict[str, Any]) -> None:
    """Restores the state from a snapshot, except for workers that have restarted since.

    Raises:
        KeyError, TypeError, ValueError: It is not a result of `snapshot`.
    """
    for cls, mean in zip(module.s.classes, module.runs, strict=True):
        if cls.name in state["runs"]:
            _set_mean(mean, state["runs"][cls.name])
    for name in MEAN_FIELDS:
        _set_mean(getattr(module, name), state["means"][name])
    for name in NUMBER_FIELDS:
        setattr(module, name, float(state["figures"][name]))
    module.fleet.taken.value = float(state["figures"]["warm_load"])  # version 0.5 used this key
    for worker in module.workers.values():
        known = state["workers"].get(worker.id.decode("latin-1"))
        if known is not None and float(known["up_since"]) == worker.up_since:
            _restore_worker(module, worker, known)


def _restore_worker(module: Dispatcher, worker: Worker, known: dict[str, Any]) -> None:
    for name in WORKER_FIELDS:
        setattr(worker, name, float(known["figures"][name]))
    worker.doubts = int(known["doubts"])
    if worker.doubts and worker.ready:
        module.silent[worker.id] = worker
    for key, used, uses in known["keys"] if worker.ready else ():
        if int(key) not in worker.keys:
            pair = worker.keys[int(key)] = Pair(int(key), worker)
            pair.used, pair.uses = float(used), int(uses)
            module.holders.setdefault(int(key), []).append(pair)


def _mean_values(mean: Mean) -> list[float]:
    return [mean.value, mean.dev, mean.count]


def _set_mean(mean: Mean, figures: list[float]) -> None:
    value, dev, count = figures
    mean.value, mean.dev, mean.count = float(value), float(dev), int(count)
