"""A whole installation in virtual time: the real core and decisions, models of all around them."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from ..core import Answer, AnswerKind, Attempt, Core, End, Request
from ..core.requests import News, Reach
from ..interface import JobClass, ListKind, Member, Presence, Settings, Status, WorkerId
from ..room.interface import NOTHING_HELD, Room
from .box import Begun, Box, BoxSpec, Said, Work
from .fleet import KINDS, Fault, FleetSpec, draw
from .load import Job, LoadSpec, arrivals
from .rules import Records, Sent, Try
from .timeline import Virtual
from .vault import Vault

OUTCOME = {Said.FULL: Status.FULL, Said.DONE: Status.OK, Said.FAILED: Status.ERROR, Said.LOST: Status.RESET}
ANSWER = {AnswerKind.SERVED: "served", AnswerKind.REFUSED: "refused", AnswerKind.FAILED: "failed"}
KIND_NUMBERS = {kind[0]: number for number, kind in enumerate(KINDS)}
NOMINAL = {name: (slow + fast) / 2.0 for name, _, slow, fast, _, _ in KINDS}
GONE = (Presence.GONE, 0.0)
CLIENT_WAY = 0.0009  # seconds one way between clients and dispatchers
RoomMaker = Callable[[Settings], Room]


def nominal(box: Box) -> float:
    """The size that discovery gives a box: that of its kind, whatever this one can do."""
    return NOMINAL[box.spec.kind] * box.spec.cores


def no_room(settings: Settings) -> Room:
    return NOTHING_HELD


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run: who is there, what comes, and what goes wrong."""

    fleet: FleetSpec = field(default_factory=FleetSpec)
    load: LoadSpec = field(default_factory=LoadSpec)
    dispatchers: int = 3
    by_work: bool = True  # worth counts for each second of work, as at Lakeshore; else for each job
    seconds: float = 60.0
    faults: Sequence[Fault] = ()
    same_room_s: float = 0.0002  # one way
    other_room_s: float = 0.0006
    list_s: tuple[float, float] = (1.0, 4.0)  # seconds until discovery tells of a drain
    crashes: Sequence[tuple[int, float]] = ()  # dispatchers that are killed, and when
    back_s: float = 0.0  # seconds until a killed dispatcher is back, knowing nothing; 0: never
    weights_s: float = 0.0  # seconds between two lists with live weights; 0: there are none
    weights_late_s: float = 0.3  # by which such a list is older than its coming
    read_weights: bool = True  # whether dispatchers are told that weights are live
    uneven: float = 0.0  # 0: dispatchers of a zone get alike; 1: some get several times the mean


def settings_for(scenario: Scenario, zone: int, rank: int = -1) -> Settings:
    """What a dispatcher is told at its start."""
    classes = [JobClass(c.name, c.aim, c.deadline, c.worth, 0.0, c.stretch, c.effect, priority=c.priority)
               for c in scenario.load.classes]
    return Settings(
        classes, instances=scenario.dispatchers, zone=zone, zones=scenario.fleet.zones, max_attempts=3,
        can_cancel=True, can_probe=True, max_retry_after=2.0, drain_grace=1.0, cold_from=0.15, warm_up=22.0,
        tip_multiple=2.5, tip_span=3.0, worth_by_work=scenario.by_work, tells_start=True, slot_reports=2,
        queue_reports=1, fail_reports=0, fifo=scenario.fleet.order.value == "fifo", price_cross=0.027,
        price_waste=0.3, price_late=0.041, price_probe=0.004,
        live_weights=scenario.weights_s > 0 and scenario.read_weights, rank=rank)


