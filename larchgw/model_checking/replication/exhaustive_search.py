"""All interleavings of a few steps: breadth first over every choice, states that were seen before left out.

A state is reached by playing its choices again from the start, so that nothing needs to be copied.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

from .machine import Machine
from .random_walk import RandomWalk

SUSPICION_S = 0.75  # without the primary: enough for a backup to act
MAX_TIMEOUTS = 3
MAX_RESTARTS = 1
MAX_CHANGES = 2
MAX_LEAVES = 1
BOOT_STEPS = 60  # messages after which the first view is at work


class Action(Enum):
    """What may happen next."""

    DELIVER = auto()  # the message with the choice's number in `pending`
    TIME_OUT = auto()  # the machine with this number suspects the primary
    RESTART = auto()
    LEAVE = auto()
    CHANGE = auto()  # the operator sends a change to it


@dataclass(frozen=True, slots=True)
class Choice:
    """One step, with the number of the message or machine that it is about."""

    action: Action
    number: int


class ExhaustiveSearch:
    """Three machines, one of which may be lost; a few changes, time-outs, restarts and leaves at any point.

    Attributes:
        states: Different states that were found, as hashes.
        max_depth: Choices on the longest path to one of them.
    """

    def __init__(self) -> None:
        """Begins without any state."""
        self.states: set[int] = set()
        self.max_depth = 0

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
        self.max_depth = max(self.max_depth, len(path))
        queue.append(path)


def play(path: tuple[Choice, ...]) -> RandomWalk:
    """The cluster after these choices; raises InvariantError if a property does not hold on the way."""
    cluster = RandomWalk(0, 3, 3, 1)
    for _ in range(BOOT_STEPS):
        if cluster.pending:
            cluster.deliver(0)
    for choice in path:
        _apply(cluster, choice)
        for address in cluster.machines:
            cluster.end_if_left(address)
    return cluster


def _apply(cluster: RandomWalk, choice: Choice) -> None:
    if choice.action is Action.DELIVER:
        cluster.deliver(choice.number)
        return
    machine = list(cluster.machines.values())[choice.number]
    if choice.action is Action.TIME_OUT:
        cluster.tick(machine, SUSPICION_S)
    elif choice.action is Action.RESTART:
        cluster.kill(machine.address)
        cluster.start(machine.address)
    elif choice.action is Action.LEAVE:
        cluster.leave(machine.address)
    else:
        cluster.change(machine)


def _choices(cluster: RandomWalk, path: tuple[Choice, ...]) -> list[Choice]:
    taken = [choice.action for choice in path]
    choices = [Choice(Action.DELIVER, number) for number in range(len(cluster.pending))]
    for number, machine in enumerate(cluster.machines.values()):
        if taken.count(Action.RESTART) < MAX_RESTARTS:
            choices.append(Choice(Action.RESTART, number))
        if machine.member is None:
            continue
        if taken.count(Action.LEAVE) < MAX_LEAVES:
            choices.append(Choice(Action.LEAVE, number))
        if taken.count(Action.TIME_OUT) < MAX_TIMEOUTS:
            choices.append(Choice(Action.TIME_OUT, number))
        if taken.count(Action.CHANGE) < MAX_CHANGES and machine.member.is_primary:
            choices.append(Choice(Action.CHANGE, number))
    return choices


def _fingerprint(cluster: RandomWalk) -> tuple[object, ...]:
    messages = sorted(
        (address, message.sender, message.kind, message.body) for address, message in cluster.pending
    )
    return (*messages, *(_state_of(machine) for machine in cluster.machines.values()))


def _state_of(machine: Machine) -> tuple[object, ...]:
    disk = machine.disk
    stored = (tuple(sorted(disk.cells.items())), disk.stored_snapshot, tuple(disk.records), disk.synced_count)
    volatile = None if machine.member is None else machine.member.volatile_state()
    return (
        stored,
        volatile,
        machine.clock_offset,
        machine.incarnation,
        tuple(sorted(machine.proposals.items())),
    )
