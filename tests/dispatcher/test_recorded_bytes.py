"""Bytes that two processes exchange in a hot restart, and of the cordon file, against recorded ones.

The fixtures were made by running commit 0d35ed7, before names in the code were changed. What is recorded must
be read as it was, and written as it was: the process that ends and the one that takes over may differ in
version.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, cast

import pytest

from larchgw.dispatcher.cordon_file import CordonFile
from larchgw.dispatcher.core import Answer, AnswerKind, Attempt, End, Request
from larchgw.dispatcher.fronts.gearman_jobs import Jobs
from larchgw.dispatcher.fronts.platform import PlatformFront
from larchgw.dispatcher.hot_restart import learned, moving
from larchgw.dispatcher.hot_restart.handover import Handover
from larchgw.dispatcher.scheduling.interface import Status
from larchgw.dispatcher.workers.connection import RunnerConnection
from larchgw.dispatcher.workers.pool import RunnerPool
from larchgw.net.exchange import Exchange, ResponseChannel
from larchgw.net.loop import Loop
from tests.dispatcher.test_core import RELEASE, SAFE, Desk

FIXTURES = Path(__file__).parents[1] / "fixtures" / "dispatcher"
PID = 4711
CLOCK_OFFSET_S = 250.0  # of the process that wrote what is recorded
CORDONS = {b"w0": 1000.5, b"caf\xe9": 1700000000.25}
KEY = 7


def recorded(name: str) -> str:
    return (FIXTURES / name).read_text(encoding="utf-8")


def experienced_dispatcher() -> Desk:
    """A dispatcher that has served jobs, seen an error, and has one worker that does not answer."""
    desk = Desk([SAFE, RELEASE])
    desk.clock.offset = CLOCK_OFFSET_S
    desk.core.ended(desk.take(b"bad").attempts[0], End(Status.ERROR))
    desk.pass_time(6.0)
    for number in range(12):
        desk.core.submit(Request(desk, b"%d" % number, 0, b"/p", b"", 5.0, key=KEY))
        desk.clock.time += 0.5
        desk.core.ended(desk.sent[-1], End(Status.OK))
    return desk


def new_dispatcher(like: Desk) -> Desk:
    """One that knows nothing yet, at the same time."""
    desk = Desk([SAFE, RELEASE])
    desk.clock.time, desk.clock.offset = like.clock.time, like.clock.offset
    return desk


# One open job


class IdleChannel:
    """A client's connection with nothing but the one request on it."""

    def is_movable(self, exchange: Exchange) -> bool:
        return True

    def descriptor(self) -> int:
        return 11


class StartedLink(RunnerConnection):
    """A worker's connection with the begin of an answer."""

    def __init__(self) -> None:
        self.address = ("10.0.0.9", 8080)
        self.connection = self  # type: ignore[assignment]
        self.sock = self

    def movable(self) -> bool:
        return True

    def answer_so_far(self) -> bytes:
        return b"HTTP/1.1 200 OK\r\n\r\n\xff"

    def fileno(self) -> int:
        return 12


class Adopted:
    """Stands in for the platform's front and the pool of workers, and keeps what they are to go on with."""

    name = "platform"

    def __init__(self) -> None:
        self.server = self
        self.exchange: Exchange | None = None
        self.client: tuple[Any, ...] = ()
        self.worker: tuple[Any, ...] = ()

    def adopt(self, *arguments: Any) -> Exchange | None:
        if isinstance(arguments[0], Attempt):
            self.worker = arguments
            return None
        self.client = arguments
        _, method, target, keep = arguments
        self.exchange = Exchange(cast(ResponseChannel, IdleChannel()), 0.0, method, target)
        self.exchange.keep_alive = keep
        return self.exchange


