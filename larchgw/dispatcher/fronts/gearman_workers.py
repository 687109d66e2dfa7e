"""Transport to workers (boxes) that use the Gearman protocol: each connection of a box is one slot."""

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


class SlotConnection(Protocol):
    """The connection of a slot."""

    def write(self, data: bytes) -> None: ...

    def written(self) -> bool: ...

    def disconnect(self) -> None: ...


class Slot:
    """One worker connection, which runs one task at a time."""

    def __init__(self, connection: SlotConnection) -> None:
        self.connection = connection
        self.box: Box | None = None
        self.client_id = b""
        self.abilities: dict[bytes, float] = {}  # time limit set by the worker, by function; 0 for none
        self.asleep = False
        self.task: Task | None = None
        self.reserved_for: Task | None = None  # job of several slots that runs on another connection

    def free(self) -> bool:
        return self.task is None and self.reserved_for is None


@dataclass(slots=True, eq=False)
class Task:
    """An attempt at a box, which waits there or runs on one of its slots."""

    attempt: Attempt
    box: Box
    function: bytes
    handle: bytes
    slots: int = 1  # connections that it occupies: it runs on one, and the others stay idle meanwhile
    slot: Slot | None = None
    has_exception: bool = False
    timer: Deadline | None = None


class Box:
    """The slots of a box, and the tasks that wait for one, in order of priority."""

    def __init__(self, name: WorkerId) -> None:
        self.name = name
        self.slots: list[Slot] = []
        self.waiting: SortedKeyList[Task] = SortedKeyList(
            key=lambda t: (-t.attempt.request.priority, t.attempt.request.id)
        )

    def able(self, function: bytes) -> list[Slot]:
        return [s for s in self.slots if function in s.abilities]

    def free(self, function: bytes) -> int:
        """Returns the number of connections that can take a job of this function now."""
        return sum(s.free() for s in self.able(function))