class Carrier:
    """The transport of one dispatcher: delays, refusals and breaks as a network would give them."""

    name = "virtual"

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._d = dispatcher
        self._out: dict[int, tuple[Attempt, Work, Sent, Box]] = {}

    def reach(self, worker: WorkerId, job_class: int) -> Reach:
        return Reach.NOW

    def send(self, attempt: Attempt) -> None:
        world, request, now = self._d.world, attempt.request, self._d.world.time.now()
        box = world.boxes[attempt.worker]
        job: Job = request.extra
        cls = world.scenario.load.classes[request.job_class]
        name = request.name.decode()
        sent = Sent(name, box.spec.name, now)
        world.records.sent[name].append(sent)
        world.records.sent_by.append((self._d.name, box.spec.name, now))
        way = self._d.way(box)
        work = Work(name, job.work, lambda w, said: self._heard(attempt, said, way),
                    request.key, job.slots, cls.priority,
                    told=self._d.told.get(attempt.worker, GONE)[1] == box.up_since)
        self._out[id(attempt)] = (attempt, work, sent, box)
        dial = 2.0 * way + 0.002 if cls.effect == "unsafe" else 0.0  # such jobs go over new connections
        self._d.core.written(attempt)
        world.time.at(now + dial + way, lambda: self._arrive(attempt, work, box, way))

    def _arrive(self, attempt: Attempt, work: Work, box: Box, way: float) -> None:
        if work.over or id(attempt) not in self._out:
            return  # given up on its way: what has been closed is not begun
        if not box.up:
            self._later(way, attempt, Status.CONNECT_FAILED)
        else:
            box.offer(work)

    def _heard(self, attempt: Attempt, said: Said, way: float) -> None:
        time = self._d.world.time
        if said is Said.STARTED:
            time.at(time.now() + way, lambda: self._started(attempt))
        elif said is not Said.PROGRESS:
            self._later(way, attempt, OUTCOME[said])

    def _started(self, attempt: Attempt) -> None:
        if id(attempt) in self._out:
            self._d.core.started(attempt)

    def _later(self, way: float, attempt: Attempt, status: Status) -> None:
        time = self._d.world.time
        time.at(time.now() + way, lambda: self._ended(attempt, status))

    def _ended(self, attempt: Attempt, status: Status) -> None:
        found = self._out.pop(id(attempt), None)
        if found is None:
            return
        _, _, sent, box = found
        sent.until = self._d.world.time.now()
        sent.never_ran = status in (Status.FULL, Status.CONNECT_FAILED)
        sent.written = status != Status.CONNECT_FAILED
        report = box.report if status in (Status.OK, Status.ERROR, Status.FULL) else ()
        result = box.spec.name.encode() if status == Status.OK else b""
        self._d.core.ended(attempt, End(status, result, report, status.name.lower()))

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        found = self._out.pop(id(attempt), None)
        if found is not None:
            _, work, sent, box = found
            time = self._d.world.time
            sent.until = time.now()
            time.at(time.now() + self._d.way(box), lambda: box.cancel(work))
        return Status.TIMEOUT if late else Status.CANCELLED

    def probe(self, worker: WorkerId) -> None:
        world = self._d.world
        box = world.boxes[worker]
        if box.up and not box.hung:
            world.time.at(world.time.now() + 2 * self._d.way(box),
                          lambda: self._d.core.probed(worker, Status.OK, 0.001, box.report))

    def drop_all(self) -> None:
        """The dispatcher has died: its connections break."""
        for _, work, sent, box in list(self._out.values()):
            sent.until = self._d.world.time.now()
            box.cancel(work)
        self._out.clear()


