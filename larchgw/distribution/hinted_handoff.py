"""Hinted handoff: urgent entries are at other control processes before they are acknowledged.

`HintedHandoff.replicate` pushes entries to every peer and returns those that have them, without waiting for
the slowest once there is a quorum. What a peer did not accept is kept as a hint, and handed over by `run` in
batches when the peer answers again. Hints shorten the time until a returning peer knows what is urgent; no
guarantee depends on them, since peers also pull from one another.

Source: DeCandia and others, "Dynamo", SOSP 2007, section 4.6.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

import structlog

from ..rpc.errors import RpcError
from ..rpc.generated.ttypes import Entry, PushRequest
from .connection import Connect, Connection
from .hints import HintStore

log = structlog.get_logger()
MAX_HINTS_PER_PEER = 5000  # some times the runners of a large deployment
BATCH_ENTRIES = 200  # in one handover, about 50 kB
BATCH_PAUSE_S = 0.05  # between two batches to one peer
HANDOVER_INTERVAL_S = 0.5  # between two attempts at peers that hints are kept for
HANDOVER_TIMEOUT_S = 1.0


class HintedHandoff:
    """Pushes urgent entries to the other control processes.

    Attributes:
        hints: Entries that peers did not accept.
    """

    def __init__(
        self,
        connect: Connect,
        peers: Callable[[], Sequence[str]],
        *,
        node_name: str = "",
        max_hints: int = MAX_HINTS_PER_PEER,
    ) -> None:
        """Creates it without connections; `run` hands hints over.

        Args:
            connect: Opens a connection to an address.
            peers: Gives the rpc addresses of the other live control processes.
            node_name: Name of this process, for the logs of the processes that answer.
            max_hints: How many entries are kept for one peer.
        """
        self._connect = connect
        self._peers = peers
        self._node_name = node_name
        self._connections: dict[str, Connection] = {}
        self._pushes: set[asyncio.Task[bool]] = set()  # of `replicate`, in flight
        self.hints = HintStore(max_hints)

    async def replicate(
        self,
        entries: Sequence[Entry],
        timeout_s: float,
        quorum_reached: Callable[[set[str]], bool] = lambda accepted_by: False,
    ) -> set[str]:
        """Pushes entries to all peers.

        Args:
            entries: What to push.
            timeout_s: How long one push may take.
            quorum_reached: Whether the peers that have the entries by now are enough.

        Returns:
            The peers that have the entries, once `quorum_reached` says so of them, all have answered, or
            after `timeout_s`. The others are pushed to meanwhile and, should that fail, get a hint.
        """
        pushes = {
            asyncio.ensure_future(self._push_or_keep_hint(peer, entries, timeout_s)): peer
            for peer in self._peers()
        }
        self._pushes.update(pushes)
        accepted_by: set[str] = set()
        pending = set(pushes)
        while pending and not quorum_reached(accepted_by):
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            accepted_by.update(pushes[push] for push in done if push.result())
        return accepted_by

    async def run(self) -> None:
        """Hands hints over until it is cancelled."""
        try:
            while True:
                await asyncio.sleep(HANDOVER_INTERVAL_S)
                await self.hand_over()
        finally:
            self.close()

    async def hand_over(self) -> None:
        """Pushes hints to the peers that are live; closes connections to former peers."""
        live = set(self._peers())
        for address in set(self._connections) - live:
            self._connections.pop(address).close()
        reachable = [peer for peer in self.hints.peers() if peer in live]
        await asyncio.gather(*(self._hand_over_to(peer) for peer in reachable))

    def close(self) -> None:
        """Closes the connections, and cancels pushes that are in flight."""
        for push in list(self._pushes):
            push.cancel()
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def _hand_over_to(self, peer: str) -> None:
        while batch := self.hints.oldest(peer, BATCH_ENTRIES):
            if not await self._push(peer, batch, HANDOVER_TIMEOUT_S, logging.DEBUG):
                return
            self.hints.remove_delivered(peer, batch)
            await asyncio.sleep(BATCH_PAUSE_S)

    async def _push_or_keep_hint(self, peer: str, entries: Sequence[Entry], timeout_s: float) -> bool:
        task = asyncio.current_task()
        try:
            is_accepted = await self._push(peer, entries, timeout_s)
        finally:
            self._pushes.discard(task)  # type: ignore[arg-type]  # we run as one of these
        if not is_accepted:
            self.hints.add(peer, entries)
        return is_accepted

    async def _push(
        self, peer: str, entries: Sequence[Entry], timeout_s: float, failure_level: int = logging.INFO
    ) -> bool:
        if peer not in self._connections:
            self._connections[peer] = self._connect(peer)
        request = PushRequest(node_name=self._node_name, entries=list(entries))
        try:
            await self._connections[peer].call("push", request, timeout_s)
        except RpcError as error:
            log.log(failure_level, "handoff.failed", address=peer, count=len(entries), error=str(error))
            return False
        return True
