"""Runs the replication member of this process: its timers, its messages, and the calls that await it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence

import structlog

from ..replication.effects import Effects, OutgoingMessage, PendingCall, Role
from ..replication.errors import NotPrimaryError
from ..replication.lease import Lease
from ..replication.member import Member
from ..rpc.generated.ttypes import PeerMessage
from ..runtime.rpc_clients import RpcClients
from .configuration_state import ConfigurationState
from .errors import ReplicationUnavailableError

log = structlog.get_logger()
TICK_S = 0.02  # heartbeat intervals and timeouts of the protocol are multiples of this
DISK_RETRY_S = 1.0  # pause after a failed write before the disk is used again


class ReplicatedLog:
    """Carries out the effects that the replication member requests, on the event loop of the process.

    The member itself is a state machine without network I/O: each step returns the effects of a message, a
    call or elapsed time. They are carried out in order: a snapshot and committed records are applied to the
    state, pending calls are completed, and messages are sent.

    After a failed write to disk, all steps are suspended for DISK_RETRY_S; during that time this member
    appears unresponsive to the others.

    Attributes:
        member: The replication member.
        state: The state built from the committed records.
    """

    def __init__(
        self,
        member: Member,
        state: ConfigurationState,
        clients: RpcClients,
        on_change: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates the log; nothing runs before `start`.

        Args:
            member: The replication member. Only this object steps it.
            state: The replicated state. Only this object changes it.
            clients: Connections to the other members.
            on_change: Called after the state has changed.
            clock: Monotonic clock in seconds.
        """
        self.member, self.state = member, state
        self._clients, self._on_change, self._clock = clients, on_change, clock
        self._pending_calls: dict[PendingCall, asyncio.Future[int]] = {}
        self._paused_until = 0.0

    def start(self) -> None:
        """Starts the member from the state on disk."""
        self._run_step(lambda: self.member.start(self._clock()))

    def tick(self) -> None:
        """Advances the member's timers; must be called every TICK_S."""
        self._run_step(lambda: self.member.tick(self._clock()))

    def receive(self, message: PeerMessage) -> None:
        """Handles a message from another member."""
        self._run_step(lambda: self.member.receive(self._clock(), message))

    def leave(self) -> None:
        """Asks the others to continue without this process; `has_left` becomes true once they do."""
        self._run_step(lambda: self.member.leave(self._clock()))

    @property
    def has_left(self) -> bool:
        """Whether the others continue without this process; see Member.has_left."""
        return self.member.has_left

    def lease(self, name: str) -> Lease | None:
        """Returns the lease of that name while this process holds it, otherwise None."""
        return self.member.lease(self._clock(), name)

    async def announce(self, lease_name: str, targets: Sequence[str]) -> None:
        """Announces an action on `targets` under a lease; `action_permitted_until` limits when it may start.

        Raises:
            ReplicationUnavailableError: The lease is not held, or no quorum of witnesses answers.
        """
        await self._call(lambda now: self.member.announce(now, lease_name, targets))

    def action_permitted_until(self, lease_name: str, target: str) -> float:
        """Returns Member.action_permitted_until, a time on the clock of this log."""
        return self.member.action_permitted_until(self._clock(), lease_name, target)

    async def wait_until_decided(self) -> None:
        """Waits until every record proposed by this process is decided.

        The log of a backup may contain undecided records indefinitely; that of a primary cannot.

        Raises:
            ReplicationUnavailableError: This process is not the primary.
        """
        while self.member.is_primary and self.member.committed_index < self.member.last_index:
            await asyncio.sleep(TICK_S)
        if not self.member.is_primary:
            raise ReplicationUnavailableError(f"{self.member.id} is not primary")

    async def confirm_primary(self) -> None:
        """Waits for confirmation that this process was the primary after the call started.

        Raises:
            ReplicationUnavailableError: It is not the primary, or a write to disk failed.
        """
        await self._call(self.member.confirm)

    async def propose(self, record: bytes) -> int:
        """Appends a record to the log; returns its index once it is committed and applied by this process.

        Raises:
            ReplicationUnavailableError: The outcome is unknown; the record may still be committed later.
        """
        return await self._call(lambda now: self.member.propose(now, record))

    async def _call(self, start_call: Callable[[float], tuple[PendingCall, Effects]]) -> int:
        try:
            call, effects = start_call(self._clock())
        except NotPrimaryError as error:
            raise ReplicationUnavailableError(str(error)) from error
        except OSError as error:
            self._pause(error)
            raise ReplicationUnavailableError(f"writing to disk failed: {error}") from error
        future = self._pending_calls[call] = asyncio.get_running_loop().create_future()
        try:
            self._apply_effects(effects)
            index: int = await future
            return index
        finally:
            self._pending_calls.pop(call, None)

    def _run_step(self, step: Callable[[], Effects]) -> None:
        if self._clock() < self._paused_until:
            return
        try:
            self._apply_effects(step())
        except OSError as error:
            self._pause(error)

    def _pause(self, error: OSError) -> None:
        """Suspends all steps for DISK_RETRY_S. The failed step has acknowledged nothing."""
        log.error("replication.paused", error=str(error), pause_s=DISK_RETRY_S)
        self._paused_until = self._clock() + DISK_RETRY_S

    def _apply_effects(self, effects: Effects) -> None:
        """Carries out effects, in the order that Effects requires."""
        index_before = self.state.record_index
        if effects.installed is not None:
            self.state.restore(effects.installed.content)
        for committed in effects.committed:
            self.state.apply(committed.index, committed.record)
        if self.state.record_index != index_before:
            self._on_change()
        for done in effects.done:
            self._complete(done.call, done.index)
        for failed in effects.failed:
            self._fail(failed.call, failed.reason)
        for outgoing in effects.messages:
            self._send(outgoing)
        if effects.role is not None:
            self._log_role(effects.role)

    def _log_role(self, role: Role) -> None:
        view = self.member.view
        epoch = None if view is None else view.epoch
        log.info("replication.role_changed", role=role.name, view_epoch=epoch)

    def _send(self, outgoing: OutgoingMessage) -> None:
        message = outgoing.message
        sent = PeerMessage(message.sender, message.receiver, message.kind, message.body)
        self._clients.get(outgoing.address).post("deliver", sent)

    def _complete(self, call: PendingCall, index: int) -> None:
        future = self._pending_calls.get(call)
        if future is not None and not future.done():
            future.set_result(index)

    def _fail(self, call: PendingCall, reason: str) -> None:
        future = self._pending_calls.get(call)
        if future is not None and not future.done():
            future.set_exception(ReplicationUnavailableError(reason))
