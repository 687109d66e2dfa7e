"""The transport of one dispatcher: delays, refusals and breaks as a network would give them."""

from __future__ import annotations

from collections.abc import Mapping

from ...dispatcher.core import Attempt, Core, End
from ...dispatcher.core.requests import Reach
from ...dispatcher.scheduling.interface import Presence, Status, WorkerId
from ..box import Box, Said, Work
from ..load import Job
from ..rules import Sent
from .deployment import Deployment

OUTCOME = {Said.FULL: Status.FULL, Said.DONE: Status.OK, Said.FAILED: Status.ERROR, Said.LOST: Status.RESET}
GONE = (Presence.GONE, 0.0)
Told = dict[WorkerId, tuple[int, float]]  # of each box: its presence, and since when it is up


class Carrier:
    """Carries the attempts of one dispatcher to the boxes; `told` is what that was last told of them."""

    name = "virtual"

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        zone: int,
        core: Core,
        told: Mapping[WorkerId, tuple[int, float]],
    ) -> None:
        self._deployment, self._time = deployment, deployment.time
        self._name, self._zone, self._core, self._told = name, zone, core, told
        self._out: dict[int, tuple[Attempt, Work, Sent, Box]] = {}

    def reach(self, worker: WorkerId, job_class: int) -> Reach:
        return Reach.NOW

    def send(self, attempt: Attempt) -> None:
        deployment, request, now = self._deployment, attempt.request, self._time.now()
        box = deployment.boxes[attempt.worker]
        job: Job = request.extra
        cls = deployment.scenario.load.classes[request.job_class]
        name = request.name.decode()
        sent = Sent(name, box.spec.name, now)
        deployment.records.sent[name].append(sent)
        deployment.records.sent_by.append((self._name, box.spec.name, now))
        way = self._way(box)
        work = Work(
            name,
            job.work,
            lambda w, said: self._heard(attempt, said, way),
            request.key,
            job.slots,
            cls.priority,
            told=self._told.get(attempt.worker, GONE)[1] == box.up_since,
        )
        self._out[id(attempt)] = (attempt, work, sent, box)
        dial = 2.0 * way + 0.002 if cls.effect == "at_most_once" else 0.0  # such jobs go over new connections
        self._core.written(attempt)
        self._time.at(now + dial + way, lambda: self._arrive(attempt, work, box, way))

    def _arrive(self, attempt: Attempt, work: Work, box: Box, way: float) -> None:
        if work.over or id(attempt) not in self._out:
            return  # given up on its way: what has been closed is not begun
        if not box.up:
            self._later(way, attempt, Status.CONNECT_FAILED)
        else:
            box.offer(work)

    def _heard(self, attempt: Attempt, said: Said, way: float) -> None:
        if said is Said.STARTED:
            self._time.at(self._time.now() + way, lambda: self._started(attempt))
        elif said is not Said.PROGRESS:
            self._later(way, attempt, OUTCOME[said])

    def _started(self, attempt: Attempt) -> None:
        if id(attempt) in self._out:
            self._core.started(attempt)

    def _later(self, way: float, attempt: Attempt, status: Status) -> None:
        self._time.at(self._time.now() + way, lambda: self._ended(attempt, status))

    def _ended(self, attempt: Attempt, status: Status) -> None:
        found = self._out.pop(id(attempt), None)
        if found is None:
            return
        _, _, sent, box = found
        sent.until = self._time.now()
        sent.never_ran = status in (Status.FULL, Status.CONNECT_FAILED)
        sent.written = status != Status.CONNECT_FAILED
        report = box.report if status in (Status.OK, Status.ERROR, Status.FULL) else ()
        result = box.spec.name.encode() if status == Status.OK else b""
        self._core.ended(attempt, End(status, result, report, status.name.lower()))

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        found = self._out.pop(id(attempt), None)
        if found is not None:
            _, work, sent, box = found
            now = sent.until = self._time.now()
            self._time.at(now + self._way(box), lambda: box.cancel(work))
        return Status.TIMEOUT if late else Status.CANCELLED

    def probe(self, worker: WorkerId) -> None:
        box = self._deployment.boxes[worker]
        if box.up and not box.hung:
            self._time.at(
                self._time.now() + 2 * self._way(box),
                lambda: self._core.probed(worker, Status.OK, 0.001, box.report),
            )

    def drop_all(self) -> None:
        """The dispatcher has died: its connections break."""
        for _, work, sent, box in list(self._out.values()):
            sent.until = self._time.now()
            box.cancel(work)
        self._out.clear()

    def _way(self, box: Box) -> float:
        return self._deployment.way(self._zone, box)
