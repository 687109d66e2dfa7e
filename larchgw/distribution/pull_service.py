"""The answering side of pulls: long polls for changes of the registry.

A caller that is up to date is kept waiting for the next change. Changes are gathered for GATHER_DELAY_S
before the waiting callers are woken, all at once; each is then sent only what was stored after its cursor.
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
        self._gather_delay_s = gather_delay_s
        self._max_reply_bytes = max_reply_bytes
        self._waiting: dict[asyncio.Future[None], None] = {}  # the one that waits longest first
        self._wake_timer: asyncio.TimerHandle | None = None
        registry.watch("", self._schedule_wake)

    async def pull(self, request: PullRequest) -> PullReply:
        """Answers at once if there are entries to send, or the caller has no cursor of this registry yet.

        Else it answers with the first change within the caller's wait, or without entries at its end.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + min((request.wait_ms or 0) / 1000.0, MAX_WAIT_S)
        reply = self._reply(request)
        if cursor_key(self.registry.origin) not in (request.have or {}):
            return reply
        while not reply.entries and not reply.isolated and loop.time() < until:
            await self._wait_for_change(until - loop.time())
            reply = self._reply(request)
        return reply

    async def push(self, request: PushRequest) -> PushReply:
        """Merges entries that another process hands over; answers once they are in the registry."""
        self.registry.merge(request.entries or [])
        return PushReply(have=self.registry.vector())

    def wake(self) -> None:
        """Lets waiting callers look again, as when `is_isolated` has changed."""
        self._wake_timer = None
        waiting, self._waiting = self._waiting, {}
        for future in waiting:
            if not future.done():
                future.set_result(None)

    def _reply(self, request: PullRequest) -> PullReply:
        reply = self.registry.delta(request.have or {}, request.prefixes or [], self._max_reply_bytes)
        reply.isolated = self._is_isolated()
        reply.control = self._control_addresses()
        return reply

    async def _wait_for_change(self, timeout_s: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[future] = None
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return
        finally:
            self._waiting.pop(future, None)

    def _schedule_wake(self, entry: Entry) -> None:
        if self._waiting and self._wake_timer is None:
            self._wake_timer = asyncio.get_running_loop().call_later(self._gather_delay_s, self.wake)
