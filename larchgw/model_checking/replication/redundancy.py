"""How long it takes from a machine's return or replacement until the next loss may come.

Full redundancy: every machine that is there is in sync, and 2 * survive + 1 of them decide, with no change of
the witnesses under way. Virtual time, links of 1.5 ms and 1 Gbit/s, 5 ms a write, a change every 20 ms; the
processes' own start is not in it."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

from ...runtime.logs import muted
from .cluster import Machine, World

LINK_S = 0.0015
WRITE_S = 0.005
LINK_BYTES = 125e6  # a second
CHANGE_EVERY = 0.02  # seconds
COMPACT_RECORDS = 100
PIECE_BYTES = 256 << 10
WARM_UP = 2.5  # seconds, enough for a snapshot to be needed
LARGE = 5_000_000  # bytes of state
GIVES_UP = 15.0  # seconds
RUNS = 200
SHAPES = ((3, 3, 1), (5, 3, 2))  # machines, seeds among them, machines that may be lost


@dataclass(frozen=True, slots=True)
class Case:
    """What is measured: `begin` plays the loss, and returns once the machine is back."""

    name: str
    begin: Callable[[World], None]


def calm(world: World, seconds: float) -> None:
    """Time passes, and the operator goes on changing the configuration."""
    end = world.now + seconds
    while world.now < end:
        world.run(CHANGE_EVERY)
        for machine in world.primaries():
            world.change(machine)


def is_redundant(world: World) -> bool:
    """Whether the next loss may come."""
    view = world.newest_view
    present = {machine.id for machine in world.running}
    if view is None or view.is_joint or set(view.in_sync) != present:
        return False
    return set(view.witnesses) <= present and len(view.witnesses) == 2 * world.survive + 1


def seconds_to_redundancy(case: Case, shape: tuple[int, int, int], seed: int, state_bytes: int) -> float:
    """Plays one case; GIVES_UP if it takes longer than that."""
    world = World(seed, *shape)
    world.delay = (LINK_S, LINK_S)
    world.write_seconds = WRITE_S
    world.link_bytes = LINK_BYTES
    world.compact_records = COMPACT_RECORDS
    world.piece_bytes = PIECE_BYTES
    world.filling_bytes = state_bytes
    for address in world.machines:
        world.start(address, first_boot=True)
    if case.name != FIRST_START:
        calm(world, WARM_UP + world.random.uniform(0.0, 0.5))
    case.begin(world)
    began = world.now
    while not is_redundant(world) and world.now - began < GIVES_UP:
        calm(world, CHANGE_EVERY)
    return world.now - began


def _victim(world: World) -> Machine:
    return world.random.choice(world.running)


def _restart_in_order(world: World) -> None:
    address = _victim(world).address
    world.leave(address)
    while not world.end_if_left(address):
        calm(world, CHANGE_EVERY)
    calm(world, world.random.uniform(0.3, 2.0))
    world.start(address)


def _kill(world: World) -> None:
    address = _victim(world).address
    world.kill(address)
    calm(world, world.random.uniform(0.3, 2.0))
    world.start(address)


def _wipe(world: World) -> None:
    address = _victim(world).address
    world.wipe(address)
    calm(world, world.random.uniform(0.3, 2.0))
    world.start(address)


def _replace(world: World) -> None:
    world.destroy(_victim(world).address)
    calm(world, 1.0)
    world.start(world.new_machine().address)


def _replace_in_order(world: World) -> None:
    old = _victim(world).address
    world.start(world.new_machine().address)
    calm(world, 1.0)
    world.leave(old)
    while not world.end_if_left(old):
        calm(world, CHANGE_EVERY)
    world.destroy(old)


FIRST_START = "first start"
CASES = (
    Case(FIRST_START, lambda world: None),
    Case("restart in order", _restart_in_order),
    Case("killed and back", _kill),
    Case("back with an empty disk", _wipe),
    Case("replaced", _replace),
    Case("replaced in order", _replace_in_order),
)


def main(seconds: float, seed: int) -> int:
    """Prints a line for each case; the time is shared out among them. 0 if every run came to redundancy."""
    with muted():
        late = _print_cases(seconds, seed)
    print(f"redundancy: late={late}")
    return 1 if late else 0


def _print_cases(seconds: float, seed: int) -> int:
    """Prints a line for each case; returns how many runs came to redundancy too late."""
    late = 0
    lines = [(case, shape, size) for size in (0, LARGE) for shape in SHAPES for case in CASES]
    print(f"{'case':24} machines survive state MB runs median s worst s")
    for case, shape, size in lines:
        until = time.monotonic() + seconds / len(lines)
        taken: list[float] = []
        while len(taken) < RUNS and (not taken or time.monotonic() < until):
            taken.append(seconds_to_redundancy(case, shape, seed * RUNS + len(taken), size))
        late += sum(value >= GIVES_UP for value in taken)
        print(
            f"{case.name:24} {shape[0]:8} {shape[2]:7} {size / 1e6:8.0f} {len(taken):4} "
            f"{statistics.median(taken):8.2f} {max(taken):7.2f}",
            flush=True,
        )
    return late
