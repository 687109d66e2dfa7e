"""What a control process needs to come back after many changes: from its disk, or from another's snapshot.

`larchgw lab recovery` prints the tables of docs/storage.md. Each case runs in processes of its own, on a
temporary folder, so that the memory is that of the case alone.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from ..control.configuration_state import ConfigurationState
from ..control.disk import ControlDisk
from ..control.operator_order import OperatorOrder
from ..replication.compaction import Compaction
from ..replication.replica import Replica
from ..replication.settings import MemberSettings
from ..replication.snapshot_transfer import IncomingSnapshot, OutgoingSnapshot, Snapshot
from ..storage.files import DiskFiles
from .results import Options, Result

CHANGES = (99, 499, 999, 1999, 4999)  # the last ones before a compaction: the most records are left
ROUTES = (10, 100, 1000, 10_000)
USUAL_CHANGES, USUAL_ROUTES = 999, 100
LARGEST = (20, 52_000)  # changes and routes: close to the largest configuration that is taken
KILOBYTE = 1000.0
EPOCH = 1


@dataclass(frozen=True, slots=True)
class Case:
    """So many changes of one route each to a configuration of so many routes."""

    changes: int
    routes: int


def experiment(options: Options) -> Result:
    """Every number of changes at the usual size, and every size at the usual number of changes."""
    result = Result("recovery")
    cases = [Case(changes, USUAL_ROUTES) for changes in CHANGES]
    cases += [Case(USUAL_CHANGES, routes) for routes in ROUTES if routes != USUAL_ROUTES]
    cases.append(Case(*LARGEST))
    for case in cases:
        _play(result, case)
    return result


def _play(result: Result, case: Case) -> None:
    with tempfile.TemporaryDirectory() as folder:
        source, target = str(Path(folder) / "source"), str(Path(folder) / "target")
        written = _apart(_write, source, case)
        restarted = _apart(_restart, source, case)
        fetched = _apart(_fetch, source, target, case)
    result.rows.append(
        {
            "changes": case.changes,
            "routes": case.routes,
            "a change ms": written["seconds"] * 1000 / case.changes,
            "change MB": written["memory"],
            "snapshot KB": restarted["snapshot"] / KILOBYTE,
            "records": int(restarted["records"]),
            "disk KB": restarted["disk"] / KILOBYTE,
            "restart s": restarted["seconds"],
            "restart MB": restarted["memory"],
            "pieces": int(fetched["pieces"]),
            "fetch s": fetched["seconds"],
            "fetch MB": fetched["memory"],
        }
    )
    result.figures[f"restart_s_{case.changes}x{case.routes}"] = restarted["seconds"]
    result.figures[f"fetch_s_{case.changes}x{case.routes}"] = fetched["seconds"]


def _apart(work: Callable[..., dict[str, float]], *arguments: Any) -> dict[str, float]:
    """Runs the work in a fresh process; its figures, with the most memory it took in MB."""
    context = get_context("spawn")
    ours, theirs = context.Pipe(duplex=False)
    process = context.Process(target=_report, args=(theirs, work, arguments))
    process.start()
    theirs.close()
    try:
        figures: dict[str, float] = ours.recv()
    finally:
        process.join()
    return figures


def _report(
    connection: Connection, work: Callable[..., dict[str, float]], arguments: tuple[Any, ...]
) -> None:
    figures = work(*arguments)
    figures["memory"] = _most_memory_mb()
    connection.send(figures)


def _most_memory_mb() -> float:
    """The most that this process has taken; the kernel's count of used resources has its parent's too."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def _open(folder: str) -> tuple[ControlDisk, Replica]:
    disk = ControlDisk.open(DiskFiles(), folder)
    return disk, Replica(disk.ports.journal)


def _write(folder: str, case: Case) -> dict[str, float]:
    _, replica = _open(folder)
    state = ConfigurationState()
    compaction = Compaction(replica, _settings(), state.snapshot)
    began = time.perf_counter()
    for number in range(case.changes):
        record = _order(case, number).encode()
        index = replica.append(EPOCH, record)
        state.apply(index, record)
        compaction.tick(float(number), index, is_sending_snapshot=False)
    return {"seconds": time.perf_counter() - began}


def _restart(folder: str, case: Case) -> dict[str, float]:
    began = time.perf_counter()
    disk, replica = _open(folder)
    state = ConfigurationState()
    _, _, snapshot = replica.snapshot()
    if snapshot:
        state.restore(snapshot)
    for index, record in replica.read(replica.first_index, replica.last_index):
        state.apply(index, record)
    seconds = time.perf_counter() - began
    _check(state, case)
    return {
        "seconds": seconds,
        "snapshot": float(len(snapshot)),
        "records": float(replica.size.records),
        "disk": float(disk.log.size_bytes),
    }


def _fetch(source: str, target: str, case: Case) -> dict[str, float]:
    """An empty member is brought up to date: the snapshot in pieces, then the records after it."""
    _, primary = _open(source)
    _, replica = _open(target)
    state, incoming, pieces = ConfigurationState(), IncomingSnapshot(), 0
    began = time.perf_counter()
    if primary.first_index > 1:
        outgoing = OutgoingSnapshot(EPOCH, Snapshot.of(*primary.snapshot()), _settings().chunk_bytes)
        whole = None
        while whole is None:
            piece, pieces = outgoing.chunk(), pieces + 1
            whole = incoming.receive(piece) if incoming.begin(piece) else None
            outgoing.acknowledge(piece.index, incoming.offset)
        replica.install(outgoing.snapshot.index, outgoing.snapshot.epoch, whole)
        incoming.discard()
        state.restore(whole)
    while replica.last_index < primary.last_index:
        first = replica.last_index + 1
        epochs, records = primary.batch(first, _settings().batch_bytes)
        replica.append_from_primary(first - 1, primary.epoch_at(first - 1), epochs, records)
    for index, record in replica.read(replica.first_index, replica.last_index):
        state.apply(index, record)
    seconds = time.perf_counter() - began
    _check(state, case)
    return {"seconds": seconds, "pieces": float(pieces)}


def _settings() -> MemberSettings:
    return MemberSettings("10.0.0.1:1", ("10.0.0.1:1",), True, "", 0, 1.0)


def _order(case: Case, number: int) -> OperatorOrder:
    """The first order gives the whole configuration, each later one changes a route."""
    version = number + 1
    if number == 0:
        routes = [_route(each, version) for each in range(case.routes)]
        body: dict[str, Any] = {"config_version": version, "services": [{"name": "s"}], "routes": routes}
        return OperatorOrder("replace", 0, json.dumps(body).encode())
    body = {"config_version": version, "add": {"routes": [_route(number % case.routes, version)]}}
    return OperatorOrder("change", number, json.dumps(body).encode())


def _route(number: int, version: int) -> dict[str, Any]:
    return {
        "name": f"route-{number}",
        "hostname": f"host-{number}.example",
        "path_start": f"/path-{number}/",
        "kind": "read_only",
        "deadline_ms": 1000 + version,
        "service": "s",
        "tries": 2,
    }


def _check(state: ConfigurationState, case: Case) -> None:
    if state.version != case.changes:
        raise RuntimeError(f"version {state.version} came back, {case.changes} was written")
