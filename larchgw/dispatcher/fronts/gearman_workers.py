"""The transport to boxes that work through Gearman: each of a box's connections is one slot."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from math import ceil
from typing import Protocol

import structlog
from sortedcontainers import SortedKeyList

from ...net.connection_outcome import ConnectionOutcome
from ...net.loop import Loop
from ...net.timers import Deadline
from ..core import Attempt, Core, End
from ..core.requests import JobMessage, Reach
from ..scheduling.interface import Status, WorkerId
from ..workers.attempt_status import status_of
from .gearman_packets import Packet, Type, encode

ASSIGN = {
    Type.GRAB_JOB: Type.JOB_ASSIGN,
    Type.GRAB_JOB_UNIQ: Type.JOB_ASSIGN_UNIQ,
    Type.GRAB_JOB_ALL: Type.JOB_ASSIGN_ALL,
}
NEWS = {
    Type.WORK_DATA: JobMessage.DATA,
    Type.WORK_WARNING: JobMessage.WARNING,
    Type.WORK_EXCEPTION: JobMessage.EXCEPTION,
}
log = structlog.get_logger()


class Wire(Protocol):
    """A connection, as far as a worker needs it."""

    def write(self, data: bytes) -> None: ...

    def written(self) -> bool: ...

    def hang_up(self) -> None: ...


class Slot:
    """One worker connection."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.box: Box | None = None
        self.client_id = b""
        self.abilities: dict[bytes, float] = {}  # function to the worker's own time limit, 0 for none
        self.asleep = False
        self.task: Task | None = None
        self.lent: Task | None = None  # a job of several slots that runs on another connection of the box

    def free(self) -> bool:
        return self.task is None and self.lent is None


@dataclass(slots=True, eq=False)
class Task:
    """An attempt at a box: waiting there, or on one of its slots."""

    attempt: Attempt
    box: Box
    function: bytes
    handle: bytes
    slots: int = 1  # connections that it takes: it runs on one, the others get nothing meanwhile
    slot: Slot | None = None
    excepted: bool = False
    timer: Deadline | None = None


class Box:
    """A box's slots, and the tasks that wait for one, urgent ones first."""

    def __init__(self, name: WorkerId) -> None:
        self.name = name
        self.slots: list[Slot] = []
        self.waiting: SortedKeyList[Task] = SortedKeyList(
            key=lambda t: (-t.attempt.request.priority, t.attempt.request.id)
        )

    def able(self, function: bytes) -> list[Slot]:
        return [s for s in self.slots if function in s.abilities]

    def free(self, function: bytes) -> int:
        """Connections that may be given such a job now."""
        return sum(s.free() for s in self.able(function))


