"""The answering side of pulls: long polls for changes of the registry.

A caller that is up to date is kept waiting for the next change. Changes are gathered for GATHER_DELAY_S
before the waiting callers are woken, all at once; each is then sent only what was stored after its cursor.

Control processes pull from all others at once. Were each to pass on what it has just heard, every process
would be sent every change by all of its peers, at the square of their number. So a peer asks, while it
waits, for changes that the answering process made itself; those of others that it has not heard from them
meanwhile come with its next pull, within the wait of one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..rpc.generated.ttypes import Entry, PullReply, PullRequest, PushReply, PushRequest
from .registry import Registry
from .version_vectors import cursor_key

GATHER_DELAY_S = 0.010  # changes that come together go out in one reply; small against the 2 s of a change
MAX_WAIT_S = 5.0  # the longest wait that a caller may ask for
MAX_REPLY_BYTES = 512 * 1024  # of entries in one reply; a larger one would hold up others on the connection


class PullService:
    """Answers the rpc methods `pull` and `push` of other processes from the registry.

    Attributes:
        registry: What is read and merged into.
    """

    def __init__(
        self,
        registry: Registry,
        is_isolated: Callable[[], bool],
        control_addresses: Callable[[], list[str]],
        gather_delay_s: float = GATHER_DELAY_S,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        """Watches the registry from now on.

        Args:
            registry: What is read and merged into.
            is_isolated: Whether this process is cut off from the majority now.
            control_addresses: Gives the rpc addresses of the control processes that are known now.
            gather_delay_s: From a change until waiting callers are woken.
            max_reply_bytes: About how large the entries of one reply may be together.
        """
        self.registry = registry
        self._is_isolated = is_isolated
        self._control_addresses = control_addresses
        self._max_reply_bytes = max_reply_bytes
        self._waiting_for_any_change = _WaitingCallers(gather_delay_s)
        self._waiting_for_own_change = _WaitingCallers(gather_delay_s)
        registry.watch("", self._on_change)

    async def pull(self, request: PullRequest) -> PullReply:
        """Answers at once if there are entries to send, or the caller has no cursor of this registry yet.

        Else it answers with the first change within the caller's wait, or without entries at its end.
        """
        until = asyncio.get_running_loop().time() + min((request.wait_ms or 0) / 1000.0, MAX_WAIT_S)
        reply = self._reply(request)
        if cursor_key(self.registry.origin) not in (request.have or {}):
            return reply
        if request.own_changes_only:
            return await self._next_own_change(request, reply, until)
        while self._goes_on_waiting(reply, until):
            await self._waiting_for_any_change.wait(until)
            reply = self._reply(request)
        return reply

    async def _next_own_change(self, request: PullRequest, first: PullReply, until: float) -> PullReply:
        """Waits on behalf of a caller that `first` has shown to be up to date, unless it has entries."""
        position = self.registry.position
        reply = first
        while self._goes_on_waiting(reply, until):
            await self._waiting_for_own_change.wait(until)
            reply = self.registry.own_changes(position, request.prefixes or [], self._max_reply_bytes)
            reply.upto = (first.upto or {}) | (reply.upto or {})
            self._describe_this_process(reply)
        return reply

    async def push(self, request: PushRequest) -> PushReply:
        """Merges entries that another process hands over; answers once they are in the registry."""
        self.registry.merge(request.entries or [])
        return PushReply(have=self.registry.vector())

    def wake(self) -> None:
        """Lets waiting callers look again, as when `is_isolated` has changed."""
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
    def _goes_on_waiting(reply: PullReply, until: float) -> bool:
        return not reply.entries and not reply.isolated and asyncio.get_running_loop().time() < until

    def _on_change(self, entry: Entry) -> None:
        self._waiting_for_any_change.schedule_wake()
        if entry.origin == self.registry.origin:
            self._waiting_for_own_change.schedule_wake()


class _WaitingCallers:
    """Callers that wait for one kind of change, woken together."""

    def __init__(self, gather_delay_s: float) -> None:
        self._gather_delay_s = gather_delay_s
        self._futures: dict[asyncio.Future[None], None] = {}  # the one that waits longest first
        self._timer: asyncio.TimerHandle | None = None

    async def wait(self, until: float) -> None:
        """Returns when woken, or at `until` (seconds, the loop's clock)."""
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
        """Wakes those that wait once changes were gathered."""
        if self._futures and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(self._gather_delay_s, self.wake)

    def wake(self) -> None:
        """Wakes all that wait."""
        self._timer = None
        futures, self._futures = self._futures, {}
        for future in futures:
            if not future.done():
                future.set_result(None)
