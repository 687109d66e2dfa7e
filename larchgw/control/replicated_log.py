"""Drives this process's replication member: time, messages to the others, and what its calls came to."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import structlog

from ..replication.effects import Effects, Outgoing, PendingCall
from ..replication.errors import NotPrimaryError
from ..replication.lease import Lease
from ..replication.member import Member
from ..rpc.generated.ttypes import PeerMessage
from ..runtime.rpc_clients import RpcClients
from .configuration_state import ConfigurationState
from .errors import ReplicationUnavailableError

log = structlog.get_logger()
TICK_S = 0.02  # heartbeats and time-outs of the protocol are some times this
DISK_RETRY_S = 1.0  # after the disk refused a write, before it is written to again


class ReplicatedLog:
    """The member, the state that its committed records make, and the calls that wait for it.

    `changed` is called after the state has changed.
    """

    def __init__(
        self,
        member: Member,
        state: ConfigurationState,
        clients: RpcClients,
        changed: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.member, self.state = member, state
        self._clients, self._changed, self._clock = clients, changed, clock
        self._waiting: dict[PendingCall, asyncio.Future[int]] = {}
        self._disk_rests_until = 0.0

    def start(self) -> None:
        """Takes up what the disk holds."""
        self._guard(lambda: self.member.start(self._clock()))

    def tick(self) -> None:
        """To be called each TICK_S."""
        self._guard(lambda: self.member.tick(self._clock()))

    def receive(self, message: PeerMessage) -> None:
        """A message of another member has come."""
        self._guard(lambda: self.member.receive(self._clock(), message))

    def leave(self) -> None:
        """A planned end is ahead; `has_left` tells when the others go on without this process."""
        self._guard(lambda: self.member.leave(self._clock()))

    @property
    def has_left(self) -> bool:
        """See Member.has_left."""
        return self.member.has_left

    def lease(self, name: str) -> Lease | None:
        """The lease, while it is held here."""
        return self.member.lease(self._clock(), name)

    async def wait_until_decided(self) -> None:
        """See operator_service.Replication.

        A backup's log may hold undecided records for ever, a primary's not.
        """
        while self.member.is_primary and self.member.committed_index < self.member.last_index:
            await asyncio.sleep(TICK_S)
        if not self.member.is_primary:
            raise ReplicationUnavailableError(f"{self.member.id} is not primary")

    async def confirm_primary(self) -> None:
        """See operator_service.Replication."""
        await self._call(self.member.confirm)

    async def propose(self, record: bytes) -> int:
        """See operator_service.Replication."""
        return await self._call(lambda now: self.member.propose(now, record))

    async def _call(self, begin: Callable[[float], tuple[PendingCall, Effects]]) -> int:
        try:
            call, effects = begin(self._clock())
        except NotPrimaryError as error:
            raise ReplicationUnavailableError(str(error)) from error
        except OSError as error:
            self._disk_failed(error)
            raise ReplicationUnavailableError(f"the disk refuses writes: {error}") from error
        future = self._waiting[call] = asyncio.get_running_loop().create_future()
        try:
            self._carry_out(effects)
            index: int = await future
            return index
        finally:
            self._waiting.pop(call, None)

    def _guard(self, step: Callable[[], Effects]) -> None:
        if self._clock() < self._disk_rests_until:
            return
        try:
            self._carry_out(step())
        except OSError as error:
            self._disk_failed(error)

    def _disk_failed(self, error: OSError) -> None:
        """Nothing was promised. While the disk rests the others see us silent and go on without us."""
        log.error("replication.paused", error=str(error), pause_s=DISK_RETRY_S)
        self._disk_rests_until = self._clock() + DISK_RETRY_S

    def _carry_out(self, effects: Effects) -> None:
        before = self.state.record_index
        if effects.installed is not None:
            self.state.restore(effects.installed[1])
        for index, record in effects.committed:
            self.state.apply(index, record)
        if self.state.record_index != before:
            self._changed()
        for done in effects.done:
            self._settle(done.call, done.index)
        for failed in effects.failed:
            self._fail(failed.call, failed.reason)
        for outgoing in effects.messages:
            self._post(outgoing)
        if effects.role is not None:
            view = self.member.view
            epoch = None if view is None else view.epoch
            log.info("replication.role_changed", role=effects.role.name, view_epoch=epoch)

    def _post(self, outgoing: Outgoing) -> None:
        message = outgoing.message
        sent = PeerMessage(message.sender, message.receiver, message.kind, message.body)
        self._clients.get(outgoing.address).post("deliver", sent)

    def _settle(self, call: PendingCall, index: int) -> None:
        future = self._waiting.get(call)
        if future is not None and not future.done():
            future.set_result(index)

    def _fail(self, call: PendingCall, reason: str) -> None:
        future = self._waiting.get(call)
        if future is not None and not future.done():
            future.set_exception(ReplicationUnavailableError(reason))