class GearmanWorkers:
    """Tells a box's sleeping slots of work, and gives it to those that ask."""

    name = "gearman"

    def __init__(self, loop: Loop, core: Core, grab_wait: float) -> None:
        self.loop, self.core, self.grab_wait = loop, core, grab_wait
        self.boxes: dict[WorkerId, Box] = {}
        self._hung_up: set[WorkerId] = set()
        # Told how many slots a box has, or None once it has left.
        self.on_slots: Callable[[WorkerId, float | None], None] = lambda worker, slots: None
        self._names = [c.name.encode() for c in core.settings.classes]
        core.list_listeners.append(self._return_drained)

    # From the core

    def reach(self, worker: WorkerId, job_class: int) -> Reach:
        box = self.boxes.get(worker)
        function = self._names[job_class]
        if box is None or not box.able(function):
            return Reach.NO
        return Reach.NOW if box.free(function) > len(box.waiting) else Reach.WAITS

    def send(self, attempt: Attempt) -> None:
        request = attempt.request
        box, function = self.boxes[attempt.worker], self._names[request.job_class]
        task = Task(
            attempt,
            box,
            function,
            b"H:larchgw:%d-%d" % (request.id, attempt.index),
            max(ceil(request.slots), 1),
        )
        attempt.carrier = task
        if task.slots > len(box.able(function)):
            # It would wait for connections that the box does not have.
            outcome = ConnectionOutcome.NO_WAY
            self.core.ended(attempt, End(status_of(outcome), why=outcome.value))
            return
        box.waiting.add(task)
        task.timer = self.loop.deadlines.add(
            self.loop.clock.now() + self.grab_wait, lambda: self._not_grabbed(task)
        )
        for slot in box.able(function):  # all that sleep: the first of them may be dead, and nobody told us
            self._wake(slot)

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        task: Task = attempt.carrier
        self.loop.deadlines.drop(task.timer)
        slot = task.slot
        if slot is None:
            task.box.waiting.discard(task)
            return status_of(ConnectionOutcome.NEVER_GRABBED if late else ConnectionOutcome.GIVEN_UP)
        # A worker cannot be told to stop; that its connection closes tells it.
        written, slot.task = slot.wire.written(), None
        self._give_back(task)
        self._hung_up.add(task.box.name)
        log.warning(
            "gearman.hang_up",
            box=task.box.name.decode("latin-1"),
            late=late,
            request=attempt.request.name.decode("latin-1"),
        )
        slot.wire.hang_up()
        return status_of(ConnectionOutcome.SILENT if late else ConnectionOutcome.GIVEN_UP, written)

    def probe(self, worker: WorkerId) -> None:
        """The protocol has no probe; a box that is connected is there."""
        there = worker in self.boxes
        self.core.probed(worker, Status.OK if there else Status.CONNECT_FAILED, 0.0, ())

    # From worker connections

    def on_packet(self, slot: Slot, packet: Packet) -> None:
        kind, args = packet.type, packet.args
        if kind in ASSIGN:
            self._grab(slot, kind)
        elif kind is Type.PRE_SLEEP:
            slot.asleep = True
            if self._next(slot) is not None:
                self._wake(slot)  # work came between its NO_JOB and its sleep
        elif kind in (Type.CAN_DO, Type.CAN_DO_TIMEOUT):
            slot.abilities[args[0]] = float(args[1]) if kind is Type.CAN_DO_TIMEOUT else 0.0
            self._settle(slot)
        elif kind is Type.CANT_DO:
            slot.abilities.pop(args[0], None)
            self._settle(slot)
        elif kind is Type.RESET_ABILITIES:
            slot.abilities.clear()
            self._settle(slot)
        elif kind is Type.SET_CLIENT_ID:
            if slot.client_id != args[0]:
                self._unsettle(slot)
                slot.client_id = args[0]
                self._settle(slot)
        elif kind is not Type.ALL_YOURS:
            self._work(slot, kind, args)

    def on_written(self, slot: Slot) -> None:
        """Everything for this connection has gone out, its job too."""
        if slot.task is not None:
            self.core.written(slot.task.attempt)

    def on_end(self, slot: Slot, ending: ConnectionOutcome, written: bool) -> None:
        """The connection has closed."""
        task, slot.task = slot.task, None
        self._unsettle(slot)
        if task is not None:
            closed = ending is ConnectionOutcome.CLOSED
            self._over(task, ConnectionOutcome.CUT_SHORT if closed else ending, written)

    def close(self) -> None:
        for box in list(self.boxes.values()):
            for slot in list(box.slots):
                slot.wire.hang_up()

    # Within

    def _settle(self, slot: Slot) -> None:
        """A slot counts once it has said who it is and what it can do."""
        if slot.box is not None:
            if not slot.abilities:
                self._unsettle(slot)
            return
        if not slot.abilities or not slot.client_id:
            return
        name = slot.client_id
        slot.box = self.boxes.setdefault(name, Box(name))
        slot.box.slots.append(slot)
        self.on_slots(name, float(len(slot.box.slots)))
        if len(slot.box.slots) == 1:
            log.info("gearman.box_joined", box=name.decode("latin-1"))
            self.core.worker_connected(name, restarted=name not in self._hung_up)
            self._hung_up.discard(name)

    def _unsettle(self, slot: Slot) -> None:
        box, slot.box = slot.box, None
        if box is None:
            return
        box.slots.remove(slot)
        slot.lent = None
        self.on_slots(box.name, float(len(box.slots)) if box.slots else None)
        if not box.slots:
            del self.boxes[box.name]
            log.info("gearman.box_left", box=box.name.decode("latin-1"))
            self.core.worker_disconnected(box.name)
        for task in [t for t in box.waiting if len(box.able(t.function)) < t.slots]:
            able = box.able(task.function)
            self._over(task, ConnectionOutcome.NO_WAY if able else ConnectionOutcome.NEVER_GRABBED)

    def _next(self, slot: Slot) -> Task | None:
        """What this slot may be given now."""
        box = slot.box
        if box is None or not slot.free() or not self.core.workers.takes_work(box.name):
            return None  # a drained box gets nothing new, whatever waits for it
        found = next((t for t in box.waiting if t.function in slot.abilities), None)
        if found is not None and box.free(found.function) < found.slots:
            # The first in turn keeps its room: let past it, jobs of one slot would take each that comes free.
            return None
        return found

    def _grab(self, slot: Slot, kind: Type) -> None:
        slot.asleep = False
        if slot.task is not None and slot.task.excepted:
            task, slot.task = slot.task, None
            self._over(task, ConnectionOutcome.FAILED)  # an exception was its last word on that job
        found = self._next(slot)
        if found is None:
            slot.wire.write(encode(Type.NO_JOB))
            return
        found.box.waiting.discard(found)
        found.slot, slot.task = slot, found
        others = (s for s in found.box.able(found.function) if s.free())
        for lent in islice(others, found.slots - 1):
            lent.lent = found
        self.loop.deadlines.drop(found.timer)
        limit = slot.abilities[found.function]
        found.timer = None
        if limit > 0:
            found.timer = self.loop.deadlines.add(
                self.loop.clock.now() + limit, lambda: self.core.expire(found.attempt)
            )
        request = found.attempt.request
        args = [found.handle, found.function]
        if kind is not Type.GRAB_JOB:
            args.append(request.unique or request.name)
        if kind is Type.GRAB_JOB_ALL:
            args.append(b"")  # the reducer, which is for map and reduce jobs
        slot.wire.write(encode(ASSIGN[kind], *args, request.body))
        if slot.task is found:
            self.core.started(found.attempt)

    def _work(self, slot: Slot, kind: Type, args: list[bytes]) -> None:
        """What a worker says of its job."""
        task = slot.task
        if task is None or task.handle != args[0]:
            self.core.counters.late.labels(kind.name.lower()).inc()
            slot.wire.write(encode(Type.ERROR, b"JOB_NOT_FOUND", b"this connection has no such job"))
            return
        if kind is Type.WORK_COMPLETE or kind is Type.WORK_FAIL:
            slot.task = None
            done = kind is Type.WORK_COMPLETE
            outcome = ConnectionOutcome.DONE if done else ConnectionOutcome.FAILED
            self._over(task, outcome, result=args[1] if done else b"")
        elif kind is Type.WORK_STATUS:
            self.core.relay_message(task.attempt, JobMessage.STATUS, args[1] + b"\0" + args[2])
            try:
                self.core.progress(task.attempt, float(args[1]) / float(args[2]))
            except (ValueError, ZeroDivisionError):
                pass  # a worker may count in what it likes; the client has been told
        else:
            task.excepted = task.excepted or kind is Type.WORK_EXCEPTION
            self.core.relay_message(task.attempt, NEWS[kind], args[1])

    def _wake(self, slot: Slot) -> None:
        if slot.asleep and slot.free():
            slot.asleep = False
            slot.wire.write(encode(Type.NOOP))

    def _give_back(self, task: Task) -> None:
        """The connections that a job of several slots kept from others may have work again."""
        for slot in task.box.slots:
            if slot.lent is task:
                slot.lent = None
                if task.box.waiting:
                    self._wake(slot)

    def _not_grabbed(self, task: Task) -> None:
        """Nobody came for it. A box with all slots at work is full; one with free slots is not there."""
        free = task.box.free(task.function) >= task.slots
        self._over(task, ConnectionOutcome.NEVER_GRABBED if free else ConnectionOutcome.TURNED_AWAY)

    def _return_drained(self) -> None:
        for box in list(self.boxes.values()):
            if not self.core.workers.takes_work(box.name):
                for task in list(box.waiting):
                    self._over(task, ConnectionOutcome.TURNED_AWAY)

    def _over(self, task: Task, ending: ConnectionOutcome, written: bool = True, result: bytes = b"") -> None:
        task.box.waiting.discard(task)
        self.loop.deadlines.drop(task.timer)
        self._give_back(task)
        self.core.ended(task.attempt, End(status_of(ending, written), result, why=ending.value))