class Dispatcher:
    """One dispatcher: the real core, told of time, boxes and jobs by models. It is its own front."""

    def __init__(self, world: World, index: int, room: RoomMaker) -> None:
        self.world, self.index, self.name = world, index, f"n{index + 1}"
        self.zone = index % world.scenario.fleet.zones
        self.alive = True
        settings = settings_for(world.scenario, self.zone, index)
        self.room = room(settings)
        self.core = Core(settings, world.seed * 1000 + index, world.time, world.time.deadlines,
                         1 << 20, 1 << 30, self.room)
        self.carrier = Carrier(self)
        self.core.add_transport(self.carrier)
        # What it was last told of each box: a list with new weights brings no later news of anything else.
        self.told = {name: (Presence.DRAINING if box.draining else Presence.READY, box.up_since)
                     for name, box in world.boxes.items() if box.up}
        self.core.listed(ListKind.FULL, [world.member(world.boxes[name], presence)
                                         for name, (presence, _) in self.told.items()])

    def way(self, box: Box) -> float:
        """Seconds one way to a box."""
        here = box.spec.zone == self.zone
        return self.world.scenario.same_room_s if here else self.world.scenario.other_room_s

    def answer(self, request: Request, answer: Answer) -> None:
        if self.alive:
            time = self.world.time
            time.at(time.now() + CLIENT_WAY, lambda: self.world.answered(request, answer))

    def news(self, request: Request, kind: News, data: bytes) -> None:
        """The clients here hear of ends only."""

    def die(self) -> None:
        self.alive = False
        self.carrier.drop_all()


