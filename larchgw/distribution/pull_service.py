"""The answering side of pulls: a control process keeps a caller that lacks nothing waiting for news.

Changes are gathered for GATHER_S before the waiting callers are woken, all at once; each then looks only at
what was taken behind its cursor.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..rpc.generated.ttypes import Entry, PullReply, PullRequest, PushReply, PushRequest
from .registry import Registry
from .version_vectors import cursor_key

GATHER_S = 0.010  # changes that come together go out in one reply; small against the 2 s a change may take
MAX_WAIT_S = 5.0  # the longest wait that a caller may ask for
REPLY_LIMIT_BYTES = 512 * 1024  # of entries in one reply; a larger one would hold up others on the connection


class PullService:
    """Answers `pull` and `push` of other processes from the registry.

    `isolated` tells whether this process is cut off from the majority now; `control` gives the rpc addresses
    of the control processes that are known now.
    """

    def __init__(
        self,
        registry: Registry,
        isolated: Callable[[], bool],
        control: Callable[[], list[str]],
        gather_s: float = GATHER_S,
        limit_bytes: int = REPLY_LIMIT_BYTES,
    ) -> None:
        self.registry = registry
        self._isolated = isolated
        self._control = control
        self._gather_s = gather_s
        self._limit_bytes = limit_bytes
        self._waiting: dict[asyncio.Future[None], None] = {}  # the one that waits longest first
        self._wake_due: asyncio.TimerHandle | None = None
        registry.watch("", self._changed)

    async def pull(self, request: PullRequest) -> PullReply:
        """Answers at once where there is news or the caller is new here, else with the first news in its
        wait.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + min((request.wait_ms or 0) / 1000.0, MAX_WAIT_S)
        reply = self._delta(request)
        if cursor_key(self.registry.origin) not in (request.have or {}):
            return reply
        while not reply.entries and not reply.isolated and loop.time() < until:
            await self._news(until - loop.time())
            reply = self._delta(request)
        return reply

    async def push(self, request: PushRequest) -> PushReply:
        """Takes entries that another process hands over; answers once they are in the registry."""
        self.registry.merge(request.entries or [])
        return PushReply(have=self.registry.vector())

    def wake(self) -> None:
        """Lets waiting callers look again, as when `isolated` has changed."""
        self._wake_due = None
        waiting, self._waiting = self._waiting, {}
        for future in waiting:
            if not future.done():
                future.set_result(None)

    def _delta(self, request: PullRequest) -> PullReply:
        reply = self.registry.delta(request.have or {}, request.prefixes or [], self._limit_bytes)
        reply.isolated = self._isolated()
        reply.control = self._control()
        return reply

    async def _news(self, seconds: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[future] = None
        try:
            async with asyncio.timeout(seconds):
                await future
        except TimeoutError:
            return
        finally:
            self._waiting.pop(future, None)

    def _changed(self, entry: Entry) -> None:
        if self._waiting and self._wake_due is None:
            self._wake_due = asyncio.get_running_loop().call_later(self._gather_s, self.wake)
