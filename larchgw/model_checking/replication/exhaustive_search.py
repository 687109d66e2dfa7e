"""Breadth-first search over all interleavings of a few steps, which skips known states.

A state is reached by replaying its choices from the start, so that no state needs to be copied.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

from .machine import Machine
from .random_walk import RandomWalk

SUSPICION_S = 0.75  # time without the primary after which a backup suspects it
MAX_TIMEOUTS = 3
MAX_RESTARTS = 1
MAX_CHANGES = 2
MAX_LEAVES = 1
BOOT_STEPS = 60  # messages after which the first view is established


class Action(Enum):
    """A kind of step."""

    DELIVER = auto()  # deliver the message at this index of `pending`
    TIME_OUT = auto()  # let the machine with this index suspect the primary
    RESTART = auto()
    LEAVE = auto()
    CHANGE = auto()  # submit an operator's change to the machine


@dataclass(frozen=True, slots=True)
class Choice:
    """One step, with the index of its message or machine."""

    action: Action
    number: int


class ExhaustiveSearch:
    """Search over three machines that tolerate one loss, with a few changes, time-outs, restarts and leaves.

    Attributes:
        states: Hashes of the distinct states found.
        max_depth: Length of the longest path to a state.
    """

    def __init__(self) -> None:
        """Starts without any state."""
        self.states: set[int] = set()
        self.max_depth = 0

    def explore(self, max_states: int, until: float) -> None:
        """Tries every choice in every state, up to `max_states` or to the time.monotonic value `until`."""
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
    """Returns the cluster after these choices; raises InvariantError if an invariant is violated."""
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
