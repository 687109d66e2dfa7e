"""What a decision module has learned of the fleet, for the process that takes over from it. No decisions."""

from __future__ import annotations

from typing import Any

from ..scheduling.records import HeldKey, MovingAverage, Worker
from ..scheduling.scheduler import Dispatcher

# Names in the stored state, and the attributes that hold the values.
MEANS = {"fetch": "fetch_time", "wait": "start_delay"}
FIGURES = {"window": "window", "crowd": "congestion"}
WORKER = {
    "limit": "slot_limit",
    "off_until": "avoid_until",
    "pace": "run_time_ratio",
    "pace_at": "run_time_ratio_at",
    "sign_at": "last_contact_at",
    "bad": "failure_share",
    "bad_at": "failure_share_at",
}


def tell(module: Dispatcher) -> dict[str, Any]:
    """In figures and lists only."""
    return {
        "runs": {c.name: _mean(m) for c, m in zip(module.settings.classes, module.run_times, strict=True)},
        "means": {name: _mean(getattr(module, attribute)) for name, attribute in MEANS.items()},
        "figures": {"warm_load": module.fleet.throughput.value}
        | {name: getattr(module, attribute) for name, attribute in FIGURES.items()},
        "workers": {
            w.id.decode("latin-1"): {
                "up_since": w.up_since,
                "figures": {name: getattr(w, attribute) for name, attribute in WORKER.items()},
                "doubts": w.suspicion if w.id in module.suspects else 0,
                "keys": [[p.key, p.last_used_at, p.use_count] for p in w.held_keys.values()],
            }
            for w in module.workers.values()
        },
    }


def pending(module: Dispatcher) -> dict[str, float]:
    """Slots out at each worker."""
    return {w.id.decode("latin-1"): w.pending_slots for w in module.workers.values() if w.pending_slots}


def take(module: Dispatcher, told: dict[str, Any]) -> None:
    """KeyError, TypeError or ValueError if it is not what `tell` gives.

    Nothing of it holds for a worker that has restarted.
    """
    for cls, mean in zip(module.settings.classes, module.run_times, strict=True):
        if cls.name in told["runs"]:
            _set(mean, told["runs"][cls.name])
    for name, attribute in MEANS.items():
        _set(getattr(module, attribute), told["means"][name])
    for name, attribute in FIGURES.items():
        setattr(module, attribute, float(told["figures"][name]))
    module.fleet.throughput.value = float(told["figures"]["warm_load"])  # the name that 0.5 gave it
    for worker in module.workers.values():
        known = told["workers"].get(worker.id.decode("latin-1"))
        if known is not None and float(known["up_since"]) == worker.up_since:
            _take_worker(module, worker, known)


def _take_worker(module: Dispatcher, worker: Worker, known: dict[str, Any]) -> None:
    for name, attribute in WORKER.items():
        setattr(worker, attribute, float(known["figures"][name]))
    worker.suspicion = int(known["doubts"])
    if worker.suspicion and worker.ready:
        module.suspects[worker.id] = worker
    for key, used, uses in known["keys"] if worker.ready else ():
        if int(key) not in worker.held_keys:
            pair = worker.held_keys[int(key)] = HeldKey(int(key), worker)
            pair.last_used_at, pair.use_count = float(used), int(uses)
            module.key_holders.setdefault(int(key), []).append(pair)


def _mean(mean: MovingAverage) -> list[float]:
    return [mean.value, mean.deviation, mean.sample_count]


def _set(mean: MovingAverage, figures: list[float]) -> None:
    value, dev, count = figures
    mean.value, mean.deviation, mean.sample_count = float(value), float(dev), int(count)