def open_job(desk: Desk, has_attempt: bool) -> Request:
    """A job as the platform's front takes it, rejected by one worker, and out at another if `has_attempt`."""
    request = Request(
        desk, b"job-\xe9", 1, b"/release?x=1", b"\x00body", 4.5, key=9, slots=2.0, memory=1.5, hint=0.25,
        repeat=True, tenant=1, idempotency_key=b"once-1",
    )  # fmt: skip
    request.taken_at, request.give_up_at = 1012.0, 1016.5
    request.extra = Exchange(cast(ResponseChannel, IdleChannel()), 1012.0, b"POST", request.target)
    first = Attempt(request, 0, b"w1", desk, 1012.25, written=True, ended=True, status=Status.FULL)
    request.attempts = [first]
    if has_attempt:
        second = Attempt(request, 1, b"w2", desk, 1012.5, written=True, started_at=1012.75)
        second.carrier = StartedLink()
        request.attempts.append(second)
    return request


def job_packet(has_attempt: bool) -> str:
    desk = experienced_dispatcher()
    packed = moving.pack(open_job(desk, has_attempt), desk.core)
    assert packed is not None
    assert packed[1] == ([11, 12] if has_attempt else [11])
    return packed[0].decode()


# What the processes say over the connection between them


@contextmanager
def process(folder: Path, desk: Desk) -> Iterator[tuple[Handover, Jobs, Loop]]:
    loop = Loop(desk.clock, desk.deadlines)
    handover = Handover(loop, desk.core, str(folder), "t", lambda: None, lambda: True)
    jobs = Jobs(desk.core.settings, desk.clock, desk.core.counters, 900.0)
    handover.share("gearman", jobs)
    try:
        yield handover, jobs, loop
    finally:
        handover.close()
        loop.close()


def receive_until(loop: Loop, sock: socket.socket, last: bytes) -> str:
    """All that the process sends up to a line with these bytes."""
    sock.setblocking(False)
    received = b""
    while last not in received.rpartition(b"\n")[0]:
        loop.run_once()
        try:
            received += sock.recv(65536)
        except BlockingIOError:
            continue
    return received.decode()


def with_sorted_list(text: str) -> str:
    """The same with the workers of the greeting in order: they come in that of a set."""
    listed = json.loads(lines_only(text).splitlines()[0])["listed"]
    return text.replace(json.dumps(listed), json.dumps(sorted(listed)))


def end_jobs(jobs: Jobs, desk: Desk) -> None:
    """A job that has ended, one that failed, and one that is alive."""
    for unique, answer in (
        (b"u-1", Answer(AnswerKind.SERVED, b"made\xff")),
        (b"u-2", Answer(AnswerKind.FAILED, b"", 1.5, "it broke")),
    ):
        job = jobs.create(1, unique, background=False)
        job.request = Request(desk, unique, 1, b"/r", b"", 5.0)
        jobs.end(job, answer)
    alive = jobs.create(1, b"u-3", background=True)
    alive.request = Request(desk, b"u-3", 1, b"/r", b"", 5.0)


def names_in(folder: Path) -> list[str]:
    return sorted(path.name for path in folder.iterdir())


def elder_lines(folder: Path) -> str:
    """What the process that serves sends to one that has come up, and the socket by which it is found."""
    desk = experienced_dispatcher()
    with process(folder, desk) as (handover, jobs, loop), socket.socket(socket.AF_UNIX) as newcomer:
        end_jobs(jobs, desk)
        desk.core.ban_worker(b"w3", 1001.5)
        desk.take(b"open\xe9")
        handover.begin()
        newcomer.connect(str(folder / names_in(folder)[0]))
        text = receive_until(loop, newcomer, b'"told"')
        handover.taken_out(b"w1", 1018.5)
        handover.put_back(b"w3")
        desk.take(b"later")
        jobs.create(1, b"u-4", background=False)
        desk.core.ended(desk.sent[-1], End(Status.OK))
        desk.pass_time(0.1)
        handover.put_back(b"w1")
        text += receive_until(loop, newcomer, b'"up": "w1"')
        return with_sorted_list("\n".join([*names_in(folder), text]))