class GearmanWorkers:
    """Wakes sleeping slots when there is work, and assigns tasks to the slots that request them."""

    name = "gearman"

    def __init__(self, loop: Loop, core: Core, grab_wait: float) -> None:
        self.loop, self.core, self.grab_wait = loop, core, grab_wait
        self.boxes: dict[WorkerId, Box] = {}
        self._disconnected: set[WorkerId] = set()
        # Called with the number of slots of a box, or None once it has left.
        self.on_slots: Callable[[WorkerId, float | None], None] = lambda worker, slots: None
        self._names = [c.name.encode() for c in core.settings.classes]
        core.list_listeners.append(self._withdraw_from_draining)

    # Called by the core

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
            # It would wait for more connections than the box has.
            outcome = ConnectionOutcome.NO_WAY
            self.core.ended(attempt, End(status_of(outcome), why=outcome.value))
            return
        box.waiting.add(task)
        task.timer = self.loop.deadlines.add(
            self.loop.clock.now() + self.grab_wait, lambda: self._on_grab_timeout(task)
        )
        for slot in box.able(function):  # wakes all of them, because any may be dead without notice
            self._wake(slot)

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        task: Task = attempt.carrier
        self.loop.deadlines.cancel(task.timer)
        slot = task.slot
        if slot is None:
            task.box.waiting.discard(task)
            return status_of(ConnectionOutcome.NEVER_GRABBED if late else ConnectionOutcome.GIVEN_UP)
        # The protocol cannot cancel a job at a worker; closing the connection does.
        written, slot.task = slot.connection.written(), None
        self._release_reserved(task)
        self._disconnected.add(task.box.name)
        log.warning(
            "gearman.hang_up",
            box=task.box.name.decode("latin-1"),
            late=late,
            request=attempt.request.name.decode("latin-1"),
        )
        slot.connection.disconnect()
        return status_of(ConnectionOutcome.SILENT if late else ConnectionOutcome.GIVEN_UP, written)

    def probe(self, worker: WorkerId) -> None:
        """Reports whether the box is connected, as the protocol has no probe."""
        there = worker in self.boxes
        self.core.probed(worker, Status.OK if there else Status.CONNECT_FAILED, 0.0, ())

    # Called by worker connections

    def on_packet(self, slot: Slot, packet: Packet) -> None:
        kind, args = packet.type, packet.args
        if kind in ASSIGN:
            self._on_grab(slot, kind)
        elif kind is Type.PRE_SLEEP:
            slot.asleep = True
            if self._next_task(slot) is not None:
                self._wake(slot)  # a task arrived between NO_JOB and PRE_SLEEP
        elif kind in (Type.CAN_DO, Type.CAN_DO_TIMEOUT):
            slot.abilities[args[0]] = float(args[1]) if kind is Type.CAN_DO_TIMEOUT else 0.0
            self._register(slot)
        elif kind is Type.CANT_DO:
            slot.abilities.pop(args[0], None)
            self._register(slot)
        elif kind is Type.RESET_ABILITIES:
            slot.abilities.clear()
            self._register(slot)
        elif kind is Type.SET_CLIENT_ID:
            if slot.client_id != args[0]:
                self._unregister(slot)
                slot.client_id = args[0]
                self._register(slot)
        elif kind is not Type.ALL_YOURS:
            self._on_work_packet(slot, kind, args)

    def on_written(self, slot: Slot) -> None:
        """Handles that everything queued for this connection has been written, including its job."""
        if slot.task is not None:
            self.core.written(slot.task.attempt)

    def on_end(self, slot: Slot, ending: ConnectionOutcome, written: bool) -> None:
        """Handles the end of the connection."""
        task, slot.task = slot.task, None
        self._unregister(slot)
        if task is not None:
            closed = ending is ConnectionOutcome.CLOSED
            self._end_task(task, ConnectionOutcome.CUT_SHORT if closed else ending, written)

    def close(self) -> None:
        for box in list(self.boxes.values()):
            for slot in list(box.slots):
                slot.connection.disconnect()

    # Internal

    def _register(self, slot: Slot) -> None:
        """Adds the slot to its box once it has sent its client id and at least one function."""
        if slot.box is not None:
            if not slot.abilities:
                self._unregister(slot)
            return
        if not slot.abilities or not slot.client_id:
            return
        name = slot.client_id
        slot.box = self.boxes.setdefault(name, Box(name))
        slot.box.slots.append(slot)
        self.on_slots(name, float(len(slot.box.slots)))
        if len(slot.box.slots) == 1:
            log.info("gearman.box_joined", box=name.decode("latin-1"))
            self.core.worker_connected(name, restarted=name not in self._disconnected)
            self._disconnected.discard(name)

    def _unregister(self, slot: Slot) -> None:
        box, slot.box = slot.box, None
        if box is None:
            return
        box.slots.remove(slot)
        slot.reserved_for = None
        self.on_slots(box.name, float(len(box.slots)) if box.slots else None)
        if not box.slots:
            del self.boxes[box.name]
            log.info("gearman.box_left", box=box.name.decode("latin-1"))
            self.core.worker_disconnected(box.name)
        for task in [t for t in box.waiting if len(box.able(t.function)) < t.slots]:
            able = box.able(task.function)
            self._end_task(task, ConnectionOutcome.NO_WAY if able else ConnectionOutcome.NEVER_GRABBED)

    def _next_task(self, slot: Slot) -> Task | None:
        """Returns the task that this slot can be given now, if any."""
        box = slot.box
        if box is None or not slot.free() or not self.core.workers.takes_work(box.name):
            return None  # a draining box gets no new tasks, even if some wait for it
        found = next((t for t in box.waiting if t.function in slot.abilities), None)
        if found is not None and box.free(found.function) < found.slots:
            # The first task waits until enough slots are free. If later tasks could overtake it, jobs of one
            # slot would take every slot that becomes free.
            return None
        return found

    def _on_grab(self, slot: Slot, kind: Type) -> None:
        slot.asleep = False
        if slot.task is not None and slot.task.has_exception:
            task, slot.task = slot.task, None
            self._end_task(task, ConnectionOutcome.FAILED)  # WORK_EXCEPTION was its final packet for that job
        found = self._next_task(slot)
        if found is None:
            slot.connection.write(encode(Type.NO_JOB))
            return
        found.box.waiting.discard(found)
        found.slot, slot.task = slot, found
        others = (s for s in found.box.able(found.function) if s.free())
        for other in islice(others, found.slots - 1):
            other.reserved_for = found
        self.loop.deadlines.cancel(found.timer)
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
            args.append(b"")  # the reducer, only used by map-reduce jobs
        slot.connection.write(encode(ASSIGN[kind], *args, request.body))
        if slot.task is found:
            self.core.started(found.attempt)

    def _on_work_packet(self, slot: Slot, kind: Type, args: list[bytes]) -> None:
        """Handles a progress or result packet of a worker."""
        task = slot.task
        if task is None or task.handle != args[0]:
            self.core.counters.late.labels(kind.name.lower()).inc()
            slot.connection.write(encode(Type.ERROR, b"JOB_NOT_FOUND", b"this connection has no such job"))
            return
        if kind is Type.WORK_COMPLETE or kind is Type.WORK_FAIL:
            slot.task = None
            done = kind is Type.WORK_COMPLETE
            outcome = ConnectionOutcome.DONE if done else ConnectionOutcome.FAILED
            self._end_task(task, outcome, result=args[1] if done else b"")
        elif kind is Type.WORK_STATUS:
            self.core.relay_message(task.attempt, JobMessage.STATUS, args[1] + b"\0" + args[2])
            try:
                self.core.progress(task.attempt, float(args[1]) / float(args[2]))
            except (ValueError, ZeroDivisionError):
                pass  # workers may send any values; the client has received them unchanged
        else:
            task.has_exception = task.has_exception or kind is Type.WORK_EXCEPTION
            self.core.relay_message(task.attempt, NEWS[kind], args[1])

    def _wake(self, slot: Slot) -> None:
        if slot.asleep and slot.free():
            slot.asleep = False
            slot.connection.write(encode(Type.NOOP))

    def _release_reserved(self, task: Task) -> None:
        """Frees the other connections that a job of several slots has occupied."""
        for slot in task.box.slots:
            if slot.reserved_for is task:
                slot.reserved_for = None
                if task.box.waiting:
                    self._wake(slot)

    def _on_grab_timeout(self, task: Task) -> None:
        """Ends a task that no slot has grabbed in time.

        If the box has enough free slots it counts as unreachable, otherwise as full.
        """
        free = task.box.free(task.function) >= task.slots
        self._end_task(task, ConnectionOutcome.NEVER_GRABBED if free else ConnectionOutcome.TURNED_AWAY)

    def _withdraw_from_draining(self) -> None:
        for box in list(self.boxes.values()):
            if not self.core.workers.takes_work(box.name):
                for task in list(box.waiting):
                    self._end_task(task, ConnectionOutcome.TURNED_AWAY)

    def _end_task(
        self, task: Task, ending: ConnectionOutcome, written: bool = True, result: bytes = b""
    ) -> None:
        task.box.waiting.discard(task)
        self.loop.deadlines.cancel(task.timer)
        self._release_reserved(task)
        self.core.ended(task.attempt, End(status_of(ending, written), result, why=ending.value))
