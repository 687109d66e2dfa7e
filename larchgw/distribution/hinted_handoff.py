"""Hinted handoff: urgent entries are at other control processes before they are acknowledged.

`replicate` pushes entries to every peer and tells which of them have it, without waiting for the slowest once
those are enough. What a peer did not take is kept as
a hint and handed over by `run` when the peer takes calls again, a batch at a time. HintStore shorten the time
until a returning peer knows what is urgent; nothing rests on them alone, since peers also pull from one
another.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

import structlog

from ..rpc.errors import RpcError
from ..rpc.generated.ttypes import Entry, PushRequest
from .connection import Connection
from .hints import HintStore

log = structlog.get_logger()
MOST_HINTS = 5000  # a peer; some times the runners of a large deployment
BATCH = 200  # entries in one handover, about 50 kB
PACE_S = 0.05  # between two batches to one peer
RETRY_S = 0.5  # between two attempts at peers that hints are kept for
HANDOVER_TIMEOUT_S = 1.0


class HintedHandoff:
    """Pushes to the peers that `peers` names (rpc addresses of the live control processes, the own one left
    out).
    """

    def __init__(
        self,
        connect: Callable[[str], Connection],
        peers: Callable[[], Sequence[str]],
        *,
        node_name: str = "",
        most_hints: int = MOST_HINTS,
    ) -> None:
        self._connect = connect
        self._peers = peers
        self._node_name = node_name
        self._callers: dict[str, Connection] = {}
        self._under_way: set[asyncio.Task[bool]] = set()
        self.hints = HintStore(most_hints)

    async def replicate(
        self,
        entries: Sequence[Entry],
        timeout: float,
        enough: Callable[[set[str]], bool] = lambda taken: False,
    ) -> set[str]:
        """The peers that have the entries, once `enough` says so of them, all have answered, or after
        `timeout` seconds. The others are pushed to meanwhile and, should that fail, get a hint.
        """
        pushes = {
            asyncio.ensure_future(self._push_or_keep(peer, entries, timeout)): peer for peer in self._peers()
        }
        self._under_way.update(pushes)
        taken: set[str] = set()
        waiting = set(pushes)
        while waiting and not enough(taken):
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            taken.update(pushes[push] for push in done if push.result())
        return taken

    async def run(self) -> None:
        """Hands hints over until it is cancelled."""
        try:
            while True:
                await asyncio.sleep(RETRY_S)
                await self.hand_over()
        finally:
            self.close()

    async def hand_over(self) -> None:
        """Gives live peers what is kept for them; closes connections to those that are no peers any more."""
        live = set(self._peers())
        for address in set(self._callers) - live:
            self._callers.pop(address).close()
        waiting = [peer for peer in self.hints.peers() if peer in live]
        await asyncio.gather(*(self._hand_to(peer) for peer in waiting))

    def close(self) -> None:
        """Ends the connections, and pushes that are under way."""
        for push in list(self._under_way):
            push.cancel()
        for caller in self._callers.values():
            caller.close()
        self._callers.clear()

    async def _hand_to(self, peer: str) -> None:
        while batch := self.hints.first(peer, BATCH):
            if not await self._push(peer, batch, HANDOVER_TIMEOUT_S, logging.DEBUG):
                return
            self.hints.delivered(peer, batch)
            await asyncio.sleep(PACE_S)

    async def _push_or_keep(self, peer: str, entries: Sequence[Entry], timeout: float) -> bool:
        task = asyncio.current_task()
        try:
            taken = await self._push(peer, entries, timeout)
        finally:
            self._under_way.discard(task)  # type: ignore[arg-type]  # we run as one of these
        if not taken:
            self.hints.keep(peer, entries)
        return taken

    async def _push(
        self, peer: str, entries: Sequence[Entry], timeout: float, level: int = logging.INFO
    ) -> bool:
        if peer not in self._callers:
            self._callers[peer] = self._connect(peer)
        request = PushRequest(node_name=self._node_name, entries=list(entries))
        try:
            await self._callers[peer].call("push", request, timeout)
        except RpcError as error:
            log.log(level, "handoff.failed", address=peer, count=len(entries), error=str(error))
            return False
        return True
