"""All interleavings of a few steps: breadth first over every choice, states that were seen before left out.

A state is reached by playing its choices again from the start, so that nothing needs to be copied.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass

from .machine import Machine
from .random_walk import RandomWalk

SUSPICION = 0.75  # seconds without the primary: enough for a backup to act
MAX_TIMEOUTS = 3
MAX_RESTARTS = 1
MAX_CHANGES = 2
MAX_LEAVES = 1
BOOT_STEPS = 60  # messages after which the first view is at work


@dataclass(frozen=True, slots=True)
class Choice:
    """One step: "deliver" the message with this number, or do something to the machine with this number."""

    action: str
    number: int


class ExhaustiveSearch:
    """Three machines, one of which may be lost; two changes, some timeouts, a restart and a planned
    end at any point."""

    def __init__(self) -> None:
        self.states: set[int] = set()
        self.deepest = 0

    def explore(self, max_states: int, until: float) -> None:
        """Plays every choice from every state found, up to a number of states or a time (time.monotonic)."""
        queue: deque[tuple[Choice, ...]] = deque([()])
        while queue and len(self.states) < max_states and time.monotonic() < until:
            path = queue.popleft()
            cluster = play(path)
            for choice in _choices(cluster, path):
                self._visit(queue, (*path, choice))

    def _visit(self, queue: deque[tuple[Choice, ...]], path: tuple[Choice, ...]) -> None:
        state = hash(_fingerprint(play(path)))
        if state in self.states:
            return
        self.states.add(state)
        self.deepest = max(self.deepest, len(path))
        queue.append(path)


def play(path: tuple[Choice, ...]) -> RandomWalk:
    """The cluster after these choices; raises InvariantError if a property does not hold on the way."""
    cluster = RandomWalk(0, 3, 3, 1)
    for _ in range(BOOT_STEPS):
        if cluster.pending:
            cluster.deliver(0)
    for choice in path:
        _take(cluster, choice)
        for address in cluster.machines:
            cluster.end_if_left(address)
    return cluster


def _take(cluster: RandomWalk, choice: Choice) -> None:
    if choice.action == "deliver":
        cluster.deliver(choice.number)
        return
    machine = list(cluster.machines.values())[choice.number]
    if choice.action == "time out":
        cluster.tick(machine, SUSPICION)
    elif choice.action == "restart":
        cluster.kill(machine.address)
        cluster.start(machine.address)
    elif choice.action == "leave":
        cluster.leave(machine.address)
    else:
        cluster.change(machine)


def _choices(cluster: RandomWalk, path: tuple[Choice, ...]) -> list[Choice]:
    taken = [choice.action for choice in path]
    choices = [Choice("deliver", number) for number in range(len(cluster.pending))]
    for number, machine in enumerate(cluster.machines.values()):
        if taken.count("restart") < MAX_RESTARTS:
            choices.append(Choice("restart", number))
        if machine.member is None:
            continue
        if taken.count("leave") < MAX_LEAVES:
            choices.append(Choice("leave", number))
        if taken.count("time out") < MAX_TIMEOUTS:
            choices.append(Choice("time out", number))
        if taken.count("change") < MAX_CHANGES and machine.member.is_primary:
            choices.append(Choice("change", number))
    return choices


def _fingerprint(cluster: RandomWalk) -> tuple[object, ...]:
    messages = sorted(
        (address, message.sender, message.kind, message.body) for address, message in cluster.pending
    )
    return (*messages, *(_state_of(machine) for machine in cluster.machines.values()))


def _state_of(machine: Machine) -> tuple[object, ...]:
    disk = machine.disk
    stored = (tuple(sorted(disk.cells.items())), disk.base, tuple(disk.records), disk.synced)
    kept = None if machine.member is None else machine.member.volatile_state()
    return (stored, kept, machine.clock_offset, machine.incarnation, tuple(sorted(machine.proposals.items())))
