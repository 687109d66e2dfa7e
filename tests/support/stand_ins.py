"""Stand-ins for what the program talks to, and the program itself as a process."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPResponse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
PATIENCE = 20.0  # for a condition; nothing is measured by it


def job_class(name: str, effect: str, deadline: float) -> dict[str, Any]:
    return {"name": name, "aim": 4.0, "deadline": deadline, "effect": effect, "points": 1.0}


def settings(**changes: Any) -> dict[str, Any]:
    classes = [job_class("proof", "idempotent", 10.0), job_class("release", "at_most_once", 25.0)]
    return {
        "requestClasses": changes.pop("classes", classes),
        "nInstances": 1,
        "areas": ["a"],
        "shapes": ["m"],
        "allowed": {
            "cancel": True,
            "maxAttempts": 3,
            "dialTimeout": 0.25,
            "idleClose": 15.0,
            "retryAfter": True,
            "maxRetryAfter": 2.0,
        },
        "familyInfo": {"tellsStart": True, "classStretch": [2.0, 2.0]},
        "obligations": {"coldFrom": 0.2, "warmUp": 20.0, "drainGrace": 1.0, "tipMultiple": 2.5, "fall": 3.0},
        "report": {"via": "piggyback", "fields": ["fail_rate", "q", "x0"]},
    } | changes


def until(condition: Callable[[], Any], what: str = "it") -> Any:
    """Waits for a condition and returns what it gave."""
    end = time.monotonic() + PATIENCE
    while not (found := condition()):
        assert time.monotonic() < end, f"waited in vain for {what}"
        time.sleep(0.01)
    return found


class Server:
    """An HTTP server on an ephemeral port, a thread a connection."""

    def __init__(self, handler: type[BaseHTTPRequestHandler]) -> None:
        self.http = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        self.http.daemon_threads = True
        self.http.handle_error = lambda *a: None  # type: ignore[method-assign]  # peers leave as they like
        self.http.owner = self  # type: ignore[attr-defined]
        self.address = f"127.0.0.1:{self.http.server_address[1]}"
        threading.Thread(target=self.http.serve_forever, args=(0.02,), daemon=True).start()

    def close(self) -> None:
        self.http.shutdown()
        self.http.server_close()


class Quiet(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args: Any) -> None:
        pass


class DiscoveryHandler(Quiet):
    def do_GET(self) -> None:
        owner: Discovery = self.server.owner  # type: ignore[attr-defined]
        owner.paths.append(self.path)
        if owner.overbooked:
            owner.overbooked -= 1
            self.send_response(503)
            self.send_header("Content-Length", "0")
            self.end_headers()
            return
        if owner.bad:
            owner.asked += 1
            self.send_response(200)
            self.send_header("Content-Length", "2")
            self.end_headers()
            self.wfile.write(b"[]")
            return
        with owner.changed:
            owner.asked += 1
            watch = "after=" in self.path
            after = int(self.path.split("after=")[1].split("&")[0]) if watch else 0
            wait = float(self.path.split("wait_ms=")[1]) / 1000.0 if watch else 0.0
            owner.changed.wait_for(lambda: owner.version != after or owner.mute, wait)
            mute, owner.mute = watch and wait > 0 and owner.mute, owner.mute and not (watch and wait > 0)
            news = {"version": owner.version, "full": True, "servers": list(owner.boxes.values())}
        if mute:  # this call never hears of anything; those that come later do
            owner.muted.wait(PATIENCE)
            return
        body = json.dumps(news).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        owner.told += 1


class Discovery(Server):
    def __init__(self) -> None:
        self.version, self.asked, self.bad = 1, 0, False
        self.told = 0  # lists that it has sent
        self.mute, self.muted = False, threading.Event()
        self.overbooked = 0  # calls that it has no turn for
        self.paths: list[str] = []
        self.boxes: dict[str, dict[str, Any]] = {}
        self.changed = threading.Condition()
        super().__init__(DiscoveryHandler)

    def tell(self, box: str, state: str = "SERVING", addr: str = "") -> None:
        with self.changed:
            self.version += 1
            self.boxes[box] = {
                "id": box,
                "addr": addr,
                "zone": "a",
                "kind": "m",
                "cell": 0,
                "state": state,
                "weight": 1.0,
                "started_ms": 0,
            }
            self.changed.notify_all()


class RunnerHandler(Quiet):
    def setup(self) -> None:
        super().setup()
        self.server.owner.opened += 1  # type: ignore[attr-defined]

    def finish(self) -> None:
        super().finish()
        self.server.owner.closed += 1  # type: ignore[attr-defined]

    def do_GET(self) -> None:
        owner: Runner = self.server.owner  # type: ignore[attr-defined]
        owner.probes.append(self.path)
        self.send_response(200 if owner.report else 503)
        self.send_header("Content-Length", str(len(owner.report)))
        self.end_headers()
        self.wfile.write(owner.report)

    def do_POST(self) -> None:
        owner: Runner = self.server.owner  # type: ignore[attr-defined]
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.asked = getattr(self, "asked", 0) + 1  # on this connection
        name = self.headers["X-Request-Id"]
        owner.seen.append((name, self.path, body))
        owner.headers.append({k.lower(): v for k, v in self.headers.items()})
        owner.runs[body] += 1
        how = owner.how(name) if callable(owner.how) else owner.how
        self.close_connection = how in ("cut", "reset", "hang")
        if how == "full":
            self.send_response(503)
            self.send_header("X-Not-Run", "1 \t")
            self.send_header("Content-Length", "0")
            self.end_headers()
            return
        if how == "hang":
            owner.hung.append(self.connection)
            owner.gave_up.append(self.connection.recv(1) == b"")
            return
        if how == "done-then-reset" and self.asked > 1:
            how = "reset"
            self.close_connection = True
        if how == "reset":
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self._say(id=name, state="started")
        if how == "hold":
            owner.release.wait(PATIENCE)
        if how == "cut":
            return
        name = "another" if how == "stranger" else name
        state = {"fail": "failed", "lost": "lost", "returned": "returned"}.get(how, "done")
        self._say(id=name, state=state, result=owner.name + ":" + body.decode(), load={"eps": 0, "x0": 2})
        self.wfile.write(b"0\r\n\r\n")

    def _say(self, **line: Any) -> None:
        text = json.dumps(line).encode() + b"\n"
        self.wfile.write(b"%x\r\n%b\r\n" % (len(text), text))
        self.wfile.flush()


class Runner(Server):
    """A render box on HTTP; `how` says what becomes of its jobs, for all or by request id."""

    def __init__(self, name: str, how: Any = "done") -> None:
        self.name, self.how = name, how
        self.seen: list[tuple[str, str, bytes]] = []
        self.headers: list[dict[str, str]] = []  # of each, by names in small letters
        self.probes: list[str] = []  # paths asked for
        self.report = b""  # what it says when probed
        self.runs: Counter[bytes] = Counter()
        self.hung: list[socket.socket] = []
        self.gave_up: list[bool] = []
        self.opened = self.closed = 0
        self.release = threading.Event()
        super().__init__(RunnerHandler)


def figures(text: bytes) -> dict[str, float]:
    """Prometheus text."""
    rows = [line.rpartition(" ") for line in text.decode().splitlines() if not line.startswith("#")]
    return {name: float(value) for name, _, value in rows}


class Program:
    """The real program as a process; its addresses are read from its log."""

    def __init__(
        self,
        folder: Path,
        discovery: str,
        fronts: bool = False,
        accept: socket.socket | None = None,
        room: str | None = None,
        before: str = "",
        shell: str = "",
        environ: dict[str, str] | None = None,
        **changes: Any,
    ) -> None:
        config = {
            "name": "t",
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "discovery": discovery,
            "seed": "1",
            "limits": {"sockets": 1024},
            "settings": settings(**changes.pop("settings", {})),
        } | changes
        self.path, self.config = folder / "config.json", config
        self.path.write_text(json.dumps(config))
        command = [sys.executable, "-m", "larchgw"]
        if before:  # Python to run in the process first
            command = [sys.executable, "-c", f"{before}\nfrom larchgw.__main__ import main\nsys.exit(main())"]
        if shell:  # in place of the above, as the platform does it
            command = ["/bin/sh", "-c", shell]
        if fronts:
            (folder / "fronts.toml").write_text(
                "".join(f'[{name}]\nlisten = "127.0.0.1:0"\n' for name in ("gearman", "agent_check", "ops"))
            )
            command += ["--fronts", str(folder / "fronts.toml")]
        if room is not None:
            (folder / "room.toml").write_text(room)
            command += ["--room", str(folder / "room.toml")]
        variables = {
            "PROXY_CONFIG": str(folder / "config.json"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TMPDIR": str(folder),
        }
        inherited = [accept.fileno()] if accept else []  # the clients' listening socket, held by the platform
        if accept:
            variables["PROXY_ACCEPT_FD"] = str(accept.fileno())
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
            pass_fds=inherited,
            env=os.environ | variables | (environ or {}),
        )
        self.lines: list[str] = []
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()
        until(lambda: self.logged("event=start "), "the start")

    def reload(self, text: str = "", **changes: Any) -> str:
        """Replaces the configuration and sends SIGHUP; the line that the program logs of it."""
        before = len(self.logged("event=reload."))
        self.path.write_text(text or json.dumps(self.config | changes))
        self.process.send_signal(signal.SIGHUP)
        lines: list[str] = until(lambda: self.logged("event=reload.")[before:], "the reload")
        return lines[0]

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line)

    def logged(self, text: str) -> list[str]:
        return [line for line in list(self.lines) if text in line]

    def address(self, front: str = "platform") -> tuple[str, int]:
        line = self.logged(f"event=listening front={front}")[0]
        host, port = line.split("listen=")[1].split()[0].rsplit(":", 1)
        return host, int(port)

    def ask(
        self, method: str, path: str, body: bytes = b"", front: str = "platform", **headers: str
    ) -> tuple[int, bytes]:
        response, content = self.exchange(method, path, body, front, **headers)
        return response.status, content

    def exchange(
        self, method: str, path: str, body: bytes = b"", front: str = "platform", **headers: str
    ) -> tuple[HTTPResponse, bytes]:
        connection = HTTPConnection(*self.address(front), timeout=PATIENCE)
        try:
            connection.request(method, path, body, {k.replace("_", "-"): v for k, v in headers.items()})
            response = connection.getresponse()
            return response, response.read()
        finally:
            connection.close()

    def job(
        self, name: str, body: bytes = b"", path: str = "/proof", key: str = "0", wait: int = 10_000
    ) -> tuple[int, bytes]:
        return self.ask("POST", path, body, X_Request_Id=name, X_Key=key, X_Deadline_Ms=str(wait))

    def call(self, path: str, method: str = "GET") -> int:
        """A call on the second address."""
        return self.ask(method, "/ops/" + path, front="admin")[0]

    def stats(self) -> dict[str, float]:
        """The figures of the second address, by name without its prefix."""
        told = figures(self.ask("GET", "/ops/stats", front="admin")[1])
        return {name.removeprefix("dispatcher_"): value for name, value in told.items()}

    def ready(self) -> None:
        until(lambda: self.ask("GET", "/-/ready")[0] == 200, "ready")

    def counters(self) -> dict[str, float]:
        """As the ops listener shows them."""
        return figures(self.ask("GET", "/metrics", front="ops")[1])

    def kill(self) -> None:
        """SIGKILL. It is over only once it has been waited for: asked before, it still seems to run."""
        self.process.kill()
        self.process.wait(PATIENCE)

    def stop(self) -> str:
        """SIGTERM, and the log once it has ended in good order."""
        self.process.terminate()
        assert self.process.wait(PATIENCE) == 0, self.lines
        self._reader.join(PATIENCE)
        assert not self.logged("event=fault"), self.lines
        return "".join(self.lines)


@contextmanager
def running(folder: Path, *runners: Runner | Desk, **changes: Any) -> Iterator[tuple[Program, Discovery]]:
    """The program behind all its fronts, these boxes on the list; at the end it must stop in good order."""
    discovery = Discovery()
    for runner in runners:
        discovery.tell(runner.name, addr=runner.address)
    program = Program(folder, discovery.address, fronts=True, **changes)
    try:
        if runners:
            program.ready()
        yield program, discovery
        if program.process.poll() is None:
            program.stop()
    finally:
        program.process.kill()
        for server in (discovery, *runners):
            server.close()


class Desk:
    """A worker whose connections the test serves by hand; `shut`: none comes up before `open`."""

    def __init__(self, name: str, shut: bool = False) -> None:
        self.name = name
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0 if shut else 64)
        self.sock.settimeout(PATIENCE)
        host, port = self.sock.getsockname()
        self.address = f"{host}:{port}"
        self.fillers = [socket.socket() for _ in range(4 if shut else 0)]
        for filler in self.fillers:  # its queue is full of these
            filler.setblocking(False)
            filler.connect_ex((host, port))
        self.calls: list[Call] = []

    def open(self) -> None:
        """From now on those who knock come up: takes the fillers out of the queue."""
        up = [filler for filler in self.fillers if state(filler) == ESTABLISHED]
        for filler in self.fillers:
            if filler not in up:
                filler.close()
        mine = {filler.getsockname() for filler in up}
        while mine:
            sock, peer = self.sock.accept()
            if peer in mine:
                mine.discard(peer)
                sock.close()
            else:
                self.calls.append(Call(sock))

    def call(self) -> Call:
        """The next connection of the program."""
        if self.calls:
            return self.calls.pop(0)
        return Call(self.sock.accept()[0])

    def close(self) -> None:
        for sock in (self.sock, *self.fillers):
            sock.close()


class Call:
    """One connection that the program made to a desk."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(PATIENCE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.file = sock.makefile("rb")

    def read(self) -> str:
        """The id of the next request, read whole; empty once the program has closed the connection."""
        headers: dict[str, str] = {}
        while (line := self.file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        self.file.read(int(headers.get("content-length", 0)))
        return headers.get("x-request-id", "")

    def closed(self) -> bool:
        """Waits for the program to close or reset it; False if it sends anything first."""
        try:
            return self.file.read(1) == b""
        except ConnectionResetError:
            return True

    def begin(self, name: str) -> None:
        self.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.say(id=name, state="started")

    def say(self, **line: Any) -> None:
        text = json.dumps(line).encode() + b"\n"
        self.sock.sendall(b"%x\r\n%b\r\n" % (len(text), text))

    def end(self, name: str, result: str = "made") -> None:
        self.say(id=name, state="done", result=result)
        self.sock.sendall(b"0\r\n\r\n")

    def serve(self, name: str, result: str = "made") -> None:
        self.begin(name)
        self.end(name, result)

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.file.close()
        self.sock.close()


ESTABLISHED = 1
CLOSED = 7  # reset by the other side
SIOCOUTQ = 0x5411  # bytes that the other side has not acknowledged
ON_ITS_WAY = (4, 9)  # FIN_WAIT1, LAST_ACK: the end is


def state(sock: socket.socket) -> int:
    """Of a TCP connection, as the system numbers them."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def delivered(sock: socket.socket) -> bool:
    """Whether all that was sent, and the end behind it if it was shut, lies in the other side's socket."""
    unread = struct.unpack("i", fcntl.ioctl(sock, SIOCOUTQ, b"\0" * 4))[0]
    return unread == 0 and state(sock) not in ON_ITS_WAY


@contextmanager
def frozen(program: Program) -> Iterator[None]:
    """Stops the program, so that all that comes meanwhile is there in one turn of its loop."""
    stat = Path(f"/proc/{program.process.pid}/stat")
    program.process.send_signal(signal.SIGSTOP)
    try:
        until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T", "the program to stand still")
        yield
    finally:
        program.process.send_signal(signal.SIGCONT)
