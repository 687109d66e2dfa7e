"""A whole small installation on loopback: emulated boxes, one real dispatcher, and a mixed load."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .fleet import FleetSpec, capacity, draw
from .load import Job, LoadSpec, arrivals, work_of
from .sockets import Clients, Installation, dispatcher_settings

START_TIME = 20.0  # seconds that the dispatcher may take to begin
END_TIME = 30.0  # seconds that it may take to end in good order
STEP = 0.25
ROOT = Path(__file__).parent.parent.parent


@dataclass(frozen=True, slots=True)
class TrialSpec:
    """What a trial is to be."""

    boxes: int = 9
    load: float = 0.6  # of what all cores do
    seconds: float = 20.0  # during which jobs come
    finish: float = 10.0  # seconds that open jobs then have
    seed: int = 1
    faults: bool = True
    room: Path | None = None


@dataclass(slots=True)
class Outcome:
    """What came of it."""

    jobs: list[Job]
    load: LoadSpec
    counts: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    exit_status: int | None = None
    interrupted: bool = False
    log: list[str] = field(default_factory=list)

    def by_class(self, until: float) -> list[dict[str, object]]:
        """One row a class, of the jobs due by then."""
        rows: list[dict[str, object]] = []
        for index, cls in enumerate(self.load.classes):
            jobs = [j for j in self.jobs if j.job_class == index and j.due <= until]
            asked = sum(j.work * j.slots for j in jobs) * cls.worth
            good = sum(j.work * j.slots for j in jobs if j.in_time()) * cls.worth
            waits = sorted(j.began_at - j.due for j in jobs if j.began_at)
            rows.append(
                {
                    "class": cls.name,
                    "jobs": len(jobs),
                    "served": sum(j.ended == "served" for j in jobs),
                    "refused": sum(j.ended == "refused" for j in jobs),
                    "failed": sum(j.ended in ("failed", "gave up") for j in jobs),
                    "open": sum(not j.ended for j in jobs),
                    "in time": sum(j.in_time() for j in jobs),
                    "worth in time": good / asked if asked else 0.0,
                    "median wait s": waits[len(waits) // 2] if waits else 0.0,
                }
            )
        return rows


class Trial:
    """One run; `show` is called a few times a second with this and may look at everything in it."""

    def __init__(self, spec: TrialSpec, show: Callable[[Trial], None] = lambda trial: None) -> None:
        self.spec, self._show = spec, show
        self.fleet = FleetSpec(spec.boxes)
        self.boxes = draw(self.fleet, spec.seed)
        classes = LoadSpec().classes
        rate = spec.load * capacity(self.boxes) / work_of(classes)
        self.load = LoadSpec(classes, rate, keys=6 * spec.boxes)
        self.outcome = Outcome([], self.load)
        self.installation: Installation | None = None
        self.clients: Clients | None = None
        self.events: list[str] = []
        self._stop: asyncio.Event | None = None
        self._address: asyncio.Future[tuple[str, int]] | None = None

    def interrupt(self) -> None:
        """Ends the run early, in good order."""
        self.outcome.interrupted = True
        if self._stop:
            self._stop.set()

    async def run(self) -> Outcome:
        """RuntimeError if the dispatcher does not start."""
        spec, self._stop = self.spec, asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self.interrupt)
        self.installation = installation = await Installation.start(
            self.boxes, self.fleet.fetch_s, self.fleet.lanes(self.load.rate), spec.seed
        )
        with tempfile.TemporaryDirectory(prefix="larchgw-try-") as folder:
            process = await self._start(Path(folder), installation)
            reader = asyncio.create_task(self._read(process))
            try:
                await self._load(installation, reader)
            finally:
                if self.clients:
                    self.clients.close()
                await self._end(process, reader)
                installation.close()
                for number in (signal.SIGINT, signal.SIGTERM):
                    loop.remove_signal_handler(number)
        self.outcome.broken = installation.records.broken()
        return self.outcome

    async def _start(self, folder: Path, installation: Installation) -> asyncio.subprocess.Process:
        config = {
            "name": "try",
            "listen": "127.0.0.1:0",
            "discovery": installation.discovery.address,
            "seed": f"{self.spec.seed:x}",
            "limits": {"sockets": 1024},
            "settings": dispatcher_settings(self.load, 3),
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        command = [sys.executable, "-m", "larchgw"]
        if self.spec.room:
            command += ["serve", "--room", str(self.spec.room.resolve())]
        environment = os.environ | {
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(folder),
            "PYTHONPATH": os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH")))),
        }
        # A session of its own: ctrl-C at the terminal is ours to pass on, once the clients have been told.
        return await asyncio.create_subprocess_exec(
            *command, stderr=asyncio.subprocess.PIPE, env=environment, start_new_session=True
        )

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        async for line in process.stderr:
            text = line.decode(errors="replace").rstrip()
            self.outcome.log.append(text)
            if "event=listening front=platform" in text and self._address and not self._address.done():
                host, port = text.split("listen=")[1].split()[0].rsplit(":", 1)
                self._address.set_result((host, int(port)))

    async def _load(self, installation: Installation, reader: asyncio.Task[None]) -> None:
        self._address = asyncio.get_running_loop().create_future()
        begun: set[asyncio.Future[Any]] = {self._address, reader}
        await asyncio.wait(begun, timeout=START_TIME, return_when=asyncio.FIRST_COMPLETED)
        if not self._address.done():
            raise RuntimeError("the dispatcher did not start: " + " | ".join(self.outcome.log[-3:]))
        target = self._address.result()
        await self._until_ready(target)
        jobs = self.outcome.jobs = arrivals(
            self.load, installation.time.now() + 0.2, self.spec.seconds, 3, self.spec.seed
        )
        self.clients = clients = Clients(installation.time, installation.records, [target], self.load, jobs)
        self.outcome.counts = clients.counts
        if self.spec.faults:
            self._faults(installation)
        assert self._stop is not None
        running = asyncio.create_task(clients.run())
        stopping = asyncio.create_task(self._stop.wait())
        end = installation.time.now() + self.spec.seconds + self.spec.finish
        while not running.done() and not stopping.done() and installation.time.now() < end:
            await asyncio.wait({running, stopping}, timeout=STEP, return_when=asyncio.FIRST_COMPLETED)
            self._show(self)
        stopping.cancel()
        if not running.done():
            running.cancel()
            now = installation.time.now()
            for record in installation.records.tries.values():
                record.excused = record.excused or not record.answers and record.gives_up > now
        elif running.exception():
            raise running.exception()  # type: ignore[misc]

    async def _until_ready(self, target: tuple[str, int]) -> None:
        for _ in range(int(START_TIME / STEP)):
            try:
                reader, writer = await asyncio.open_connection(*target)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: larchgw\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
            except OSError:
                line = b""  # not up yet, or not any more
            if b" 200 " in line:
                return
            await asyncio.sleep(STEP)
        raise RuntimeError("the dispatcher did not become ready: " + " | ".join(self.outcome.log[-3:]))

    def _faults(self, installation: Installation) -> None:
        """One box turns slow, another is drained and restarted: what a day may bring."""
        names, time, length = list(installation.servers), installation.time, self.spec.seconds
        slow, drained = names[0], names[1 % len(names)]

        def at(share: float, text: str, action: Callable[[], object]) -> None:
            def act() -> None:
                self.events.append(text)
                action()

            time.at(time.now() + share * length, act)

        at(0.25, f"{slow} turns 4 times slower", lambda: installation.servers[slow].box.set_slow(4.0))
        at(0.60, f"{slow} is well again", lambda: installation.servers[slow].box.set_slow(1.0))
        if len(names) > 2:
            at(0.35, f"{drained} drains", lambda: installation.drain(drained))
            at(
                0.70,
                f"{drained} is restarted, cold",
                lambda: asyncio.ensure_future(installation.restart(drained)),
            )

    async def _end(self, process: asyncio.subprocess.Process, reader: asyncio.Task[None]) -> None:
        if process.returncode is None:
            process.terminate()
        try:
            self.outcome.exit_status = await asyncio.wait_for(process.wait(), END_TIME)
        except TimeoutError:
            process.kill()
            self.outcome.exit_status = await process.wait()
        await reader