class World:
    """A scenario under one seed, run to its end. The same seed gives the same records."""

    def __init__(self, scenario: Scenario, seed: int, room: RoomMaker = no_room) -> None:
        self.scenario, self.seed = scenario, seed
        self.time = Virtual()
        self.records = Records()
        self._random = random.Random(seed * 7 + 3)
        specs = draw(scenario.fleet, seed)
        self.vault = Vault(self.time, scenario.fleet.lanes(scenario.load.rate), scenario.fleet.fetch_s)
        self.boxes: dict[WorkerId, Box] = {}
        for index, spec in enumerate(specs):
            self.boxes[spec.name.encode()] = Box(self.time, spec, self.vault, seed * 100 + index, self._began)
        self.records.boxes += self.boxes.values()
        self.jobs = arrivals(scenario.load, self.time.now() + 1.0, scenario.seconds, scenario.fleet.zones,
                             seed)
        self._by_try: dict[str, tuple[Job, Dispatcher, Request]] = {}
        self._room = room
        self._weights: dict[WorkerId, float] = {}  # as the last list had them
        self.dispatchers = [Dispatcher(self, i, room) for i in range(scenario.dispatchers)]
        dice = random.Random(seed * 31 + 7)
        self._crowds = [dice.paretovariate(1.5) ** scenario.uneven for _ in self.dispatchers]
        if scenario.weights_s:
            self.time.at(self.time.now() + scenario.weights_s, self._weigh)
        for fault in scenario.faults:
            self.time.at(self.time.now() + 1.0 + fault.at, lambda fault=fault: self._strike(fault))  # type: ignore[misc]
        for index, at in scenario.crashes:
            self.time.at(self.time.now() + 1.0 + at, lambda index=index: self._kill(index))  # type: ignore[misc]

    def run(self) -> None:
        """Until every job has its end."""
        self._next_arrival(0)
        longest = max(c.deadline for c in self.scenario.load.classes)
        self.time.run(self.time.now() + 1.0 + self.scenario.seconds
                      + (1 + self.scenario.load.retries) * (longest + 3.0))

    def member(self, box: Box, presence: Presence = Presence.READY) -> Member:
        spec = box.spec
        return Member(spec.name.encode(), presence, box.up_since, KIND_NUMBERS[spec.kind], spec.zone,
                      size=self._weights.get(spec.name.encode(), nominal(box)))

    def _weigh(self) -> None:
        """Discovery takes the weights of all boxes, and everybody is told of those that have changed."""
        changed = []
        for name, box in self.boxes.items():
            held = len(box.waiting) + len(box.inside)
            weight = nominal(box) / (1.0 + held / box.spec.cores)
            if weight != self._weights.get(name, 0.0):
                self._weights[name] = weight
                changed.append(box)
        now = self.time.now()
        listed = [self.member(box) for box in changed]
        self.time.at(now + self.scenario.weights_late_s, lambda: self._tell_weights(listed))
        self.time.at(now + self.scenario.weights_s, self._weigh)

    def _tell_weights(self, listed: Sequence[Member]) -> None:
        for dispatcher in self.dispatchers:
            if dispatcher.alive:
                told = dispatcher.told
                dispatcher.core.listed(ListKind.DELTA, [
                    replace(m, presence=told[m.worker][0], up_since=told[m.worker][1]) for m in listed
                    if told.get(m.worker, GONE)[0] != Presence.GONE])

    # Clients

    def _next_arrival(self, index: int) -> None:
        if index < len(self.jobs):
            job = self.jobs[index]

            def due() -> None:
                self._ask(job)
                self._next_arrival(index + 1)

            self.time.at(job.due, due)

    def _ask(self, job: Job) -> None:
        alive = [d for d in self.dispatchers if d.alive]
        if not alive:
            job.ended = job.ended or "gave up"
            return
        near = [d for d in alive if d.zone == job.zone] or alive
        if self.scenario.uneven:
            dispatcher = self._random.choices(near, [self._crowds[d.index] for d in near])[0]
        else:
            dispatcher = near[self._random.randrange(len(near))]
        cls = self.scenario.load.classes[job.job_class]
        name = f"{job.number:x}-{len(job.tries)}"
        now = self.time.now()
        request = Request(dispatcher, name.encode(), job.job_class, b"/" + cls.name.encode(), b"",
                          cls.deadline - CLIENT_WAY, job.key, float(job.slots), repeat=bool(job.tries),
                          extra=job)
        job.tries.append(name)
        self.records.tries[name] = Try(name, cls.effect == "unsafe", now, now + cls.deadline)
        self._by_try[name] = (job, dispatcher, request)
        self.time.at(now + CLIENT_WAY, lambda: self._take(dispatcher, request))
        self.time.at(now + cls.deadline, lambda: self._give_up(name))

    def _take(self, dispatcher: Dispatcher, request: Request) -> None:
        if dispatcher.alive:
            dispatcher.core.take(request)
        else:
            self._lost(request.name.decode())

    def answered(self, request: Request, answer: Answer) -> None:
        """A final answer has come to its client."""
        name, now = request.name.decode(), self.time.now()
        self.records.tries[name].answers.append((now, ANSWER[answer.kind]))
        job: Job = request.extra
        if job.ended == "served" or name != job.tries[-1]:
            return
        job.ended = ANSWER[answer.kind]
        if answer.kind is AnswerKind.SERVED:
            job.served_at = now
        elif len(job.tries) <= self.scenario.load.retries and answer.kind is AnswerKind.REFUSED:
            wait = max(answer.retry_after, self.scenario.load.backoff_s * self._random.uniform(0.5, 1.5))
            self.time.at(now + wait, lambda: self._ask(job))

    def _give_up(self, name: str) -> None:
        known = self._by_try.pop(name, None)
        if known is None or self.records.tries[name].answers:
            return
        job, dispatcher, request = known
        self.records.tries[name].left = self.time.now()
        job.ended = job.ended or "gave up"
        if dispatcher.alive:
            dispatcher.core.gone(request)

    def _lost(self, name: str) -> None:
        """A dispatcher died with this request, and its client's connection broke."""
        known = self._by_try.pop(name, None)
        if known is None:
            return  # it was on its way when its dispatcher died, and has been counted
        job = known[0]
        self.records.tries[name].excused = True
        if len(job.tries) <= self.scenario.load.retries and not self.records.tries[name].unsafe:
            self.time.at(self.time.now() + self.scenario.load.backoff_s, lambda: self._ask(job))
        else:
            job.ended = "failed"

    def _kill(self, index: int) -> None:
        dispatcher = self.dispatchers[index]
        dispatcher.die()
        if self.scenario.back_s:
            self.time.at(self.time.now() + self.scenario.back_s, lambda: self._return(index))
        for name, (_, owner, request) in list(self._by_try.items()):
            if owner is dispatcher and not request.over():
                self._lost(name)

    def _return(self, index: int) -> None:
        """A killed dispatcher is back under its name, with nothing that it knew."""
        back = self.dispatchers[index] = Dispatcher(self, index, self._room)
        for worker, (presence, _) in back.told.items():
            if presence == Presence.READY:
                self.records.ready_told(back.name, worker.decode(), self.time.now())

    def _began(self, begun: Begun) -> None:
        self.records.begun[begun.request].append(begun)
        known = self._by_try.get(begun.request)
        if known is not None and not known[0].began_at:
            known[0].began_at = begun.at

    # Faults

    def _strike(self, fault: Fault) -> None:
        box = list(self.boxes.values())[fault.box % len(self.boxes)]
        until = self.time.now() + fault.seconds
        if fault.what == "slow":
            box.set_slow(fault.size)
            self.time.at(until, lambda: box.set_slow(1.0))
        elif fault.what == "hang":
            box.set_hung(True)
            self.time.at(until, lambda: box.set_hung(False))
        elif fault.what == "fail":
            box.fail_share = fault.size
            self.time.at(until, lambda: setattr(box, "fail_share", 0.0))
        elif fault.what == "cut":
            box.cut()
        elif fault.what in ("drain", "deploy"):
            self._tell(box, Presence.DRAINING)
            self.time.at(self.time.now() + 0.5, box.drain)
            if fault.what == "deploy":
                self.time.at(until, lambda: self._restart(box))
        else:
            box.crash()
            self._tell(box, Presence.GONE)
            self.time.at(until, lambda: self._restart(box))

    def _restart(self, box: Box) -> None:
        if box.up:
            box.crash()
        box.start()
        self._tell(box, Presence.READY)

    def _tell(self, box: Box, presence: Presence) -> None:
        for dispatcher in self.dispatchers:
            late = self._random.uniform(*self.scenario.list_s)
            self.time.at(self.time.now() + late,
                         lambda d=dispatcher: self._told(d, box, presence))  # type: ignore[misc]

    def _told(self, dispatcher: Dispatcher, box: Box, presence: Presence) -> None:
        if not dispatcher.alive:
            return
        now, name = self.time.now(), box.spec.name
        dispatcher.told[name.encode()] = (presence, box.up_since)
        if presence == Presence.READY:
            self.records.ready_told(dispatcher.name, name, now)
        else:
            self.records.drain_told(dispatcher.name, name, now)
        dispatcher.core.listed(ListKind.DELTA, [self.member(box, presence)])


