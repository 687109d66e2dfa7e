"""Server side of pulls: long polls for changes of the registry.

A caller that is up to date waits for the next change. Changes are batched for GATHER_DELAY_S before all
waiting callers are woken; each caller then receives only the entries stored after its cursor.

Control processes pull from all others concurrently. If each one forwarded the changes that it has just
received, every process would get every change from all of its peers, at a cost quadratic in their number. A
waiting peer therefore asks only for changes that the called process made itself. Changes by third processes
that it has not received from them meanwhile come with its next pull, that is, after at most one wait.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..rpc.generated.ttypes import Entry, PullReply, PullRequest, PushReply, PushRequest, Unavailable
from .durable_entries import DurableEntries
from .registry import Registry
from .version_vectors import cursor_key

GATHER_DELAY_S = 0.010  # batches simultaneous changes; small compared with the 2 s a change may take
MAX_WAIT_S = 5.0  # the longest wait that a caller may request
MAX_REPLY_BYTES = 512 * 1024  # of entries in one reply; a larger reply would delay others on the connection


class PullService:
    """Serves the RPC methods `pull` and `push` on the registry.

    Attributes:
        registry: The registry that is read and merged into.
    """

    def __init__(
        self,
        registry: Registry,
        is_isolated: Callable[[], bool],
        control_addresses: Callable[[], list[str]],
        gather_delay_s: float = GATHER_DELAY_S,
        max_reply_bytes: int = MAX_REPLY_BYTES,
        durable_entries: DurableEntries | None = None,
    ) -> None:
        """Starts watching the registry.

        Args:
            registry: The registry that is read and merged into.
            is_isolated: Whether this process is currently isolated from the majority.
            control_addresses: Returns the RPC addresses of the currently known control processes.
            gather_delay_s: Delay from a change until waiting callers are woken.
            max_reply_bytes: Approximate limit on the total size of the entries in one reply.
            durable_entries: Stores pushed entries on the disk of this process; None if it has none.
        """
        self.registry = registry
        self._is_isolated = is_isolated
        self._control_addresses = control_addresses
        self._max_reply_bytes = max_reply_bytes
        self._durable_entries = durable_entries
        self._waiting_for_any_change = _WaitingCallers(gather_delay_s)
        self._waiting_for_own_change = _WaitingCallers(gather_delay_s)
        registry.watch("", self._on_change)

    async def pull(self, request: PullRequest) -> PullReply:
        """Replies at once if there are entries to send, or if the caller has no cursor of this registry yet.

        Otherwise it replies with the first change during the caller's wait, or without entries at its end.
        """
        until = asyncio.get_running_loop().time() + min((request.wait_ms or 0) / 1000.0, MAX_WAIT_S)
        reply = self._reply(request)
        if cursor_key(self.registry.origin) not in (request.have or {}):
            return reply
        if request.own_changes_only:
            return await self._next_own_change(request, reply, until)
        while self._must_wait(reply, until):
            await self._waiting_for_any_change.wait(until)
            reply = self._reply(request)
        return reply

    async def _next_own_change(self, request: PullRequest, first: PullReply, until: float) -> PullReply:
        """Waits for a change made by this process; returns `first` at once if it contains entries."""
        position = self.registry.position
        reply = first
        while self._must_wait(reply, until):
            await self._waiting_for_own_change.wait(until)
            reply = self.registry.own_changes(position, request.prefixes or [], self._max_reply_bytes)
            reply.upto = (first.upto or {}) | (reply.upto or {})
            self._describe_this_process(reply)
        return reply

    async def push(self, request: PushRequest) -> PushReply:
        """Merges entries pushed by another process; replies once those that need it are durable.

        Raises:
            Unavailable: They are in the registry, but could not be written to the disk.
        """
        entries = request.entries or []
        self.registry.merge(entries)
        store = self._durable_entries
        if store is not None and not await store.make_durable(entries):
            raise Unavailable(
                "the disk refuses the entries", "free space or replace the disk; push them again"
            )
        return PushReply(have=self.registry.vector())

    def wake(self) -> None:
        """Makes waiting callers check again, for example after `is_isolated` has changed."""
        self._waiting_for_any_change.wake()
        self._waiting_for_own_change.wake()

    def _reply(self, request: PullRequest) -> PullReply:
        reply = self.registry.delta(request.have or {}, request.prefixes or [], self._max_reply_bytes)
        self._describe_this_process(reply)
        return reply

    def _describe_this_process(self, reply: PullReply) -> None:
        reply.isolated = self._is_isolated()
        reply.control = self._control_addresses()

    @staticmethod
    def _must_wait(reply: PullReply, until: float) -> bool:
        return not reply.entries and not reply.isolated and asyncio.get_running_loop().time() < until

    def _on_change(self, entry: Entry) -> None:
        self._waiting_for_any_change.schedule_wake()
        if entry.origin == self.registry.origin:
            self._waiting_for_own_change.schedule_wake()


class _WaitingCallers:
    """Callers that wait for the same kind of change and are woken together."""

    def __init__(self, gather_delay_s: float) -> None:
        self._gather_delay_s = gather_delay_s
        self._futures: dict[asyncio.Future[None], None] = {}  # in the order in which they began to wait
        self._timer: asyncio.TimerHandle | None = None

    async def wait(self, until: float) -> None:
        """Waits until woken, or until `until` (seconds on the loop's clock)."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        self._futures[future] = None
        try:
            async with asyncio.timeout(until - loop.time()):
                await future
        except TimeoutError:
            return
        finally:
            self._futures.pop(future, None)

    def schedule_wake(self) -> None:
        """Schedules waking the callers after the gather delay, unless this is scheduled already."""
        if self._futures and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(self._gather_delay_s, self.wake)

    def wake(self) -> None:
        """Wakes all waiting callers."""
        self._timer = None
        futures, self._futures = self._futures, {}
        for future in futures:
            if not future.done():
                future.set_result(None)