def newcomer_lines(folder: Path) -> str:
    """What a process that has come up sends to the one that serves, and its sockets' names."""
    desk = Desk([SAFE, RELEASE])
    desk.clock.offset = CLOCK_OFFSET_S
    with socket.socket(socket.AF_UNIX) as elder, process(folder, desk) as (handover, _, loop):
        elder.bind(str(folder / "larchgw-74.sock"))
        elder.listen()
        handover.begin()
        accepted, _ = elder.accept()
        with accepted:
            accepted.sendall(b'{"told": true}\n')
            loop.run_once()
            desk.pass_time(0.05)
            text = receive_until(loop, accepted, b'"serving"')
            return with_sorted_list("\n".join([*names_in(folder), text]))


def lines_only(text: str) -> bytes:
    """The messages of a recording, without the names before them."""
    return text[text.index("{") :].encode()


# The cordon file


def cordon_file(folder: Path) -> str:
    CordonFile(str(folder), "caf\xe9-1").save(CORDONS)
    (path,) = folder.iterdir()
    return f"{path.name}\n{path.read_text()}"


def recordings(folder: Path) -> dict[str, str]:
    """Everything that is recorded, by the fixture's name. `folder` is empty."""
    for name in ("elder", "newcomer", "cordons"):
        (folder / name).mkdir()
    desk = experienced_dispatcher()
    busy = experienced_dispatcher()
    busy.take(b"1")
    busy.take(b"2")
    return {
        "learned_state.json": json.dumps(learned.snapshot(desk.core.dispatcher)),
        "pending.json": json.dumps(learned.pending(busy.core.dispatcher)),
        "job_at_worker.json": job_packet(has_attempt=True),
        "job_waiting.json": job_packet(has_attempt=False),
        "elder_lines.txt": elder_lines(folder / "elder"),
        "newcomer_lines.txt": newcomer_lines(folder / "newcomer"),
        "cordons.txt": cordon_file(folder / "cordons"),
    }


