"""The Gearman front of the real program, with simulated clients and workers."""

from __future__ import annotations

import socket
import struct
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from pathlib import Path

import pytest

from larchgw.dispatcher.core import Answer, AnswerKind
from larchgw.dispatcher.fronts import gearman_jobs
from larchgw.dispatcher.scheduling.interface import JobClass, Settings
from larchgw.net.counters import Counters
from larchgw.net.timers import Clock
from tests.support.stand_ins import PATIENCE, Program, Runner, delivered, frozen, job_class, running, until

CAN_DO, CANT_DO, PRE_SLEEP, NOOP, SUBMIT, CREATED, GRAB, NO_JOB, ASSIGN = 1, 2, 4, 6, 7, 8, 9, 10, 11
STATUS, COMPLETE, FAIL, GET_STATUS, ECHO, ECHO_RES, SUBMIT_BG, ERROR, STATUS_RES = range(12, 21)
SUBMIT_HIGH, SET_ID, EXCEPTION, OPTION, OPTION_RES, DATA, WARNING, GRAB_UNIQ, ASSIGN_UNIQ = (
    21,
    22,
    25,
    26,
    27,
    28,
    29,
    30,
    31,
)


class Peer:
    """A Gearman connection of a client or a worker."""

    def __init__(self, program: Program) -> None:
        self.sock = socket.create_connection(program.address("gearman"), timeout=PATIENCE)
        self.file = self.sock.makefile("rb")

    def send(self, kind: int, *args: bytes) -> None:
        data = b"\0".join(args)
        self.sock.sendall(b"\0REQ" + struct.pack(">II", kind, len(data)) + data)

    def read(self) -> tuple[int, list[bytes]]:
        """Reads the next packet; raises ConnectionError once the connection is closed."""
        head = self.file.read(12)
        if len(head) < 12:
            raise ConnectionError("closed")
        assert head[:4] == b"\0RES"
        kind, size = struct.unpack(">II", head[4:])
        return kind, self.file.read(size).split(b"\0")

    def expect(self, *kinds: int) -> list[bytes]:
        kind, args = self.read()
        assert kind in kinds, (kind, args)
        return args

    def submit(self, function: bytes, unique: bytes, data: bytes, kind: int = SUBMIT) -> bytes:
        self.send(kind, function, unique, data)
        return self.expect(CREATED)[0]

    def ask(self, line: bytes) -> list[bytes]:
        self.sock.sendall(line + b"\n")
        lines = []
        while (got := self.file.readline().rstrip(b"\n")) != b".":
            lines.append(got)
        return lines

    def closed(self) -> bool:
        try:
            return self.file.read(1) == b""
        except OSError:
            return True

    def close(self) -> None:
        self.file.close()
        self.sock.close()


class Worker(Peer):
    """A worker connection of a box, which is one slot."""

    def __init__(self, program: Program, box: bytes, *functions: bytes) -> None:
        super().__init__(program)
        self.send(SET_ID, box)
        for function in functions or (b"proof", b"release"):
            self.send(CAN_DO, function)
        self.send(PRE_SLEEP)

    def grab(self) -> list[bytes]:
        """Sleeps until a job is available and grabs it. Returns handle, function, unique and workload."""
        while True:
            self.send(GRAB_UNIQ)
            kind, args = self.read()
            while kind == NOOP:
                kind, args = self.read()
            if kind == ASSIGN_UNIQ:
                return args
            assert kind == NO_JOB
            self.send(PRE_SLEEP)
            self.expect(NOOP)


def boxes_joined(program: Program, count: int) -> None:
    until(lambda: len(program.logged("event=gearman.box_joined")) >= count, "the boxes")


