"""Hinted handoff: pushes urgent entries to other control processes before they are acknowledged.

`HintedHandoff.replicate` pushes entries to every peer, stores them on the disk of this process, and returns
who has them, without waiting for the slowest once there is a quorum. Entries that a peer did not accept are
stored as hints, and `run` delivers them in batches when the peer answers again. Hints let a returning peer
learn urgent entries sooner; no guarantee depends on them, because peers also pull from one another.

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
from .durable_entries import DurableEntries
from .hints import HintStore

log = structlog.get_logger()
MAX_HINTS_PER_PEER = 5000  # several times the number of runners of a large deployment
BATCH_ENTRIES = 200  # per push, about 50 kB
BATCH_PAUSE_S = 0.05  # between two batches to one peer
HANDOVER_INTERVAL_S = 0.5  # between two attempts to deliver hints
HANDOVER_TIMEOUT_S = 1.0
LOCAL_COPY = ""  # in the result of `replicate`: this process itself


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
        durable_entries: DurableEntries | None = None,
    ) -> None:
        """Creates it without connections; `run` delivers hints.

        Args:
            connect: Opens a connection to an address.
            peers: Returns the RPC addresses of the other live control processes.
            node_name: Name of this process, for the logs of the called processes.
            max_hints: Maximum number of entries stored for one peer.
            durable_entries: Stores the entries on the disk of this process; None if it has none.
        """
        self._connect = connect
        self._peers = peers
        self._node_name = node_name
        self._durable_entries = durable_entries
        self._connections: dict[str, Connection] = {}
        self._pushes: set[asyncio.Task[bool]] = set()  # started by `replicate` and still in flight
        self.hints = HintStore(max_hints)

    async def replicate(
        self,
        entries: Sequence[Entry],
        timeout_s: float,
        quorum_reached: Callable[[set[str]], bool] = lambda accepted_by: False,
    ) -> set[str]:
        """Pushes entries to all peers, and stores them on the disk of this process meanwhile.

        Args:
            entries: The entries to push; this process has them in its registry.
            timeout_s: Timeout of each push, and of storing them.
            quorum_reached: Whether those that have accepted the entries so far are sufficient.

        Returns:
            The peers that have accepted the entries, and LOCAL_COPY if this process has stored them, as soon
            as `quorum_reached` is true for them, all have answered, or `timeout_s` has passed. The remaining
            pushes continue in the background, and a hint is stored for each one that fails.
        """
        pushes = {
            asyncio.ensure_future(self._push_or_keep_hint(peer, entries, timeout_s)): peer
            for peer in self._peers()
        }
        if self._durable_entries is not None:
            storing = self._store(self._durable_entries, entries, timeout_s)
            pushes[asyncio.ensure_future(storing)] = LOCAL_COPY
        self._pushes.update(pushes)
        for push in pushes:
            push.add_done_callback(self._pushes.discard)
        accepted_by: set[str] = set()
        pending = set(pushes)
        while pending and not quorum_reached(accepted_by):
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            accepted_by.update(pushes[push] for push in done if push.result())
        return accepted_by

    async def run(self) -> None:
        """Delivers hints periodically until cancelled."""
        try:
            while True:
                await asyncio.sleep(HANDOVER_INTERVAL_S)
                await self.hand_over()
        finally:
            self.close()

    async def hand_over(self) -> None:
        """Pushes stored hints to live peers; closes connections to former peers."""
        live = set(self._peers())
        for address in set(self._connections) - live:
            self._connections.pop(address).close()
        reachable = [peer for peer in self.hints.peers() if peer in live]
        await asyncio.gather(*(self._hand_over_to(peer) for peer in reachable))

    def close(self) -> None:
        """Closes the connections and cancels pushes in flight."""
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

    async def _store(self, store: DurableEntries, entries: Sequence[Entry], timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                return await store.make_durable(entries)
        except TimeoutError:
            return False

    async def _push_or_keep_hint(self, peer: str, entries: Sequence[Entry], timeout_s: float) -> bool:
        is_accepted = await self._push(peer, entries, timeout_s)
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