@pytest.fixture
def fixed_pid(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(os, "getpid", lambda: PID)


def test_the_same_bytes_are_written(tmp_path: Path, fixed_pid: None) -> None:
    written = recordings(tmp_path)
    assert {path.name for path in FIXTURES.iterdir()} == set(written)
    for name, text in written.items():
        assert text == recorded(name), name


def test_recorded_learned_state_is_taken_over() -> None:
    old = experienced_dispatcher()
    new = new_dispatcher(old)
    state = json.loads(recorded("learned_state.json"))
    learned.restore(new.core.dispatcher, state)
    assert learned.snapshot(new.core.dispatcher) == state
    holders = {
        name for name, worker in state["workers"].items() if KEY in [key for key, *_ in worker["keys"]]
    }
    new.core.submit(Request(new, b"next", 0, b"/p", b"", 5.0, key=KEY))
    assert new.sent[-1].worker.decode() in holders


@pytest.mark.parametrize(("name", "worker"), [("job_at_worker.json", b"w2"), ("job_waiting.json", None)])
def test_a_recorded_job_goes_on_where_it_stood(name: str, worker: bytes | None) -> None:
    desk = new_dispatcher(experienced_dispatcher())
    desk.clock.offset = 260.0  # another one than the process had that wrote it
    adopted = Adopted()
    client, at_worker = socket.socketpair()
    with client, at_worker:
        moving.unpack(
            recorded(name).encode(),
            [client, at_worker],
            desk.core,
            cast(PlatformFront, adopted),
            cast(RunnerPool, adopted),
        )
    (request,) = desk.core.receive.open.values()
    assert adopted.client == (client, b"POST", b"/release?x=1", True)
    assert adopted.exchange is not None
    assert adopted.exchange.handler_data is request is not None
    assert (request.name, request.job_class, request.target) == (b"job-\xe9", 1, b"/release?x=1")
    assert (request.body, request.idempotency_key, request.tenant) == (b"\x00body", b"once-1", 1)
    assert (request.wait, request.key, request.slots) == (4.5, 9, 2.0)
    assert (request.memory, request.hint, request.repeat) == (1.5, 0.25, True)
    assert (request.taken_at, request.give_up_at) == (1022.0, 1026.5)
    first = request.attempts[0]
    assert (first.worker, first.sent_at, first.started_at) == (b"w1", 1022.25, 0)
    assert (first.status, first.ended, first.written) == (Status.FULL, True, True)
    if worker is None:
        assert adopted.worker == ()
        return
    second = request.attempts[1]
    assert (second.worker, second.sent_at, second.started_at) == (worker, 1022.5, 1022.75)
    assert (second.status, second.ended) == (None, False)
    address, answer = ("10.0.0.9", 8080), b"HTTP/1.1 200 OK\r\n\r\n\xff"
    assert adopted.worker == (second, address, at_worker, answer)


def test_recorded_lines_of_the_process_that_serves_are_understood(tmp_path: Path, fixed_pid: None) -> None:
    old = experienced_dispatcher()
    new = new_dispatcher(old)
    with socket.socket(socket.AF_UNIX) as elder, process(tmp_path, new) as (handover, jobs, loop):
        elder.bind(str(tmp_path / "larchgw-74.sock"))
        elder.listen()
        handover.begin()
        accepted, _ = elder.accept()
        with accepted:
            accepted.sendall(lines_only(recorded("elder_lines.txt")))
            loop.run_once()
            assert handover.peers[0].greeted
            assert not handover.peers[0].younger
            assert handover.peers[0].pending
            assert handover.open_elsewhere(b"open\xe9")
            assert not handover.open_elsewhere(b"other")
            assert new.core.workers.banned == {}  # w3 and w1 were taken out and put back
            assert jobs.ended(1, b"u-1") == (b"H:larchgw:1", Answer(AnswerKind.SERVED, b"made\xff"))
            assert jobs.ended(1, b"u-2") == (b"H:larchgw:2", Answer(AnswerKind.FAILED, b"", 1.5, "it broke"))
            assert jobs.elsewhere(1, b"u-3")
            assert jobs.elsewhere(1, b"u-4")
            state = learned.snapshot(new.core.dispatcher)
            hello = json.loads(lines_only(recorded("elder_lines.txt")).splitlines()[0])
            assert state["runs"] == hello["learned"]["runs"]


def test_a_recorded_cordon_in_the_greeting_is_kept(tmp_path: Path, fixed_pid: None) -> None:
    new = new_dispatcher(experienced_dispatcher())
    with socket.socket(socket.AF_UNIX) as elder, process(tmp_path, new) as (handover, _, loop):
        elder.bind(str(tmp_path / "larchgw-74.sock"))
        elder.listen()
        handover.begin()
        accepted, _ = elder.accept()
        with accepted:
            accepted.sendall(lines_only(recorded("elder_lines.txt")).splitlines(keepends=True)[0])
            loop.run_once()
            assert new.core.workers.banned == {b"w3": 1001.5}


def test_recorded_lines_of_a_process_that_has_come_up_are_understood(tmp_path: Path, fixed_pid: None) -> None:
    desk = experienced_dispatcher()
    with process(tmp_path, desk) as (handover, _, loop), socket.socket(socket.AF_UNIX) as newcomer:
        handover.begin()
        assert handover.accepting()
        newcomer.connect(str(tmp_path / names_in(tmp_path)[0]))
        newcomer.sendall(lines_only(recorded("newcomer_lines.txt")))
        while not handover.succeeded():
            loop.run_once()
        assert not handover.accepting()
        assert handover.peers[0].younger
        assert handover.peers[0].moves == f"larchgw-74.sock.{PID}.moves"


def test_a_recorded_cordon_file_is_read(tmp_path: Path) -> None:
    name, content = recorded("cordons.txt").split("\n")
    (tmp_path / name).write_text(content)
    assert CordonFile(str(tmp_path), "caf\xe9-1").load() == CORDONS
