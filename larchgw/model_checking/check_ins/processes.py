"""Simulated control processes, edges and runners.

Control processes and edges run the production code of check-ins, without sockets.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count

from ...control.departure_store import DepartureStore
from ...control.majority_contact import PullContact
from ...control.runner_check_ins import RunnerCheckIns
from ...distribution.hinted_handoff import HintedHandoff
from ...distribution.keys import CONFIGURATION_KEY, RUNNER_PREFIX
from ...distribution.peer_pullers import PeerPullers
from ...distribution.pull_service import PullService
from ...distribution.pull_settings import PullSettings
from ...distribution.puller import Puller
from ...distribution.registry import Registry
from ...identifiers import RunnerId
from ...replication.view import first_view
from ...rpc.errors import RpcError
from ...rpc.generated.ttypes import PullRequest, PushRequest
from ...runner_directory.directory import RunnerDirectory
from ...runner_directory.runner_record import RunnerRecord, Stage
from ...storage.disk_thread import DiskOperation
from ..simulated_disk import SimulatedDisk
from .network import Argument, Network, Reply, RunnerCall, SimulatedConnection

HEARTBEAT_S = 0.5
DIRECTORY_TICK_S = 0.25
RUNNER_TIMEOUT_S = 1.0  # PROTOCOL: a runner waits one second for an acknowledgement
MAX_REPLY_BYTES = 600  # small, so that replies are split
DRAIN_SHARE = 0.7  # of the runners that leave
DISK_TIME_S = (0.001, 0.03)  # of a write with its sync

OnAcknowledged = Callable[[str, RunnerCall], None]
"""Called with a control process's name and the call that it acknowledges."""

CONFIGURATION = b"configuration"  # only the version is checked, not the content


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration on the disk of a control process."""

    version: int
    content: bytes


def now() -> float:
    """Returns the time of the running loop, in virtual seconds."""
    return asyncio.get_running_loop().time()


class SimulatedDiskExecutor:
    """Implements storage.disk_thread.DiskExecutor in virtual time."""

    def __init__(self, random_source: random.Random) -> None:
        """Takes the source of the times that operations take."""
        self._random_source = random_source

    async def run(self, operation: DiskOperation) -> None:
        """See DiskExecutor."""
        await asyncio.sleep(self._random_source.uniform(*DISK_TIME_S))
        operation()


class ControlProcess:
    """One control process.

    Attributes:
        stored: The configuration on its disk, published at each start.
        disk: The rest of its disk: the departures that it stored.
    """

    def __init__(
        self,
        name: str,
        names: Sequence[str],
        network: Network,
        random_source: random.Random,
        on_acknowledged: OnAcknowledged,
    ) -> None:
        """Creates a process without starting it.

        Args:
            name: Its name and address.
            names: Names of all control processes, including this one; all are witnesses.
            network: Network on which the process is called.
            random_source: Source of its random pauses.
            on_acknowledged: Called whenever the process acknowledges a runner call.
        """
        self.name, self.incarnation, self.is_running = name, 0, False
        self._names, self._network, self._random_source = list(names), network, random_source
        self._others = [other for other in names if other != name]
        self._on_acknowledged = on_acknowledged
        self._tasks: list[asyncio.Task[None]] = []
        self.stored: StoredConfiguration | None = None
        self.disk = SimulatedDisk()
        self._disk_times = random.Random(name)
        network.add(name, self)

    def start(self) -> None:
        """Starts a new incarnation, which has only the disk of the previous one."""
        self.incarnation += 1
        self.is_running = True
        self.registry = Registry(f"{self.name}.{self.incarnation}")
        executor = SimulatedDiskExecutor(self._disk_times)
        departures = DepartureStore(self.registry, self.disk.ports().journal, executor)
        self._departures = departures
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
            self.registry,
            self.contact.is_isolated,
            lambda: self._names,
            max_reply_bytes=MAX_REPLY_BYTES,
            durable_entries=departures,
        )
        self.handoff = HintedHandoff(self._connect, lambda: self._others, durable_entries=departures)
        self.directory = RunnerDirectory(self.registry, now, HEARTBEAT_S, self.registry.origin)
        self.check_ins = RunnerCheckIns(self.directory, self.registry, self.contact, self.handoff)
        if self.stored is not None:
            self.registry.put(CONFIGURATION_KEY, self.stored.content, self.stored.version)
        self._tasks = [asyncio.ensure_future(work()) for work in (peers.run, self.handoff.run, self._tick)]

    async def end(self) -> None:
        """Kills the process."""
        self.is_running = False
        self._departures.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def configure(self, version: int) -> None:
        """Publishes a configuration, as the primary does once it is committed."""
        self.stored = StoredConfiguration(version, CONFIGURATION)
        self.registry.put(CONFIGURATION_KEY, CONFIGURATION, version)

    def store_published_configuration(self) -> None:
        """Writes the registry's configuration to the disk, whichever process published it."""
        entry = self.registry.get(CONFIGURATION_KEY)
        if entry is not None:
            self.stored = StoredConfiguration(entry.major, entry.value)

    def stage_of(self, runner: RunnerId) -> Stage | None:
        """Returns the known stage of a runner, or None if the runner is unknown."""
        record = self.directory.get(runner)
        return record.stage if record is not None else None

    async def serve(self, argument: Argument) -> Reply:
        """See network.Service."""
        if isinstance(argument, PullRequest):
            return await self.pulls.pull(argument)
        if isinstance(argument, PushRequest):
            return await self.pulls.push(argument)
        return await self._serve_runner(argument)

    async def _serve_runner(self, call: RunnerCall) -> bool:
        if call.stage is Stage.GONE:
            is_acknowledged = await self.check_ins.leave(call.runner)
        else:
            is_acknowledged = await self.check_ins.check_in(call.runner, call.body)
        if is_acknowledged and not self._network.is_frozen(self.name) and self.is_running:
            self._on_acknowledged(self.name, call)
        return is_acknowledged

    def _connect(self, address: str) -> SimulatedConnection:
        return SimulatedConnection(self._network, self.name, address)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(DIRECTORY_TICK_S)
            self.directory.tick(now(), self.contact.is_isolated())