def settled(program: Program) -> dict[str, float]:
    """Returns the counters once every accepted request has been answered or cancelled by its client."""
    until(lambda: program.counters()["larchgw_open_requests"] == 0, "the last answer")
    counted = program.counters()
    taken, answered, gone = (
        sum(v for k, v in counted.items() if k.startswith(f"larchgw_{name}_total"))
        for name in ("taken", "answered", "gone")
    )
    assert taken == answered + gone, "unanswered jobs"
    assert taken > 0, "unanswered jobs"
    return counted


def served(worker: Worker, runs: Counter[bytes]) -> None:
    handle, _, _, work = worker.grab()
    runs[work] += 1
    worker.send(COMPLETE, handle, b"made:" + work)


def serve_all(worker: Worker, runs: Counter[bytes]) -> None:
    """Runs jobs until the connection closes."""
    try:
        while True:
            served(worker, runs)
    except (OSError, ValueError):
        pass


def test_one_whole_path(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        worker, client = Worker(program, b"s-1"), Peer(program)
        boxes_joined(program, 1)
        handle = client.submit(b"release", b"label-7", b"art")
        task, function, unique, work = worker.grab()
        assert (function, unique, work) == (b"release", b"label-7", b"art")
        client.send(GET_STATUS, handle)
        assert client.expect(STATUS_RES) == [handle, b"1", b"1", b"0", b"0"]
        worker.send(STATUS, task, b"1", b"2")
        worker.send(DATA, task, b"half")
        worker.send(WARNING, task, b"ink low")
        worker.send(COMPLETE, task, b"press")
        assert [client.read() for _ in range(4)] == [
            (STATUS, [handle, b"1", b"2"]),
            (DATA, [handle, b"half"]),
            (WARNING, [handle, b"ink low"]),
            (COMPLETE, [handle, b"press"]),
        ]
        client.send(GET_STATUS, handle)
        assert client.expect(STATUS_RES) == [handle, b"0", b"0", b"0", b"0"]
        counted = settled(program)
        assert counted['larchgw_answered_total{front="gearman",job_class="release",outcome="served"}'] == 1
        program.stop()


def test_a_background_job_runs_after_its_client_has_left(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        worker, client, runs = Worker(program, b"s-1"), Peer(program), Counter[bytes]()
        boxes_joined(program, 1)
        client.submit(b"proof", b"", b"art", SUBMIT_BG)
        client.close()
        served(worker, runs)
        settled(program)
        assert runs == {b"art": 1}


def test_a_foreground_job_that_nobody_waits_for_is_given_up(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        worker, client = Worker(program, b"s-1"), Peer(program)
        boxes_joined(program, 1)
        client.submit(b"release", b"u", b"art")
        worker.grab()
        client.close()
        assert worker.closed()
        again = Peer(program)  # the job may have run, so it must not run again
        again.submit(b"release", b"u", b"art")
        again.expect(FAIL)
        assert settled(program)['larchgw_sent_total{transport="gearman"}'] == 1


def test_a_foreground_job_whose_clients_end_came_with_it_is_never_sent(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, _):
        assert program.job("warm")[0] == 200
        time.sleep(0.1)  # an idle connection to the worker, on which the next job is sent at once
        with frozen(program):
            left = [Peer(program) for _ in range(4)]
            for peer in left:
                peer.send(SUBMIT, b"proof", b"", b"left")
                peer.sock.shutdown(socket.SHUT_WR)
                until(partial(delivered, peer.sock))
            stays = Peer(program)
            stays.send(SUBMIT_BG, b"proof", b"", b"background")
            stays.sock.shutdown(socket.SHUT_WR)  # this client stops waiting
        until(lambda: runner.runs[b"background"])
        assert [body for _, _, body in runner.seen] == [b"", b"background"]
        for peer in (*left, stays):
            peer.close()


def test_the_same_unique_joins_a_living_job_and_a_release_never_runs_twice(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        worker, clients, runs = Worker(program, b"s-1"), [Peer(program) for _ in range(3)], Counter[bytes]()
        boxes_joined(program, 1)
        handles = {c.submit(b"release", b"same", b"art") for c in clients}
        assert len(handles) == 1
        served(worker, runs)
        assert all(c.expect(COMPLETE)[1] == b"made:art" for c in clients)
        late = Peer(program)
        assert late.submit(b"release", b"same", b"art") in handles
        assert late.expect(COMPLETE)[1] == b"made:art"
        settled(program)
        assert runs == {b"art": 1}


def test_the_end_of_a_release_is_remembered_for_a_time_only_and_never_a_refusal() -> None:
    clock = Clock()
    settings = Settings([JobClass("r", 1, 2), JobClass("p", 1, 2, effect="idempotent")])
    jobs = gearman_jobs.Jobs(settings, clock, Counters(), 60.0)
    for number, kind in enumerate(AnswerKind):
        jobs.end(jobs.create(0, b"%d" % number, False), Answer(kind, b"x"))
        jobs.end(jobs.create(1, b"%d" % number, False), Answer(kind, b"x"))
    assert [jobs.ended(0, b"%d" % n) is not None for n in range(3)] == [True, False, True]
    assert not any(jobs.ended(1, b"%d" % n) for n in range(3))
    clock.offset += 61
    assert not any(jobs.ended(0, b"%d" % n) for n in range(3))


def test_with_no_room_to_remember_a_release_it_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gearman_jobs, "MAX_REMEMBERED", 1)
    monkeypatch.setattr(gearman_jobs, "MAX_RESULT_BYTES", 8)
    settings = Settings([JobClass("r", 1, 2), JobClass("p", 1, 2, effect="idempotent")])
    jobs = gearman_jobs.Jobs(settings, Clock(), Counters(), 60.0)
    jobs.end(jobs.create(0, b"a", False), Answer(AnswerKind.SERVED, b"nine bytes"))
    assert jobs.full(0, b"b")
    assert not jobs.full(0, b"")
    assert not jobs.full(1, b"b")
    assert jobs.ended(0, b"a") == (
        b"H:larchgw:1",
        gearman_jobs.RESULT_DROPPED,
    )  # the result has been dropped, but not the fact that it ran


def test_a_silent_worker_times_out_and_its_connection_is_closed(tmp_path: Path) -> None:
    short = [job_class("proof", "idempotent", 1.0), job_class("release", "at_most_once", 1.0)]
    with running(tmp_path, settings={"classes": short}) as (program, _):
        worker, other, client = Worker(program, b"s-1"), Worker(program, b"s-2"), Peer(program)
        boxes_joined(program, 2)
        client.send(OPTION, b"exceptions")
        assert client.expect(OPTION_RES) == [b"exceptions"]
        client.submit(b"release", b"u", b"art")
        with ThreadPoolExecutor(2) as pool:
            grabs = [pool.submit(w.grab) for w in (worker, other)]
            until(lambda: any(g.done() for g in grabs))
            holder = worker if grabs[0].done() else other
            assert client.expect(EXCEPTION)[1]
            client.expect(FAIL)
            assert holder.closed()
            for w in (worker, other):
                w.sock.shutdown(socket.SHUT_RDWR)
        counted = settled(program)
        assert counted['larchgw_sent_total{transport="gearman"}'] == 1
        assert counted['larchgw_ended_total{outcome="timeout",transport="gearman"}'] == 1


@pytest.mark.parametrize(("function", "again"), [(b"release", False), (b"proof", True)])
def test_a_worker_that_dies_after_its_job_was_assigned(tmp_path: Path, function: bytes, again: bool) -> None:
    with running(tmp_path) as (program, _):
        workers, client = [Worker(program, b"s-%d" % n) for n in range(2)], Peer(program)
        runs: Counter[bytes] = Counter()
        boxes_joined(program, 2)
        client.submit(function, b"u", b"art")
        with ThreadPoolExecutor(2) as pool:
            grabs = [pool.submit(w.grab) for w in workers]
            until(lambda: any(g.done() for g in grabs))
            dead = 0 if grabs[0].done() else 1
            runs[b"art"] += 1
            workers[dead].close()
            if again:
                task = grabs[1 - dead].result(PATIENCE)
                runs[b"art"] += 1
                workers[1 - dead].send(COMPLETE, task[0], b"made")
                assert client.expect(COMPLETE)[1] == b"made"
            else:
                client.expect(FAIL)
                workers[1 - dead].sock.shutdown(socket.SHUT_RDWR)
        settled(program)
        assert runs[b"art"] == (2 if again else 1)


def test_a_worker_that_dies_before_it_grabs_never_ran_the_release(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        lazy, client, runs = Worker(program, b"s-1"), Peer(program), Counter[bytes]()
        boxes_joined(program, 1)
        client.submit(b"release", b"u", b"art")
        lazy.expect(NOOP)
        worker = Worker(program, b"s-2")
        boxes_joined(program, 2)
        lazy.close()
        served(worker, runs)
        assert client.expect(COMPLETE)[1] == b"made:art"
        counted = settled(program)
        assert runs == {b"art": 1}
        assert counted['larchgw_sent_total{transport="gearman"}'] == 2


def test_a_slot_that_sleeps_on_does_not_keep_a_job_from_the_others(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        dead, client, runs = Worker(program, b"s-1"), Peer(program), Counter[bytes]()
        alive = Worker(program, b"s-1")
        boxes_joined(program, 1)
        until(lambda: sum(b" s-1 : proof release" in line for line in client.ask(b"workers")) == 2)
        client.submit(b"release", b"u", b"art")
        served(alive, runs)
        assert client.expect(COMPLETE)[1] == b"made:art"
        assert dead.expect(NOOP) == [b""]
        assert settled(program)['larchgw_sent_total{transport="gearman"}'] == 1


def test_a_refused_job_fails_with_the_time_to_come_back(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        polite, plain = Peer(program), Peer(program)
        polite.send(OPTION, b"exceptions")
        polite.expect(OPTION_RES)
        handles = [peer.submit(b"release", b"", b"art") for peer in (polite, plain)]  # no box is connected
        handle, reason = polite.expect(EXCEPTION)
        assert handle == handles[0]
        assert b"come back in" in reason
        assert [polite.expect(FAIL), plain.expect(FAIL)] == [[handles[0]], [handles[1]]]
        refused = 'larchgw_answered_total{front="gearman",job_class="release",outcome="refused"}'
        assert settled(program)[refused] == 2


def test_a_drained_box_gets_no_job_and_hands_back_what_waits_there(tmp_path: Path) -> None:
    with running(tmp_path) as (program, discovery):
        drained, client, runs = Worker(program, b"s-1"), Peer(program), Counter[bytes]()
        boxes_joined(program, 1)
        client.submit(b"release", b"u", b"art")
        drained.expect(NOOP)  # the task waits for this slot
        other = Worker(program, b"s-2")
        boxes_joined(program, 2)
        discovery.tell("s-1", "DRAINING")
        served(other, runs)
        assert client.expect(COMPLETE)[1] == b"made:art"
        drained.send(GRAB)
        drained.expect(NO_JOB)
        for n in range(4):
            client.submit(b"proof", b"", b"%d" % n)
            served(other, runs)
            client.expect(COMPLETE)
        settled(program)
        assert runs[b"art"] == 1


def test_http_and_gearman_compete_for_one_box(tmp_path: Path) -> None:
    box, elsewhere = Runner("s-1"), Runner("s-2")
    with running(tmp_path, box, elsewhere) as (program, _), ThreadPoolExecutor(16) as pool:
        program.ready()
        runs: Counter[bytes] = Counter()
        workers = [Worker(program, b"s-1") for _ in range(2)]
        boxes_joined(program, 1)
        for worker in workers:
            pool.submit(serve_all, worker, runs)

        def by_gearman(n: int) -> tuple[int, bytes]:
            client = Peer(program)
            client.submit(b"release", b"g%d" % n, b"g%d" % n)
            kind, args = client.read()
            client.close()
            return kind, args[-1]

        over_http = [pool.submit(program.job, f"h{n}", b"h%d" % n, "/release") for n in range(30)]
        over_gearman = [pool.submit(by_gearman, n) for n in range(30)]
        got = [f.result(PATIENCE) for f in over_http + over_gearman]
        assert {kind for kind, _ in got} <= {200, 503, COMPLETE, FAIL}
        counted = settled(program)
        for worker in workers:
            worker.sock.shutdown(socket.SHUT_RDWR)
        total = runs + box.runs + elsewhere.runs
        assert max(total.values()) == 1, "a release ran twice"
        done = [n for n, (kind, _) in enumerate(got) if kind in (200, COMPLETE)]
        assert len(done) == sum(total.values()) > 0
        assert all(counted[f'larchgw_sent_total{{transport="{t}"}}'] > 0 for t in ("gearman", "http"))
        crossed = [k for k in runs if k.startswith(b"h")]
        crossed += [k for k in box.runs + elsewhere.runs if k.startswith(b"g")]
        assert crossed, "no job went over the other protocol than its client's"


def test_urgent_jobs_are_grabbed_first(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        worker, client = Worker(program, b"s-1"), Peer(program)
        boxes_joined(program, 1)
        client.submit(b"proof", b"", b"normal")
        client.submit(b"proof", b"", b"high", SUBMIT_HIGH)
        until(lambda: program.counters().get('larchgw_sent_total{transport="gearman"}') == 2)
        assert worker.grab()[3] == b"high"


def test_a_worker_exception_is_told_with_the_end(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        worker, client = Worker(program, b"s-1"), Peer(program)
        boxes_joined(program, 1)
        client.send(OPTION, b"exceptions")
        client.expect(OPTION_RES)
        client.submit(b"release", b"", b"art")
        task = worker.grab()[0]
        worker.send(EXCEPTION, task, b"die missing")
        worker.send(FAIL, task)
        assert client.expect(EXCEPTION)[1] == b"die missing"
        client.expect(FAIL)
        worker.send(COMPLETE, task, b"too late")
        worker.expect(ERROR)
        assert settled(program)['larchgw_late_events_total{event="work_complete"}'] == 1


def send_raw(data: bytes) -> Callable[[Peer], None]:
    return lambda peer: peer.sock.sendall(data)


@pytest.mark.parametrize(
    "bad",
    [
        send_raw(b"\0BAD" + bytes(8)),
        send_raw(b"\0RES" + bytes(8)),
        send_raw(b"\0X"),
        send_raw(b"\0REQ" + struct.pack(">II", COMPLETE, 300 << 10)),
        send_raw(b"\0REQ" + struct.pack(">II", 99, 0)),
        lambda peer: peer.send(SUBMIT, b"proof"),
        lambda peer: peer.send(PRE_SLEEP, b"what"),
        lambda peer: peer.send(SUBMIT, b"proof", b"", b"x" * 65537),
        lambda peer: peer.send(SET_ID, b"two words"),
        send_raw(b"x" * 2000),
    ],
)
def test_bad_input_gets_an_error_and_a_closed_connection(tmp_path: Path, bad: Callable[[Peer], None]) -> None:
    with running(tmp_path) as (program, _):
        peer = Peer(program)
        bad(peer)
        peer.expect(ERROR)
        assert peer.closed()
        assert not any(k.startswith("larchgw_taken_total") for k in program.counters())


def test_echo_options_and_admin_text(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        peer, worker = Peer(program), Worker(program, b"s-1", b"proof")
        boxes_joined(program, 1)
        peer.send(ECHO, b"a\0b")
        assert peer.expect(ECHO_RES) == [b"a", b"b"]
        peer.send(OPTION, b"nosuch")
        peer.expect(ERROR)
        peer.send(SUBMIT, b"nosuch", b"", b"")
        peer.expect(ERROR)
        peer.submit(b"proof", b"", b"")
        assert peer.ask(b"status") == [b"proof\t1\t0\t1", b"release\t0\t0\t0"]
        assert any(line.endswith(b"127.0.0.1 s-1 : proof") for line in peer.ask(b"workers"))
        peer.sock.sendall(b"version\nshutdown\n")
        assert peer.file.readline().startswith(b"OK ")
        assert peer.file.readline().startswith(b"ERR ")
        worker.send(CANT_DO, b"proof")  # its waiting job returns to the dispatcher
        peer.expect(FAIL)


def test_sigterm_waits_for_a_gearman_job(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _):
        worker, client = Worker(program, b"s-1"), Peer(program)
        boxes_joined(program, 1)
        client.submit(b"release", b"", b"art")
        task = worker.grab()[0]
        program.process.terminate()
        until(lambda: program.logged("event=stop.begin"))
        worker.send(COMPLETE, task, b"made")
        assert client.expect(COMPLETE)[1] == b"made"
        assert program.process.wait(PATIENCE) == 0


def two_slots(program: Program, name: str, pool: ThreadPoolExecutor) -> Future[tuple[int, bytes]]:
    return pool.submit(
        program.ask,
        "POST",
        "/release",
        name.encode(),
        X_Request_Id=name,
        X_Deadline_Ms="20000",
        X_Extras="slots=2",
    )


def test_a_job_of_two_slots_keeps_a_second_connection_of_its_box_free(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _), ThreadPoolExecutor() as pool:
        one, other = Worker(program, b"s-1"), Worker(program, b"s-1")
        boxes_joined(program, 1)
        large = two_slots(program, "large", pool)
        handle, _, _, work = one.grab()
        small = pool.submit(program.job, "small", b"small")
        until(lambda: program.counters().get('larchgw_taken_total{front="platform",job_class="proof"}'))
        other.send(GRAB_UNIQ)
        answers = [other.read()[0]]
        while answers[-1] == NOOP:  # woken by the arrival of the large job
            answers.append(other.read()[0])
        assert answers[-1] == NO_JOB
        assert work == b"large"
        assert not small.done()
        other.send(PRE_SLEEP)
        one.send(COMPLETE, handle, b"made")
        assert large.result() == (200, b"made")
        served(other, Counter())
        assert small.result() == (200, b"made:small")
        settled(program)


def test_the_second_connection_works_again_when_a_large_jobs_worker_dies(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _), ThreadPoolExecutor() as pool:
        one, other = Worker(program, b"s-1"), Worker(program, b"s-1")
        boxes_joined(program, 1)
        large = two_slots(program, "large", pool)
        one.grab()
        one.close()
        assert large.result()[0] == 500, "it may have run"
        small = pool.submit(program.job, "small", b"small")
        served(other, Counter())
        assert small.result() == (200, b"made:small")
        settled(program)


def test_a_job_with_more_slots_than_any_box_has_connections_is_refused_at_once(tmp_path: Path) -> None:
    with running(tmp_path, room="[room]\n") as (program, _), ThreadPoolExecutor() as pool:
        worker = Worker(program, b"s-1")
        boxes_joined(program, 1)
        small = pool.submit(program.job, "small", b"small")
        served(worker, Counter())
        assert small.result()[0] == 200
        status, reason = two_slots(program, "large", pool).result()
        assert (status, reason) == (503, b"no box has that many slots\n")
        counted = settled(program)
        assert counted["larchgw_room_hopeless_total"] == 1.0
        assert not [k for k in counted if k.startswith("larchgw_sent_total") and counted[k] > 1.0]
        status, listed = program.ask("GET", "/room", front="ops")
        assert (status, listed) == (200, b'{"reservations": []}\n')
