"""The parts of a turn, each alone: whose news comes first, how long a silent watch is believed."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from larchgw.dispatcher.assembly import ASK_FIRST, Node
from larchgw.dispatcher.config.startup import Config, read
from larchgw.dispatcher.core import Core
from larchgw.dispatcher.scheduling.interface import JobClass, Settings, Status
from larchgw.dispatcher.workers import discovery as net_discovery
from larchgw.dispatcher.workers.connection import RunnerLink
from larchgw.dispatcher.workers.pool import Runners
from larchgw.net import client_connection
from larchgw.net.connection_outcome import ConnectionOutcome
from larchgw.net.http_server import Exchange, HttpServer
from larchgw.net.listener import Listener
from larchgw.net.loop import CLIENTS, FIRST, NEWCOMERS, READ, WORKERS, Loop
from larchgw.net.timers import Clock, Deadlines
from tests.support.stand_ins import delivered, settings, until


def turn_until(loop: Loop, condition: Callable[[], Any]) -> None:
    """Turns the loop until the condition holds."""

    def turned() -> Any:
        loop.turn()
        return condition()

    until(turned)


def test_a_turn_hears_lists_and_clients_before_workers_and_newcomers() -> None:
    """A worker's answer frees a slot: whoever gets it must be there, and the worker in service."""
    loop = Loop(Clock(), Deadlines())
    heard: list[int] = []
    pairs = []

    def hear(rank: int, ours: socket.socket) -> Callable[[int], None]:
        def ready(mask: int) -> None:
            heard.append(rank)
            ours.recv(1)

        return ready

    for rank in (NEWCOMERS, WORKERS, CLIENTS, FIRST):
        ours, theirs = socket.socketpair()
        pairs += [ours, theirs]
        loop.watch(ours, READ, hear(rank, ours), rank)
        theirs.send(b"x")
    loop.turn()
    for sock in pairs:
        loop.forget(sock)
        sock.close()
    loop.close()
    assert heard == [FIRST, CLIENTS, WORKERS, NEWCOMERS]


def test_what_one_loop_was_told_of_its_listeners_is_not_every_loops() -> None:
    shared, alone = Loop(Clock(), Deadlines()), Loop(Clock(), Deadlines())
    shared.reuse_port = True
    core = Core(Settings([JobClass("proof", 4.0, 10.0)]), 1, Clock(), Deadlines())
    listeners = [
        Listener(loop, core.counters, "x", ("127.0.0.1", 0), 4, lambda s: None, lambda: 0, lambda: False)
        for loop in (shared, alone)
    ]
    asked = [x.sock.getsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT) for x in listeners]
    for listener, loop in zip(listeners, (shared, alone), strict=True):
        listener.close()
        loop.close()
    assert asked == [1, 0]


# A watch that falls silent