class Edge:
    """One edge dispatcher, reduced to its registry and its puller."""

    def __init__(
        self, name: str, sources: Sequence[str], network: Network, random_source: random.Random
    ) -> None:
        """Creates an edge that pulls from the control processes `sources`, without starting it."""
        self.name, self.incarnation, self.is_running = name, 0, False
        self._sources, self._network, self._random_source = list(sources), network, random_source
        self._task: asyncio.Task[None] | None = None
        network.add(name, self)

    def start(self) -> None:
        """Starts a new incarnation with an empty registry."""
        self.incarnation += 1
        self.is_running = True
        self.registry = Registry(f"{self.name}.{self.incarnation}")
        self.puller = Puller(
            self.registry,
            lambda address: SimulatedConnection(self._network, self.name, address),
            lambda: self._sources,
            PullSettings(),
            self._random_source,
            clock=now,
        )
        self._task = asyncio.ensure_future(self.puller.run())

    async def end(self) -> None:
        """Kills the process."""
        self.is_running = False
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def configuration_version(self) -> int:
        """Returns the version in force; 0 if there is none, when an edge answers every request with 503."""
        entry = self.registry.get(CONFIGURATION_KEY)
        return entry.major if entry is not None else 0

    def stage_of(self, runner: RunnerId) -> Stage | None:
        """Returns the known stage of a runner, or None if the runner is unknown."""
        entry = self.registry.get(RUNNER_PREFIX + runner)
        return RunnerRecord.decode(entry.value).stage if entry is not None else None

    async def serve(self, argument: Argument) -> Reply:
        """Always fails: no process calls an edge in this simulation."""
        raise AssertionError(f"{argument} was sent to an edge, which serves no calls")


class Runner:
    """A sequence of runners: each checks in, drains in most cases, and leaves.

    Attributes:
        acknowledged: Number of acknowledged calls.
    """

    def __init__(
        self, name: str, control: Sequence[str], network: Network, random_source: random.Random
    ) -> None:
        """Takes the names of the control processes that it calls."""
        self.name = name
        self._control, self._network, self._random_source = list(control), network, random_source
        self._preferred = ""  # the control process that acknowledged the last call
        self._call_count = 0
        self.acknowledged = 0

    async def run(self) -> None:
        """Runs until it is cancelled."""
        for number in count(1):
            await self._run_one(RunnerId(f"{self.name}.{number}"))

    async def _run_one(self, runner: RunnerId) -> None:
        for _ in range(self._random_source.randrange(1, 8)):
            await self._report(runner, Stage.READY)
            await asyncio.sleep(HEARTBEAT_S)
        if self._random_source.random() < DRAIN_SHARE:
            await self._report(runner, Stage.DRAINING)
            await asyncio.sleep(HEARTBEAT_S)
        await self._report(runner, Stage.GONE)

    async def _report(self, runner: RunnerId, stage: Stage) -> None:
        """Calls each control process once until one acknowledges."""
        in_any_order = self._random_source.sample(self._control, len(self._control))
        for address in dict.fromkeys([self._preferred or in_any_order[0], *in_any_order]):
            if await self._call(address, runner, stage):
                self._preferred = address
                self.acknowledged += 1
                return
        self._preferred = ""

    async def _call(self, address: str, runner: RunnerId, stage: Stage) -> bool:
        self._call_count += 1
        body = {
            "service": "s",
            "address": "10.0.0.9:80",
            "call_count": self._call_count,
            "state": "draining" if stage is Stage.DRAINING else "ready",
        }
        call = RunnerCall(runner, json.dumps(body).encode(), stage)
        try:
            return await self._network.call(self.name, address, call, RUNNER_TIMEOUT_S) is True
        except RpcError:
            return False
