"""All interleavings of a few steps: breadth first over every choice, states that were seen before left out.

A state is reached by playing its choices again from the start, so that nothing needs to be copied.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass

from .cluster import Machine
from .random_walk import Walk

SUSPICION = 0.75  # seconds without the primary: enough for a backup to act
MOST_TIMEOUTS = 3
MOST_RESTARTS = 1
MOST_CHANGES = 2
MOST_LEAVES = 1
BOOT_STEPS = 60  # messages after which the first view is at work


@dataclass(frozen=True, slots=True)
class Choice:
    """One step: "deliver" the message with this number, or do something to the machine with this number."""

    action: str
    number: int


class Exhaustive:
    """Three machines, one of which may be lost; two changes, some timeouts, a restart and a planned
    end at any point."""

    def __init__(self) -> None:
        self.states: set[int] = set()
        self.deepest = 0

    def explore(self, most_states: int, until: float) -> None:
        """Plays every choice from every state found, up to a number of states or a time (time.monotonic)."""
        queue: deque[tuple[Choice, ...]] = deque([()])
        while queue and len(self.states) < most_states and time.monotonic() < until:
            path = queue.popleft()
            world = play(path)
            for choice in _choices(world, path):
                self._visit(queue, (*path, choice))

    def _visit(self, queue: deque[tuple[Choice, ...]], path: tuple[Choice, ...]) -> None:
        state = hash(_fingerprint(play(path)))
        if state in self.states:
            return
        self.states.add(state)
        self.deepest = max(self.deepest, len(path))
        queue.append(path)


def play(path: tuple[Choice, ...]) -> Walk:
    """The world after these choices; raises Broken if a property does not hold on the way."""
    world = Walk(0, 3, 3, 1)
    for _ in range(BOOT_STEPS):
        if world.pending:
            world.deliver(0)
    for choice in path:
        _take(world, choice)
        for address in world.machines:
            world.end_if_left(address)
    return world


def _take(world: Walk, choice: Choice) -> None:
    if choice.action == "deliver":
        world.deliver(choice.number)
        return
    machine = list(world.machines.values())[choice.number]
    if choice.action == "time out":
        world.tick(machine, SUSPICION)
    elif choice.action == "restart":
        world.kill(machine.address)
        world.start(machine.address)
    elif choice.action == "leave":
        world.leave(machine.address)
    else:
        world.change(machine)


def _choices(world: Walk, path: tuple[Choice, ...]) -> list[Choice]:
    taken = [choice.action for choice in path]
    choices = [Choice("deliver", number) for number in range(len(world.pending))]
    for number, machine in enumerate(world.machines.values()):
        if taken.count("restart") < MOST_RESTARTS:
            choices.append(Choice("restart", number))
        if machine.member is None:
            continue
        if taken.count("leave") < MOST_LEAVES:
            choices.append(Choice("leave", number))
        if taken.count("time out") < MOST_TIMEOUTS:
            choices.append(Choice("time out", number))
        if taken.count("change") < MOST_CHANGES and machine.member.is_primary:
            choices.append(Choice("change", number))
    return choices


def _fingerprint(world: Walk) -> tuple[object, ...]:
    messages = sorted(
        (address, message.sender, message.kind, message.body) for address, message in world.pending
    )
    return (*messages, *(_state_of(machine) for machine in world.machines.values()))


def _state_of(machine: Machine) -> tuple[object, ...]:
    disk = machine.disk
    stored = (tuple(sorted(disk.cells.items())), disk.base, tuple(disk.records), disk.synced)
    kept = None if machine.member is None else machine.member.progress()
    return (stored, kept, machine.clock_offset, machine.life, tuple(sorted(machine.proposals.items())))
