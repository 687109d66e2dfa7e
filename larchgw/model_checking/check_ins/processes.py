"""The processes of `larchgw explore check-ins`: those parts of control processes and edges that have to do
with check-ins, the real ones, put together without sockets; and runners.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Sequence
from typing import Any

from ...control.majority_contact import PullContact
from ...control.runner_check_ins import RunnerCheckIns
from ...distribution.hinted_handoff import HintedHandoff
from ...distribution.keys import CONFIGURATION_KEY
from ...distribution.peer_pullers import PeerPullers
from ...distribution.pull_service import PullService
from ...distribution.pull_settings import PullSettings
from ...distribution.puller import Puller
from ...distribution.registry import Registry
from ...replication.view import first_view
from ...rpc.errors import RpcError
from ...runner_directory.directory import RunnerDirectory
from ...runner_directory.runner_record import Stage
from .network import Connection, Network

BEAT_S = 0.5
DIRECTORY_TICK_S = 0.25
RUNNER_TIMEOUT_S = 1.0  # PROTOCOL: an acknowledgement counts if it comes within a second
MAX_REPLY_BYTES = 600  # so that replies are cut

Acknowledged = Callable[[str, str, Stage], None]  # by which control process, which runner, its stage


def now() -> float:
    """Virtual seconds."""
    return asyncio.get_running_loop().time()


class ControlProcess:
    """One control process. All of `names` are the witnesses; `acknowledged` is told of each answer."""

    def __init__(
        self,
        name: str,
        names: Sequence[str],
        network: Network,
        random_source: random.Random,
        acknowledged: Acknowledged,
    ) -> None:
        self.name, self.incarnation, self.running = name, 0, False
        self._names, self._network, self._random_source = list(names), network, random_source
        self._others = [other for other in names if other != name]
        self._acknowledged = acknowledged
        self._tasks: list[asyncio.Task[None]] = []
        self.disk: tuple[int, bytes] | None = None  # the configuration that a start publishes
        network.add(name, self)

    def start(self) -> None:
        """A new incarnation: of the one before only the disk is left."""
        self.incarnation += 1
        self.running = True
        self.registry = Registry(f"{self.name}.{self.incarnation}")
        peers = PeerPullers(
            self.registry,
            self._connect,
            lambda: self._others,
            PullSettings().for_control_peers(),
            self._random_source,
            clock=now,
        )
        self.contact = PullContact(self.name, lambda: first_view(self._names), peers.contact_proven_at, now)
        self.pulls = PullService(
            self.registry, self.contact.is_isolated, lambda: self._names, max_reply_bytes=MAX_REPLY_BYTES
        )
        self.handoff = HintedHandoff(self._connect, lambda: self._others)
        self.directory = RunnerDirectory(self.registry, now, BEAT_S, self.registry.origin)
        self.check_ins = RunnerCheckIns(self.directory, self.registry, self.contact, self.handoff)
        if self.disk is not None:
            self.registry.put(CONFIGURATION_KEY, self.disk[1], self.disk[0])
        self._tasks = [asyncio.ensure_future(work()) for work in (peers.run, self.handoff.run, self._tick)]

    async def end(self) -> None:
        """Kills the process."""
        self.running = False
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def configure(self, version: int) -> None:
        """Takes a configuration, as the primary does once it is committed."""
        self.disk = (version, b"configuration")
        self.registry.put(CONFIGURATION_KEY, b"configuration", version)

    def stage(self, runner: str) -> Stage | None:
        """What it knows of a runner."""
        record = self.directory.get(runner)
        return record.stage if record is not None else None

    async def serve(self, method: str, argument: Any) -> Any:
        """See explore_network.Service."""
        if method in ("pull", "push"):
            return await getattr(self.pulls, method)(argument)
        return await self._serve_runner(method, argument)

    async def _serve_runner(self, method: str, argument: tuple[str, bytes, Stage]) -> bool:
        runner, body, stage = argument
        if method == "checkin":
            taken = await self.check_ins.check_in(runner, body)
        else:
            taken = await self.check_ins.leave(runner)
        if taken and not self._network.is_frozen(self.name) and self.running:
            self._acknowledged(self.name, runner, stage)
        return taken

    def _connect(self, address: str) -> Connection:
        return Connection(self._network, self.name, address)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(DIRECTORY_TICK_S)
            self.directory.tick(now(), self.contact.is_isolated())


class Edge:
    """One dispatcher: what it knows, and since when."""

    def __init__(
        self, name: str, sources: Sequence[str], network: Network, random_source: random.Random
    ) -> None:
        self.name, self.incarnation, self.running = name, 0, False
        self._sources, self._network, self._random_source = list(sources), network, random_source
        self._task: asyncio.Task[None] | None = None
        network.add(name, self)

    def start(self) -> None:
        """A new life that knows nothing."""
        self.incarnation += 1
        self.running = True
        self.registry = Registry(f"{self.name}.{self.incarnation}")
        self.puller = Puller(
            self.registry,
            lambda address: Connection(self._network, self.name, address),
            lambda: self._sources,
            PullSettings(),
            self._random_source,
            clock=now,
        )
        self._task = asyncio.ensure_future(self.puller.run())

    async def end(self) -> None:
        """Kills the process."""
        self.running = False
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def configuration(self) -> int:
        """The version in force; 0: none, and every request is answered 503."""
        entry = self.registry.get(CONFIGURATION_KEY)
        return entry.major if entry is not None else 0

    async def serve(self, method: str, argument: Any) -> Any:
        """Nobody calls an edge here."""
        raise AssertionError(f"{method} at an edge")


class Runner:
    """One runner: beats, drains after a while, leaves after its drain was acknowledged, and begins anew."""

    def __init__(
        self, name: str, control: Sequence[str], network: Network, random_source: random.Random
    ) -> None:
        self.name = name
        self._control, self._network, self._random_source = list(control), network, random_source
        self._beat_to = ""
        self._count = 0
        self.acknowledged = 0

    async def run(self) -> None:
        """One life after another."""
        number = 0
        while True:
            number += 1
            await self._live(f"{self.name}.{number}")

    async def _live(self, id: str) -> None:
        for _ in range(self._random_source.randrange(1, 8)):
            await self._say(id, Stage.READY)
            await asyncio.sleep(BEAT_S)
        if self._random_source.random() < 0.7:
            await self._say(id, Stage.DRAINING)
            await asyncio.sleep(BEAT_S)
        await self._say(id, Stage.GONE)

    async def _say(self, id: str, stage: Stage) -> None:
        """Calls one process after another until it is acknowledged, or gives up after a round."""
        others = self._random_source.sample(self._control, len(self._control))
        for address in dict.fromkeys([self._beat_to or others[0], *others]):
            if await self._call(address, id, stage):
                self._beat_to = address
                self.acknowledged += 1
                return
        self._beat_to = ""

    async def _call(self, address: str, id: str, stage: Stage) -> bool:
        self._count += 1
        body = {
            "service": "s",
            "address": "10.0.0.9:80",
            "call_count": self._count,
            "state": "draining" if stage is Stage.DRAINING else "ready",
        }
        method = "leave" if stage is Stage.GONE else "checkin"
        argument = (id, json.dumps(body).encode(), stage)
        try:
            return bool(await self._network.call(self.name, address, method, argument, RUNNER_TIMEOUT_S))
        except RpcError:
            return False