class Wire:
    """Stands where connections to discovery stand: notes each call and when it was made."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.calls: list[tuple[float, str, Any]] = []

    def connect(self, loop: Any, address: Any, owner: Any, *rank: int) -> Any:
        def write(data: bytes) -> None:
            self.calls.append((self.now(), data.decode().split()[1], owner))

        return SimpleNamespace(write=write, close=lambda: None)


def answered(owner: Any, version: int) -> None:
    body = json.dumps({"version": version, "full": True, "servers": []}).encode()
    owner.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


@pytest.mark.parametrize(("pushed", "silent"), [(True, 1), (True, 2), (True, 3), (False, 1)])
@pytest.mark.parametrize("seed", range(5))
def test_what_a_silent_watch_misses_is_asked_for_before_it_counts_as_told(
    monkeypatch: pytest.MonkeyPatch, pushed: bool, silent: int, seed: int
) -> None:
    """It counts 6 s after the silence began, or 2 s after the call's wait, if that is later.

    Pushed lists cost nothing, so further calls may fall silent, too; where all ask one service, the next
    call after a silent one is answered in its turn.
    """
    now = 100.0
    clock, deadlines = SimpleNamespace(now=lambda: now), Deadlines()
    told = Settings([JobClass("proof", 1.0, 5.0)], instances=4, must_subscribe=not pushed)
    core = Core(told, seed, clock, deadlines)  # type: ignore[arg-type]
    wire = Wire(lambda: now)
    monkeypatch.setattr(net_discovery, "connect", wire.connect)
    watched = net_discovery.Discovery(
        SimpleNamespace(clock=clock, deadlines=deadlines),  # type: ignore[arg-type]
        core,
        ("127.0.0.1", 1),
        net_discovery.ListReader({}),
        lambda worker, address: None,
        seed,
    )
    watched.start()
    answered(wire.calls[-1][2], 1)
    fell = now  # the watch that goes out now hears nothing
    path = wire.calls[-1][1]
    wait = float(path.split("wait_ms=")[1]) / 1000.0
    before = len(wire.calls)
    while len(wire.calls) < before + silent:
        due = deadlines.next()
        assert due is not None
        now = max(now, due)
        deadlines.sweep(now)
    answered(wire.calls[-1][2], 2)
    assert watched.version == 2
    assert now - fell <= max(6.0, wait + 2.0) - 0.5  # half a second is left for the answer and its way


@pytest.mark.parametrize("pushed", [True, False])
def test_ready_waits_for_what_the_agent_holds_but_not_for_one_that_is_silent(pushed: bool) -> None:
    """What the agent holds counts as told from our first moment; the list from before may be older."""
    known = {
        "version": 1,
        "full": True,
        "servers": [{"id": "s-1", "addr": "127.0.0.1:1", "zone": "a", "kind": "m", "state": "SERVING"}],
    }
    node = Node(_config(known=known, settings=settings(registryMode="automatic" if pushed else "subscribe")))
    begun = node.loop.clock.now()
    node.loop.clock.now = lambda: begun + 0.01  # type: ignore[method-assign]
    assert node.ready() is not pushed
    node.loop.clock.now = lambda: begun + ASK_FIRST + 0.1  # type: ignore[method-assign]
    assert node.ready()
    node.loop.clock.now = lambda: begun + 0.01  # type: ignore[method-assign]
    node.discovery.asked = True
    assert node.ready()
    node.close()


def _config(**changes: Any) -> Config:
    told = {"discovery": "127.0.0.1:1", "seed": "1", "settings": settings()}
    return read(told | changes, need_listen=False)


# A client's connection that is to end


class Told:
    """A handler that answers each request at once, unless it is told to hold them."""

    name = "told"

    def __init__(self) -> None:
        self.heard: list[bytes] = []
        self.hold = False
        self.held: list[Exchange] = []

    def on_exchange(self, exchange: Exchange) -> None:
        self.heard.append(exchange.target)
        if self.hold:
            self.held.append(exchange)
        else:
            exchange.reply(200, b"made " + exchange.target)

    def on_client_gone(self, exchange: Exchange) -> None:
        pass


@pytest.fixture
def served() -> Any:
    loop, handler = Loop(Clock(), Deadlines()), Told()
    core = Core(Settings([JobClass("proof", 4.0, 10.0)]), 1, loop.clock, loop.deadlines)
    server = HttpServer(loop, core.counters, ("127.0.0.1", 0), handler, 8, 1 << 20)
    sock = socket.create_connection(server.listener.address, timeout=20)
    sock.sendall(b"GET /1 HTTP/1.1\r\n\r\n")
    turn_until(loop, lambda: handler.heard)
    assert sock.recv(4096).endswith(b"made /1")
    yield loop, server, handler, sock
    sock.close()
    for link in list(server.connections):
        link.connection.close()
    server.listener.close()
    loop.close()


def send(sock: socket.socket, text: bytes) -> None:
    sock.sendall(text)
    until(lambda: delivered(sock))


@pytest.mark.parametrize("end", ["stop", "idle", "crowd"])
def test_a_request_that_lies_unread_when_its_connection_is_to_end_is_answered(served: Any, end: str) -> None:
    loop, server, handler, sock = served
    send(sock, b"GET /2 HTTP/1.1\r\n\r\n")
    link = next(iter(server.connections))
    if end == "stop":
        server.close_idle()
    elif end == "idle":
        link._expire(ConnectionOutcome.IDLE)
    else:
        server.resize(0, 1 << 20)
    assert sock.recv(4096).endswith(b"made /2")
    assert handler.heard == [b"/1", b"/2"]


def test_where_the_oldest_has_just_asked_the_next_one_makes_room(served: Any) -> None:
    """Else the newcomer, and all behind it, waited for the listener's pause at each such moment."""
    loop, server, handler, sock = served
    with socket.create_connection(server.listener.address, timeout=20) as second:
        send(second, b"GET /a HTTP/1.1\r\n\r\n")
        turn_until(loop, lambda: b"/a" in handler.heard)
        assert second.recv(4096).endswith(b"made /a")
        handler.hold = True
        send(sock, b"GET /2 HTTP/1.1\r\n\r\n")
        server.resize(1, 1 << 20)
        assert second.recv(4096) == b""
        assert len(server.connections) == 1
        handler.held[0].reply(200, b"made /2")
        assert sock.recv(4096).endswith(b"made /2")


@pytest.mark.parametrize("later", ["linger", "at once"])
def test_what_comes_after_the_shutdown_is_not_handled_and_takes_no_answer_with_it(
    served: Any, later: str
) -> None:
    """A close over unread bytes resets the connection, and the reset takes along what was not read yet."""
    loop, server, handler, sock = served
    handler.hold = True
    send(sock, b"GET /2 HTTP/1.1\r\n\r\n")
    turn_until(loop, lambda: handler.held)
    link = next(iter(server.connections))
    handler.held[0].keep_alive = False
    handler.held[0].reply(200, b"x" * 50_000)
    send(sock, b"GET /3 HTTP/1.1\r\n\r\n" * 3)
    if later == "linger":
        loop.turn()
    else:
        link.connection.close()
    got = b"".join(iter(lambda: sock.recv(65536), b""))  # an end in order, no reset
    assert got.endswith(b"x" * 50_000)
    assert handler.heard == [b"/1", b"/2"]


def test_a_client_that_is_not_read_is_looked_at_for_its_end_every_tenth_of_a_second() -> None:
    # what waits on its connection may be sent on up to 0.3 s after its end
    assert client_connection.LOOK_S <= 0.15


# A probe that hears what was meant for a job


@pytest.mark.parametrize("body", [b'{"id":"a","state":"done","result":"x"}\n', b"util=0.1,x0=5"])
def test_a_late_second_answer_is_no_report(body: bytes) -> None:
    probed: list[Any] = []
    core = SimpleNamespace(list_listeners=[], probed=lambda *told: probed.append(told))
    told = {"report": {"via": "pull", "fields": ["busy", "x0"]}, "allowed": {}}
    loop = Loop(Clock(), Deadlines())
    pool = Runners(loop, core, told, 8)  # type: ignore[arg-type]
    ours, theirs = socket.socketpair()
    link = RunnerLink(pool, b"s-1", ("127.0.0.1", 1), ours)
    pool.links.add(link)
    link.begin_probe()
    link.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    link.close()
    theirs.close()
    loop.close()
    assert len(probed) == 1
    assert probed[0][1] == (Status.RESET if b"state" in body else Status.OK)
    assert b"state" in body or probed[0][3] == [0.1, 5.0]
