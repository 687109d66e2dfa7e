"""Control processes on simulated disks and links, with production code for members, logs and operator calls.

A run is determined by its seed. A frozen process neither receives nor sends anything; its timers go on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, TypeVar

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
from ...rpc.structs import Argument, Reply
from ...runtime.rpc_clients import RpcClients
from ..errors import SimulatedCrashError
from ..links import RELIABLE_DELAY_S, Links
from ..simulated_disk import SimulatedDisk
from .invariants import InvariantChecker

COMPACT_RECORDS = 6  # small, so that snapshots are taken and sent frequently
LEASE_TERM_S = 3.0
MAX_CLOCK_OFFSET_S = 50.0  # clocks of different machines differ by at most this


ResultT = TypeVar("ResultT")


class Process:
    """One incarnation of a control process.

    Attributes:
        is_alive: False once the process has ended.
        is_frozen: Whether steps are deferred; timers go on.
        deferred: Steps and messages to run or send once it is thawed.
        tasks: Tasks of the calls that it serves.
    """

    def __init__(
        self, cluster: SimulatedCluster, address: str, disk: SimulatedDisk, first_boot: bool
    ) -> None:
        """Creates the process on the disk; `start` starts it."""
        self.cluster, self.address, self.disk = cluster, address, disk
        self.is_alive = True
        self.is_frozen = False
        self.deferred: list[Callable[[], None]] = []
        self.tasks: list[asyncio.Task[None]] = []
        self._offset = cluster.random.uniform(0.0, MAX_CLOCK_OFFSET_S)
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
        self.log = ReplicatedLog(self.member, self.state, clients, self._on_state_changed, self._clock)
        self.calls = OperatorCallRouter(self.member, OperatorService(self.state, self.log), clients)

    def _clock(self) -> float:
        return self.cluster.loop.time() + self._offset

    def _on_state_changed(self) -> None:
        self.cluster.checks.in_force(self.address, self.state)

    def start(self) -> None:
        """Starts the log and the periodic tick."""
        self.member.set_contacts(self.cluster.addresses)
        self.log.start()
        self._on_state_changed()
        self._tick()

    def _tick(self) -> None:
        if self.is_alive:
            self.cluster.loop.call_later(TICK_S, self._tick)
            if not self.is_frozen:
                self.run_step(self.log.tick)

    def run_step(self, step: Callable[[], None]) -> None:
        """Runs one step, which may crash the process; defers it while the process is frozen."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self.deferred.append(partial(self.run_step, step))
            return
        try:
            step()
        except SimulatedCrashError:
            self.cluster.crash(self)
        self.cluster.observe(self)

    def serve(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Starts a task that serves an incoming call."""
        self.run_step(lambda: self._spawn(call))

    def _spawn(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = self.cluster.loop.create_task(self._run_until_crash(call))
        self.tasks.append(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.remove(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.cluster.fail(error)

    async def _run_until_crash(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        try:
            await call()
        except SimulatedCrashError:
            self.cluster.crash(self)

    @property
    def has_undecided(self) -> bool:
        """Whether the process is primary and has proposed records that are not committed yet."""
        return self.member.is_primary and self.member.last_index > self.member.committed_index

    def digest(self) -> tuple[object, ...]:
        """Returns a summary of the observable state."""
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
        """Ends the process and cancels the calls that it serves."""
        self.is_alive = False
        for task in list(self.tasks):
            task.cancel()


class SimulatedClients(RpcClients):
    """The RPC clients of one process."""

    def __init__(self, process: Process) -> None:
        """Takes the process that calls."""
        super().__init__()
        self._process = process

    def get(self, address: str) -> RpcClient:
        """See RpcClients."""
        return SimulatedClient(self._process, address)


class SimulatedClient(RpcClient):
    """One process's calls to another one, over the simulated links."""

    def __init__(self, caller: Process, address: str) -> None:
        """Takes the process that calls and the address of the one that is called."""
        super().__init__(address)
        self._caller, self._cluster = caller, caller.cluster

    def post(self, method: str, argument: Argument) -> None:
        """Sends a message of the replication protocol, which may be lost or duplicated."""
        assert isinstance(argument, PeerMessage)
        message = argument
        copies = 2 if self._cluster.random.random() < self._cluster.links.duplication_rate else 1
        for _ in range(copies):
            self._cluster.transmit(self._caller, self.address, lambda receiver: receiver.log.receive(message))

    async def call(self, method: str, argument: Argument, timeout_s: float) -> Reply:
        """Forwards an operator's call.

        Raises:
            RpcTimeoutError: No answer came in time.
            RpcConnectionError: The called process ended while it served the call.
        """
        assert isinstance(argument, OperatorCall)
        call = argument
        future: asyncio.Future[OperatorAnswer] = self._cluster.loop.create_future()
        self._cluster.transmit(
            self._caller,
            self.address,
            lambda receiver: receiver.serve(lambda: self._answer(receiver, call, future)),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise RpcTimeoutError(f"{self.address}: no answer within {timeout_s:.2f} s") from error

    async def _answer(
        self, receiver: Process, call: OperatorCall, future: asyncio.Future[OperatorAnswer]
    ) -> None:
        try:
            answer = await receiver.calls.serve_forwarded(call)
        except asyncio.CancelledError:
            _settle(future, RpcConnectionError("the called process ended while it served the call"))
            raise
        if self._caller.is_alive:
            self._cluster.transmit(receiver, self._caller.address, lambda caller: _settle(future, answer))


def _settle(future: asyncio.Future[ResultT], outcome: ResultT | Exception) -> None:
    if future.done() or future.get_loop().is_closed():
        return
    if isinstance(outcome, Exception):
        future.set_exception(outcome)
    else:
        future.set_result(outcome)


@dataclass
class OperatorLinks(Links):
    """Links between machines, and links to operators, which are never partitioned.

    Attributes:
        answer_loss_rate: Share of the answers to operators that are lost.
    """

    answer_loss_rate: float = 0.2


class SimulatedCluster:
    """The machines of one run, each with a disk and at most one process.

    Attributes:
        loop: The event loop, which runs in virtual time.
        survive: Number of machines whose simultaneous loss is tolerated.
        processes: Running processes by address.
        states: Hashes of the distinct states of the cluster.
        failed: Receives the first error of a served call or of an operator, which ends the run.
    """

    def __init__(self, seed: int, machines: int) -> None:
        """Creates machines with empty disks and no process in the running loop."""
        self.random = Random(seed)
        self.loop = asyncio.get_running_loop()
        self.checks = InvariantChecker()
        self.links = OperatorLinks()
        self.addresses = tuple(f"m{number}:1" for number in range(machines))
        self.survive = machines // 2
        self.disks = {address: SimulatedDisk() for address in self.addresses}
        self.processes: dict[str, Process] = {}
        self.states: set[int] = set()
        self._latest_view: View | None = None  # the latest in which a member acted as primary
        self.failed: asyncio.Future[None] = self.loop.create_future()

    # ---- machines ----

    def start(self, address: str, first_boot: bool = False) -> None:
        """Starts the machine's process unless it is running."""
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
        """Ends the process; with `power`, the machine loses power and unsynced writes may be lost."""
        process = self.processes.pop(address, None)
        if process is not None:
            process.end()
        if power:
            self.disks[address].lose_power(self.random)

    def wipe(self, address: str) -> None:
        """Ends the process and empties its disk."""
        self.kill(address)
        self.disks[address] = SimulatedDisk()

    def may_lose_a_disk(self) -> bool:
        """Returns whether the loss of one more disk is tolerated now.

        A disk counts as lost until its member is in sync and a witness.
        """
        view = self._latest_view
        if view is None:
            return False
        members = [disk.member_id for disk in self.disks.values()]
        replaced = [
            member
            for member in members
            if member in view.in_sync and member in view.witnesses and member in view.former_witnesses
        ]
        return len(members) - len(replaced) < self.survive

    def crash(self, process: Process) -> None:
        """Ends a process that crashed during a write, half of the time with a power loss."""
        if self.processes.get(process.address) is process:
            self.kill(process.address, power=self.random.random() < 0.5)

    def freeze(self, address: str) -> None:
        """Freezes the process, if it is running."""
        if address in self.processes:
            self.processes[address].is_frozen = True

    def thaw(self, address: str) -> None:
        """Thaws the process and runs the deferred steps."""
        process = self.processes.get(address)
        if process is not None and process.is_frozen:
            process.is_frozen = False
            deferred, process.deferred = process.deferred, []
            for step in deferred:
                step()

    @property
    def primaries(self) -> list[str]:
        """Addresses of the processes that consider themselves primary."""
        return [address for address, process in self.processes.items() if process.member.is_primary]

    # ---- links ----

    def transmit(self, sender: Process, address: str, step: Callable[[Process], None]) -> None:
        """Runs `step` in the process at `address` after the link's delay, unless the message is lost."""
        if not sender.is_alive:
            return
        if sender.is_frozen:
            sender.deferred.append(partial(self.transmit, sender, address, step))
            return
        if self.links.is_cut(sender.address, address) or self.random.random() < self.links.loss_rate:
            return
        self.loop.call_later(self.random.uniform(*self.links.delay_range_s), self._arrive, address, step)

    def _arrive(self, address: str, step: Callable[[Process], None]) -> None:
        process = self.processes.get(address)
        if process is not None:
            process.run_step(partial(step, process))

    async def call(
        self, address: str, operation: str, base_version: int, body: bytes, timeout_s: float
    ) -> OperatorResponse | None:
        """Makes an operator's call to a machine; returns None if no answer came in time."""
        future: asyncio.Future[OperatorResponse] = self.loop.create_future()

        async def serve(process: Process) -> None:
            answer = await process.calls.operator_call(operation, base_version, body)
            if process.is_frozen:
                process.deferred.append(partial(self._reply, future, answer))
            else:
                self._reply(future, answer)

        def arrive() -> None:
            process = self.processes.get(address)
            if process is not None:
                process.serve(lambda: serve(process))

        self.loop.call_later(self.random.uniform(*RELIABLE_DELAY_S), arrive)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None

    def _reply(self, future: asyncio.Future[OperatorResponse], answer: OperatorResponse) -> None:
        if self.random.random() >= self.links.answer_loss_rate:
            self.loop.call_later(self.random.uniform(*RELIABLE_DELAY_S), _settle, future, answer)

    # ---- observations ----

    def observe(self, process: Process) -> None:
        """Records the state of all processes, and the view if this process acts as primary."""
        view, newest = process.member.view, self._latest_view
        is_acting = process.member.acting_epoch is not None
        if is_acting and view is not None and (newest is None or view.epoch > newest.epoch):
            self._latest_view = view
        self.states.add(hash(tuple(process.digest() for process in self.processes.values())))

    def fail(self, error: BaseException) -> None:
        """Ends the run with the error of a served call or of an operator."""
        if not self.failed.done():
            self.failed.set_exception(error)
