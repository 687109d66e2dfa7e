"""Control processes on simulated disks and links; their members, logs and operator's calls are the real ones.

Everything follows from one seed. A frozen process takes nothing in and sends nothing; its timers go on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from ...control.configuration_state import ConfigurationState
from ...control.operator_calls import OperatorCallRouter
from ...control.operator_service import OperatorResponse, OperatorService
from ...control.replicated_log import TICK_S, ReplicatedLog
from ...replication.member import Member
from ...replication.settings import MemberSettings
from ...replication.view import View
from ...rpc.client import RpcClient
from ...rpc.errors import RpcConnectionError, RpcTimeoutError
from ...rpc.generated.ttypes import OperatorAnswer, OperatorCall, PeerMessage
from ...runtime.rpc_clients import RpcClients
from ..errors import SimulatedCrashError
from ..links import CALM_DELAY_S, Links
from ..simulated_disk import SimulatedDisk
from .invariants import InvariantChecker

COMPACT_RECORDS = 6  # so that snapshots are taken and sent all the time
LEASE_TERM_S = 3.0
CLOCKS_APART_S = 50.0  # clocks of different machines differ by up to this


class Process:
    """One life of a control process."""

    def __init__(
        self, cluster: SimulatedCluster, address: str, disk: SimulatedDisk, first_boot: bool
    ) -> None:
        self.cluster, self.address, self.disk = cluster, address, disk
        self.is_alive = True
        self.is_frozen = False
        self.held: list[Callable[[], None]] = []  # what came, or should go out, while it was frozen
        self.tasks: list[asyncio.Task[None]] = []  # calls that are served
        self._offset = cluster.random.uniform(0.0, CLOCKS_APART_S)
        self.state = ConfigurationState()
        settings = MemberSettings(
            address,
            cluster.addresses,
            first_boot,
            f"{address}#{cluster.random.getrandbits(32):x}",
            cluster.survive,
            LEASE_TERM_S,
            compact_records=COMPACT_RECORDS,
            batch_bytes=2000,
        )
        self.member = Member(settings, disk.ports(), self.state.snapshot, cluster.random)
        clients = SimulatedClients(self)
        self.log = ReplicatedLog(self.member, self.state, clients, self._changed, self._clock)
        self.calls = OperatorCallRouter(self.member, OperatorService(self.state, self.log), clients)

    def _clock(self) -> float:
        return self.cluster.loop.time() + self._offset

    def _changed(self) -> None:
        self.cluster.checks.in_force(self.address, self.state)

    def start(self) -> None:
        """Takes up its disk, and ticks from now on."""
        self.member.set_contacts(self.cluster.addresses)
        self.log.start()
        self._changed()
        self._tick()

    def _tick(self) -> None:
        if self.is_alive:
            self.cluster.loop.call_later(TICK_S, self._tick)
            if not self.is_frozen:
                self.do(self.log.tick)

    def do(self, step: Callable[[], None]) -> None:
        """One step of this process, in which it may break off."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self.held.append(partial(self.do, step))
            return
        try:
            step()
        except SimulatedCrashError:
            self.cluster.crash(self)
        self.cluster.observe(self)

    def serve(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Begins to serve a call from outside."""
        self.do(lambda: self._spawn(call))

    def _spawn(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = self.cluster.loop.create_task(self._guarded(call))
        self.tasks.append(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.remove(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.cluster.fail(error)

    async def _guarded(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        try:
            await call()
        except SimulatedCrashError:
            self.cluster.crash(self)

    @property
    def has_undecided(self) -> bool:
        """Whether it is primary and has proposed what has not enough copies yet."""
        return self.member.is_primary and self.member.last_index > self.member.committed_index

    def digest(self) -> tuple[object, ...]:
        """What its state comes to, seen from outside."""
        member = self.member
        return (
            self.address,
            self.state.version,
            member.committed_index,
            member.last_index,
            member.acting_epoch,
            len(self.tasks),
        )

    def end(self) -> None:
        """The process ends, and whatever it served with it."""
        self.is_alive = False
        for task in list(self.tasks):
            task.cancel()


class SimulatedClients(RpcClients):
    """The clients of one process."""

    def __init__(self, process: Process) -> None:
        super().__init__()
        self._process = process

    def get(self, address: str) -> RpcClient:
        """See RpcClients."""
        return SimulatedClient(self._process, address)


class SimulatedClient(RpcClient):
    """One process's calls to another one."""

    def __init__(self, caller: Process, address: str) -> None:
        super().__init__(address)
        self._caller, self._cluster = caller, caller.cluster

    def post(self, method: str, argument: Any) -> None:
        """A message of the replication protocol; it may be lost or doubled."""
        message: PeerMessage = argument
        copies = 2 if self._cluster.random.random() < self._cluster.links.duplication_rate else 1
        for _ in range(copies):
            self._cluster.transmit(self._caller, self.address, lambda receiver: receiver.log.receive(message))

    async def call(self, method: str, argument: Any, timeout_s: float) -> Any:
        """A call that is passed on. Raises RpcError."""
        call: OperatorCall = argument
        future: asyncio.Future[OperatorAnswer] = self._cluster.loop.create_future()
        self._cluster.transmit(
            self._caller,
            self.address,
            lambda receiver: receiver.serve(lambda: self._answer(receiver, call, future)),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise RpcTimeoutError(f"{self.address}: no answer in {timeout_s:.2f} s") from None

    async def _answer(
        self, receiver: Process, call: OperatorCall, future: asyncio.Future[OperatorAnswer]
    ) -> None:
        try:
            answer = await receiver.calls.serve_forwarded(call)
        except asyncio.CancelledError:
            _settle(future, RpcConnectionError("the connection ended"))
            raise
        if self._caller.is_alive:
            self._cluster.transmit(receiver, self._caller.address, lambda caller: _settle(future, answer))


def _settle(future: asyncio.Future[Any], outcome: Any) -> None:
    if future.done() or future.get_loop().is_closed():
        return
    if isinstance(outcome, Exception):
        future.set_exception(outcome)
    else:
        future.set_result(outcome)


@dataclass
class OperatorLinks(Links):
    """Links between machines, and those to operators, who are never cut off.

    Attributes:
        answer_loss_rate: Share of the answers to operators that are lost.
    """

    answer_loss_rate: float = 0.2


class SimulatedCluster:
    """The machines of one run, each with a disk and at most one process. Belongs to the running loop."""

    def __init__(self, seed: int, machines: int) -> None:
        self.random = Random(seed)
        self.loop = asyncio.get_running_loop()
        self.checks = InvariantChecker()
        self.links = OperatorLinks()
        self.addresses = tuple(f"m{number}:1" for number in range(machines))
        self.survive = machines // 2
        self.disks = {address: SimulatedDisk() for address in self.addresses}
        self.processes: dict[str, Process] = {}
        self.states: set[int] = set()
        self._latest_view: View | None = None  # in which somebody acted as primary
        self.failed: asyncio.Future[None] = self.loop.create_future()

    # ---- machines ----

    def start(self, address: str, first_boot: bool = False) -> None:
        """Starts the machine's process, if none runs there."""
        if address in self.processes:
            return
        try:
            process = Process(self, address, self.disks[address], first_boot)
            self.processes[address] = process
            process.start()
        except SimulatedCrashError:
            self.processes.pop(address, None)
            self.disks[address].lose_power(self.random)

    def kill(self, address: str, power: bool = False) -> None:
        """The process ends; with its power, unsynced writes may be gone too."""
        process = self.processes.pop(address, None)
        if process is not None:
            process.end()
        if power:
            self.disks[address].lose_power(self.random)

    def wipe(self, address: str) -> None:
        """The process ends, and its disk is empty from now on."""
        self.kill(address)
        self.disks[address] = SimulatedDisk()

    def may_lose_a_disk(self) -> bool:
        """Whether one more disk may be lost within what the system survives; those whose successors are not
        in sync and witnesses yet count as lost."""
        view = self._latest_view
        if view is None:
            return False
        names = [disk.member_id for disk in self.disks.values()]
        seated = [
            name
            for name in names
            if name in view.in_sync and name in view.witnesses and name in view.former_witnesses
        ]
        return len(names) - len(seated) < self.survive

    def crash(self, process: Process) -> None:
        """The process has broken off in the middle of a write."""
        if self.processes.get(process.address) is process:
            self.kill(process.address, power=self.random.random() < 0.5)

    def freeze(self, address: str) -> None:
        """The process stands still."""
        if address in self.processes:
            self.processes[address].is_frozen = True

    def thaw(self, address: str) -> None:
        """The process goes on with what came meanwhile."""
        process = self.processes.get(address)
        if process is not None and process.is_frozen:
            process.is_frozen = False
            held, process.held = process.held, []
            for step in held:
                step()

    @property
    def primaries(self) -> list[str]:
        """Machines whose process believes to be primary."""
        return [address for address, process in self.processes.items() if process.member.is_primary]

    # ---- links ----

    def transmit(self, sender: Process, address: str, step: Callable[[Process], None]) -> None:
        """Has the process at `address` carry out `step` after a while, unless it is lost on the way."""
        if not sender.is_alive:
            return
        if sender.is_frozen:
            sender.held.append(partial(self.transmit, sender, address, step))
            return
        if self.links.is_cut(sender.address, address) or self.random.random() < self.links.loss_rate:
            return
        self.loop.call_later(self.random.uniform(*self.links.delay_range_s), self._arrive, address, step)

    def _arrive(self, address: str, step: Callable[[Process], None]) -> None:
        process = self.processes.get(address)
        if process is not None:
            process.do(partial(step, process))

    async def call(
        self, address: str, operation: str, base_version: int, body: bytes, patience: float
    ) -> OperatorResponse | None:
        """An operator's call to a machine; None where no answer came."""
        future: asyncio.Future[OperatorResponse] = self.loop.create_future()

        async def serve(process: Process) -> None:
            answer = await process.calls.operator_call(operation, base_version, body)
            if process.is_frozen:
                process.held.append(partial(self._reply, future, answer))
            else:
                self._reply(future, answer)

        def arrive() -> None:
            process = self.processes.get(address)
            if process is not None:
                process.serve(lambda: serve(process))

        self.loop.call_later(self.random.uniform(*CALM_DELAY_S), arrive)
        try:
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            return None

    def _reply(self, future: asyncio.Future[OperatorResponse], answer: OperatorResponse) -> None:
        if self.random.random() >= self.links.answer_loss_rate:
            self.loop.call_later(self.random.uniform(*CALM_DELAY_S), _settle, future, answer)

    # ---- what is seen ----

    def observe(self, process: Process) -> None:
        """Counts the states that the processes are in, and notes the view in which this one acts."""
        view, newest = process.member.view, self._latest_view
        if process.member.acting_epoch is not None and view is not None:
            if newest is None or view.epoch > newest.epoch:
                self._latest_view = view
        self.states.add(hash(tuple(process.digest() for process in self.processes.values())))

    def fail(self, error: BaseException) -> None:
        """Something served has broken a property or ended in an error: the run ends with it."""
        if not self.failed.done():
            self.failed.set_exception(error)