def summary(world: World) -> dict[str, float]:
    """Figures of a run, by name: worth in time over worth asked, by class, and the shares of large jobs."""
    classes = world.scenario.load.classes
    asked: dict[str, float] = {}
    served: dict[str, float] = {}
    counts: dict[str, list[int]] = {}
    waits: dict[str, float] = {}
    for job in world.jobs:
        cls = classes[job.job_class]
        worth = cls.worth * (job.work * job.slots if world.scenario.by_work else 1.0)
        for name in ("all", cls.name):
            asked[name] = asked.get(name, 0.0) + worth
            served[name] = served.get(name, 0.0) + worth * job.in_time()
        for name in (cls.name, f"{cls.name}_{'large' if job.slots > 1 else 'small'}",
                     "large" if job.slots > 1 else "small"):
            tally = counts.setdefault(name, [0, 0])
            tally[0] += 1
            tally[1] += job.in_time()
        if job.began_at:
            waits[cls.name] = max(waits.get(cls.name, 0.0), job.began_at - job.due)
    figures = {f"worth_{n}": served[n] / a for n, a in asked.items() if a}
    figures |= {f"in_time_{n}": good / total for n, (total, good) in counts.items()}
    figures |= {f"longest_wait_{n}": w for n, w in waits.items()}
    figures["given_up"] = float(sum(job.ended == "gave up" for job in world.jobs))
    figures["refused"] = float(sum(job.ended == "refused" for job in world.jobs))
    figures["failed"] = float(sum(job.ended == "failed" for job in world.jobs))
    figures["jobs"] = float(len(world.jobs))
    figures["events"] = float(world.time.events)
    return figures


__all__ = ["BoxSpec", "Scenario", "World", "no_room", "settings_for", "summary"]
