"""Measures the time from a machine's return or replacement to full redundancy.

With full redundancy the next loss is tolerated: every running machine is in sync, 2 * survive + 1 of them are
witnesses, and no change of the witnesses is in progress. The simulation has links of 1.5 ms and 1 Gbit/s,
writes of 5 ms, and a change every 20 ms. The start-up time of processes is not included.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

from ...runtime.logs import muted
from .cluster import SimulatedCluster
from .machine import Machine

LINK_S = 0.0015
WRITE_S = 0.005
LINK_BYTES_PER_S = 125e6
CHANGE_INTERVAL_S = 0.02
COMPACT_RECORDS = 100
CHUNK_BYTES = 256 << 10
WARM_UP_S = 2.5  # long enough for a snapshot to be needed
LARGE_STATE_BYTES = 5_000_000
LIMIT_S = 15.0
RUNS = 200
SHAPES = ((3, 3, 1), (5, 3, 2))  # machines, seeds among them, machines that may be lost


@dataclass(frozen=True, slots=True)
class Case:
    """A kind of loss; `begin` simulates it and returns once the machine is back."""

    name: str
    begin: Callable[[SimulatedCluster], None]


def run_with_changes(cluster: SimulatedCluster, seconds: float) -> None:
    """Advances time while the operator keeps changing the configuration."""
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.run(CHANGE_INTERVAL_S)
        for machine in cluster.primaries():
            cluster.change(machine)


def is_redundant(cluster: SimulatedCluster) -> bool:
    """Whether the cluster has full redundancy, so that the next loss is tolerated."""
    view = cluster.latest_view
    present = {machine.id for machine in cluster.running}
    if view is None or view.is_joint or set(view.in_sync) != present:
        return False
    return set(view.witnesses) <= present and len(view.witnesses) == 2 * cluster.survive + 1


def seconds_to_redundancy(case: Case, shape: tuple[int, int, int], seed: int, state_bytes: int) -> float:
    """Simulates one case; returns the seconds to full redundancy, or about LIMIT_S on a time-out."""
    cluster = SimulatedCluster(seed, *shape)
    cluster.links.delay_range_s = (LINK_S, LINK_S)
    cluster.write_s = WRITE_S
    cluster.links.bytes_per_s = LINK_BYTES_PER_S
    cluster.compact_records = COMPACT_RECORDS
    cluster.chunk_bytes = CHUNK_BYTES
    cluster.snapshot_padding_bytes = state_bytes
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    if case.name != FIRST_START:
        run_with_changes(cluster, WARM_UP_S + cluster.random.uniform(0.0, 0.5))
    case.begin(cluster)
    began = cluster.now
    while not is_redundant(cluster) and cluster.now - began < LIMIT_S:
        run_with_changes(cluster, CHANGE_INTERVAL_S)
    return cluster.now - began


def _pick_running_machine(cluster: SimulatedCluster) -> Machine:
    return cluster.random.choice(cluster.running)


def _restart_gracefully(cluster: SimulatedCluster) -> None:
    address = _pick_running_machine(cluster).address
    cluster.leave(address)
    while not cluster.end_if_left(address):
        run_with_changes(cluster, CHANGE_INTERVAL_S)
    run_with_changes(cluster, cluster.random.uniform(0.3, 2.0))
    cluster.start(address)


def _kill(cluster: SimulatedCluster) -> None:
    address = _pick_running_machine(cluster).address
    cluster.kill(address)
    run_with_changes(cluster, cluster.random.uniform(0.3, 2.0))
    cluster.start(address)


def _wipe(cluster: SimulatedCluster) -> None:
    address = _pick_running_machine(cluster).address
    cluster.wipe(address)
    run_with_changes(cluster, cluster.random.uniform(0.3, 2.0))
    cluster.start(address)


def _replace(cluster: SimulatedCluster) -> None:
    cluster.destroy(_pick_running_machine(cluster).address)
    run_with_changes(cluster, 1.0)
    cluster.start(cluster.new_machine().address)


def _replace_gracefully(cluster: SimulatedCluster) -> None:
    old = _pick_running_machine(cluster).address
    cluster.start(cluster.new_machine().address)
    run_with_changes(cluster, 1.0)
    cluster.leave(old)
    while not cluster.end_if_left(old):
        run_with_changes(cluster, CHANGE_INTERVAL_S)
    cluster.destroy(old)


FIRST_START = "first start"
CASES = (
    Case(FIRST_START, lambda cluster: None),
    Case("restart in order", _restart_gracefully),
    Case("killed and back", _kill),
    Case("back with an empty disk", _wipe),
    Case("replaced", _replace),
    Case("replaced in order", _replace_gracefully),
)


def main(seconds: float, seed: int) -> int:
    """Prints a line per case, with equal time for each; returns 0 if every run reached redundancy."""
    with muted():
        late = _print_cases(seconds, seed)
    print(f"redundancy: late={late}")
    return 1 if late else 0


def _print_cases(seconds: float, seed: int) -> int:
    """Prints a line per case; returns the number of runs that did not reach redundancy within LIMIT_S."""
    late = 0
    lines = [(case, shape, size) for size in (0, LARGE_STATE_BYTES) for shape in SHAPES for case in CASES]
    print(f"{'case':24} machines survive state MB runs median s worst s")
    for case, shape, size in lines:
        until = time.monotonic() + seconds / len(lines)
        taken: list[float] = []
        while len(taken) < RUNS and (not taken or time.monotonic() < until):
            taken.append(seconds_to_redundancy(case, shape, seed * RUNS + len(taken), size))
        late += sum(value >= LIMIT_S for value in taken)
        print(
            f"{case.name:24} {shape[0]:8} {shape[2]:7} {size / 1e6:8.0f} {len(taken):4} "
            f"{statistics.median(taken):8.2f} {max(taken):7.2f}",
            flush=True,
        )
    return late
