"""Saves and restores what a scheduler has learned about the workers, for the process that takes over."""

from __future__ import annotations

from typing import Any

from ..scheduling.records import HeldKey, MovingAverage, Worker
from ..scheduling.scheduler import Dispatcher

# Names in the stored state, and the attributes that hold the values.
MEAN_FIELDS = {"fetch": "fetch_time", "wait": "start_delay"}
NUMBER_FIELDS = {"window": "window", "crowd": "congestion"}
WORKER_FIELDS = {
    "limit": "slot_limit",
    "off_until": "avoid_until",
    "pace": "run_time_ratio",
    "pace_at": "run_time_ratio_at",
    "sign_at": "last_contact_at",
    "bad": "failure_share",
    "bad_at": "failure_share_at",
}


def snapshot(module: Dispatcher) -> dict[str, Any]:
    """Returns the learned state as JSON-compatible values."""
    return {
        "runs": {
            c.name: _mean_values(m) for c, m in zip(module.settings.classes, module.run_times, strict=True)
        },
        "means": {name: _mean_values(getattr(module, attribute)) for name, attribute in MEAN_FIELDS.items()},
        "figures": {"warm_load": module.fleet.throughput.value}
        | {name: getattr(module, attribute) for name, attribute in NUMBER_FIELDS.items()},
        "workers": {
            w.id.decode("latin-1"): {
                "up_since": w.up_since,
                "figures": {name: getattr(w, attribute) for name, attribute in WORKER_FIELDS.items()},
                "doubts": w.suspicion if w.id in module.suspects else 0,
                "keys": [[p.key, p.last_used_at, p.use_count] for p in w.held_keys.values()],
            }
            for w in module.workers.values()
        },
    }


def pending(module: Dispatcher) -> dict[str, float]:
    """Returns the pending slots at each worker that has any."""
    return {w.id.decode("latin-1"): w.pending_slots for w in module.workers.values() if w.pending_slots}


def restore(module: Dispatcher, state: dict[str, Any]) -> None:
    """Restores the state from a snapshot, except for workers that have restarted since.

    Raises:
        KeyError, TypeError, ValueError: It is not a result of `snapshot`.
    """
    for cls, mean in zip(module.settings.classes, module.run_times, strict=True):
        if cls.name in state["runs"]:
            _set_mean(mean, state["runs"][cls.name])
    for name, attribute in MEAN_FIELDS.items():
        _set_mean(getattr(module, attribute), state["means"][name])
    for name, attribute in NUMBER_FIELDS.items():
        setattr(module, attribute, float(state["figures"][name]))
    module.fleet.throughput.value = float(state["figures"]["warm_load"])  # version 0.5 used this key
    for worker in module.workers.values():
        known = state["workers"].get(worker.id.decode("latin-1"))
        if known is not None and float(known["up_since"]) == worker.up_since:
            _restore_worker(module, worker, known)


def _restore_worker(module: Dispatcher, worker: Worker, known: dict[str, Any]) -> None:
    for name, attribute in WORKER_FIELDS.items():
        setattr(worker, attribute, float(known["figures"][name]))
    worker.suspicion = int(known["doubts"])
    if worker.suspicion and worker.ready:
        module.suspects[worker.id] = worker
    for key, used, uses in known["keys"] if worker.ready else ():
        if int(key) not in worker.held_keys:
            pair = worker.held_keys[int(key)] = HeldKey(int(key), worker)
            pair.last_used_at, pair.use_count = float(used), int(uses)
            module.key_holders.setdefault(int(key), []).append(pair)


def _mean_values(mean: MovingAverage) -> list[float]:
    return [mean.value, mean.deviation, mean.sample_count]


def _set_mean(mean: MovingAverage, figures: list[float]) -> None:
    value, dev, count = figures
    mean.value, mean.deviation, mean.sample_count = float(value), float(dev), int(count)
