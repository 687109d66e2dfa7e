"""Hot restart of the real program: two processes act as one dispatcher to clients, boxes and operators."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import pytest

from larchgw.dispatcher.core import AnswerKind, Attempt, End, Request
from larchgw.dispatcher.hot_restart import learned
from larchgw.dispatcher.scheduling.interface import ListKind, Member, Status
from tests.dispatcher.test_core import RELEASE, SAFE, Desk
from tests.dispatcher.test_gearman import COMPLETE, CREATED, FAIL, SUBMIT, Peer, Worker, boxes_joined
from tests.support.stand_ins import PATIENCE, ROOT, Discovery, Program, Runner, settings, until


class Platform:
    """Holds the listening socket for clients, and starts any number of processes of the program on it."""

    def __init__(self, folder: Path, *runners: Runner) -> None:
        self.folder, self.runners, self.discovery = folder, runners, Discovery()
        for runner in runners:
            self.discovery.tell(runner.name, addr=runner.address)
        self.accept = socket.create_server(("127.0.0.1", 0))
        self.programs: list[Program] = []

    def start(self, **changes: Any) -> Program:
        program = Program(self.folder, self.discovery.address, accept=self.accept, **changes)
        self.programs.append(program)
        until(lambda: program.call("readiness") == 200, "its yes")
        return program

    def upgrade(self, old: Program, **changes: Any) -> Program:
        before = len(old.logged("event=upgrade.successor"))
        new = self.start(**changes)
        until(lambda: old.logged("event=upgrade.successor")[before:], "news of the new process")
        return new


@contextmanager
def platform(folder: Path, *runners: Runner) -> Iterator[Platform]:
    held = Platform(folder, *runners)
    try:
        yield held
        for program in held.programs:
            if program.process.poll() is None:
                program.stop()
    finally:
        for program in held.programs:
            program.process.kill()
        held.accept.close()
        for server in (held.discovery, *runners):
            server.close()


def test_the_new_process_takes_the_clients_and_the_old_one_answers_what_it_has(tmp_path: Path) -> None:
    runner = Runner("s-1", lambda name: "hold" if name == "slow" else "done")
    with platform(tmp_path, runner) as held, ThreadPoolExecutor(1) as pool:
        old = held.start()
        slow = pool.submit(old.job, "slow", b"1", "/release")
        until(lambda: runner.seen)
        kept = HTTPConnection(*old.address(), timeout=PATIENCE)
        kept.request("POST", "/proof", b"2", {"X-Request-Id": "kept1", "X-Deadline-Ms": "9000"})
        assert kept.getresponse().read() == b"s-1:2"
        new = held.upgrade(old)
        assert old.call("readiness") == 503
        assert new.call("readiness") == 200
        kept.request("POST", "/proof", b"3", {"X-Request-Id": "kept2", "X-Deadline-Ms": "9000"})
        answer = kept.getresponse()  # served by the old process, which closes the connection after it
        assert (answer.read(), answer.headers["Connection"]) == (b"s-1:3", "close")
        assert [new.job(f"n{n}", b"%d" % n)[0] for n in range(8)] == [200] * 8
        assert new.stats()['answered{group="proof"}'] == 8
        old.process.terminate()
        until(lambda: old.logged("event=stop.begin"))
        runner.release.set()
        assert slow.result(PATIENCE) == (200, b"s-1:1")
        assert old.process.wait(PATIENCE) == 0
        until(lambda: new.logged("event=upgrade.over"))
        assert new.job("after", b"x") == (200, b"s-1:x")


def test_open_jobs_are_moved_and_the_old_process_leaves_before_they_end(tmp_path: Path) -> None:
    runner = Runner("s-1", lambda name: "hold" if name.startswith("slow") else "done")
    with platform(tmp_path, runner) as held, ThreadPoolExecutor(4) as pool:
        old = held.start()
        slow = [
            pool.submit(old.job, f"slow{n}", b"%d" % n, path)
            for n, path in enumerate(("/release", "/proof", "/release"))
        ]
        until(lambda: len(runner.seen) >= 2)  # the others may wait for a free slot
        with socket.create_connection(old.address(), timeout=PATIENCE) as leaves:
            leaves.sendall(
                b"POST /release HTTP/1.1\r\nX-Request-Id: slow-gone\r\nX-Deadline-Ms: 9000\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            until(lambda: old.stats()["current"] == 4)
            new = held.upgrade(old)
            old.process.terminate()
            assert old.process.wait(PATIENCE) == 0
            assert old.logged("event=upgrade.moved")
            assert new.stats()["current"] == 4
            assert not any(job.done() for job in slow)
        until(lambda: new.stats()["current"] == 3, "the client that left to be missed at the new process")
        runner.release.set()
        assert [job.result(PATIENCE) for job in slow] == [(200, b"s-1:%d" % n) for n in range(3)]
        assert all(runner.runs[b"%d" % n] == 1 for n in range(3))
        told = new.stats()
        assert told['answered{group="release"}'] == 2
        assert told['answered{group="proof"}'] == 1
        assert told["current"] == 0


def test_the_old_process_takes_clients_again_if_the_new_one_dies(tmp_path: Path) -> None:
    with platform(tmp_path, Runner("s-1")) as held:
        old = held.start()
        for _ in range(2):  # a second new process must find it, too
            new = held.upgrade(old)
            new.kill()
            until(lambda: old.call("readiness") == 200, "the old one's yes")
            assert old.job("a", b"x") == (200, b"s-1:x")


def test_a_descriptor_that_does_not_listen_is_one_line_that_names_it_and_exit_2(tmp_path: Path) -> None:
    (tmp_path / "c.json").write_text(
        json.dumps({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()})
    )
    with socket.socket() as mute:
        for fd in (str(mute.fileno()), "987", "x"):
            variables = {"PROXY_CONFIG": str(tmp_path / "c.json"), "PROXY_ACCEPT_FD": fd}
            done = subprocess.run(
                [sys.executable, "-m", "larchgw"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                pass_fds=[mute.fileno()],
                env=os.environ | variables,
                timeout=PATIENCE,
            )
            assert done.returncode == 2
            assert done.stderr.count("\n") == 1
            assert "PROXY_ACCEPT_FD" in done.stderr


def test_what_a_process_that_was_killed_left_behind_is_no_peer(tmp_path: Path) -> None:
    with platform(tmp_path, Runner("s-1")) as held:
        first = held.start()
        first.kill()
        second = held.start()
        assert not second.logged("event=upgrade")
        assert second.job("a", b"x") == (200, b"s-1:x")


def test_a_box_taken_out_at_either_process_is_out_at_both_and_back_at_both(tmp_path: Path) -> None:
    one, two = Runner("s-1"), Runner("s-2")
    with platform(tmp_path, one, two) as held:
        old = held.start()
        assert old.call("runners/down/s-1", "PUT") == 200
        new = held.upgrade(old)
        assert {new.job(f"a{n}", b"x")[1] for n in range(6)} == {b"s-2:x"}
        assert old.call("runners/up/s-1", "PUT") == 200
        until(lambda: new.stats()["cluster_unhealthy"] == 0, "the box to be back at the new process")
        assert new.call("runners/down/s-2", "PUT") == 200
        until(lambda: old.stats()["cluster_unhealthy"] == 1, "the box to be out at the old process")
        old.stop()
        seen = len(two.seen)
        assert new.stats()["cluster_unhealthy"] == 1
        assert new.job("b", b"x")[1] != b"s-2:x"
        assert len(two.seen) == seen


def test_the_id_of_a_job_open_at_the_other_process_is_not_sent(tmp_path: Path) -> None:
    runner = Runner("s-1", lambda name: "hold" if name.startswith("slow") else "done")
    with platform(tmp_path, runner) as held, ThreadPoolExecutor(1) as pool:
        old = held.start()
        slow = pool.submit(old.job, "slow", b"1", "/release")
        until(lambda: runner.seen)
        new = held.upgrade(old)
        assert new.job("slow", b"2", "/release")[0] == 500
        assert len(runner.seen) == 1
        runner.release.set()
        assert slow.result(PATIENCE) == (200, b"s-1:1")
        until(lambda: new.job("slow", b"3") == (200, b"s-1:3"), "the id to be free")


def test_a_release_by_gearman_runs_once_and_has_one_end_at_both_processes(tmp_path: Path) -> None:
    with platform(tmp_path) as held:
        held.discovery.tell("g-1")
        old = held.start(fronts=True)
        worker, first = Worker(old, b"g-1"), Peer(old)
        boxes_joined(old, 1)
        first.submit(b"release", b"ended", b"1")
        worker.send(COMPLETE, worker.grab()[0], b"made")
        assert first.expect(COMPLETE)[1] == b"made"
        first.submit(b"release", b"alive", b"2")
        task = worker.grab()[0]
        new = held.upgrade(old, fronts=True)
        other = Worker(new, b"g-1")
        boxes_joined(new, 1)
        second = Peer(new)
        second.submit(b"release", b"ended", b"1")
        assert second.expect(COMPLETE)[1] == b"made"
        second.submit(b"release", b"alive", b"2")
        worker.send(COMPLETE, task, b"made, too")
        assert first.expect(COMPLETE)[1] == second.expect(COMPLETE)[1] == b"made, too"
        first.submit(b"release", b"lost", b"3")
        worker.grab()
        second.submit(b"release", b"lost", b"3")
        old.kill()
        second.expect(FAIL)  # it may have run, and its outcome is unknown
        second.send(SUBMIT, b"release", b"lost", b"3")
        assert second.expect(CREATED)
        assert second.expect(FAIL)
        assert new.counters().get('larchgw_sent_total{transport="gearman"}', 0) == 0
        for peer in (worker, first, other, second):
            peer.close()


def test_both_processes_together_keep_to_the_limit_on_descriptors(tmp_path: Path) -> None:
    with platform(tmp_path, Runner("s-1")) as held:
        old = held.start(limits={"sockets": 192})
        first = [socket.create_connection(old.address(), timeout=PATIENCE) for _ in range(150)]
        new = held.upgrade(old, limits={"sockets": 192})
        more = [socket.create_connection(old.address(), timeout=PATIENCE) for _ in range(150)]
        assert new.job("a", b"x") == (200, b"s-1:x")
        held_by = [len(os.listdir(f"/proc/{p.process.pid}/fd")) for p in (old, new)]
        assert sum(held_by) <= 192, held_by
        for s in first + more:
            s.close()


def test_the_new_process_knows_what_the_old_one_has_learned_but_not_of_restarted_boxes() -> None:
    old, new = Desk([SAFE, RELEASE]), Desk([SAFE, RELEASE])
    for n in range(12):
        old.core.submit(Request(old, b"%d" % n, 0, b"/p", b"", 5.0, key=7))
        old.clock.time += 0.5
        old.core.ended(old.sent[-1], End(Status.OK))
    failed = old.take(b"bad").attempts[0]
    old.core.ended(failed, End(Status.ERROR))
    told = json.loads(json.dumps(learned.snapshot(old.core.dispatcher)))
    holder = next(w for w in old.core.dispatcher.workers.values() if 7 in w.held_keys)
    new.clock.time = old.clock.time
    restarted = next(w for w in old.core.dispatcher.workers if w not in (holder.id, failed.worker))
    new.core.listed(ListKind.DELTA, [Member(restarted, up_since=900.0)])
    learned.restore(new.core.dispatcher, told)
    assert learned.snapshot(new.core.dispatcher)["runs"] == told["runs"]
    bad = old.core.dispatcher.workers[failed.worker].failure_share
    assert new.core.dispatcher.workers[failed.worker].failure_share == bad > 0
    assert new.core.dispatcher.workers[restarted].slot_limit == new.core.dispatcher.fair_slots
    new.core.submit(Request(new, b"next", 0, b"/p", b"", 5.0, key=7))
    assert new.sent[-1].worker == holder.id  # it knows which worker holds the key
    with pytest.raises((KeyError, TypeError, ValueError)):
        learned.restore(new.core.dispatcher, {"runs": {}})


def test_what_the_other_process_has_at_a_box_counts_against_its_limit() -> None:
    desk = Desk([SAFE])
    desk.core.set_sibling_load({b"w%d" % n: 100.0 for n in range(1, 4)}, 1)
    for n in range(4):
        desk.take(b"%d" % n)
    assert {a.worker for a in desk.sent} == {b"w0"}
    desk.core.set_sibling_load({}, 0)
    desk.pass_time(0.5)
    assert len(desk.sent) == 4


def test_a_moved_job_counts_at_its_box_which_is_not_taken_for_slow_and_a_release_is_not_sent_again() -> None:
    desk = Desk([RELEASE])
    now, worker = desk.clock.now(), desk.core.dispatcher.workers[b"w0"]
    request = Request(desk, b"moved", 0, b"/r", b"", 25.0)
    request.attempts = [Attempt(request, 0, b"w0", desk, now - 8.0, written=True, started_at=now - 7.9)]
    limit = worker.slot_limit
    desk.core.adopt(request, now - 8.0, now + 10.0)
    desk.core.started(request.attempts[0])  # as parsed again from the bytes handed over
    assert worker.pending_slots == 1
    assert worker.slot_limit == limit
    assert not worker.avoid_until
    assert not desk.sent
    desk.core.ended(request.attempts[0], End(Status.RESET))
    assert worker.pending_slots == 0
    assert [a.kind for _, a in desk.answers] == [AnswerKind.FAILED]
    assert not desk.sent


def test_a_moved_job_that_was_turned_away_is_tried_for_what_is_left_of_its_attempts_and_time() -> None:
    desk = Desk([RELEASE])
    desk.at_once = Status.FULL
    now = desk.clock.now()
    request = Request(desk, b"moved", 0, b"/r", b"", 5.0)
    request.attempts = [
        Attempt(request, n, b"w%d" % n, desk, now - 1.0, ended=True, status=Status.FULL) for n in range(2)
    ]
    desk.core.adopt(request, now - 1.0, now + 4.0)
    desk.pass_time(4.1)
    assert len(desk.sent) <= 1
    assert [a.kind for _, a in desk.answers] == [AnswerKind.REFUSED]
    assert desk.core.open_requests() == 0
