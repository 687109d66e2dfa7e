"""Control processes that answer as a test says, reached without sockets, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from larchgw.distribution.pull_service import PullService
from larchgw.distribution.registry import Registry
from larchgw.rpc.errors import RpcConnectionError, RpcTimeoutError


class Peer:
    """One control process: a registry and its pull service, and what is wrong with it."""

    def __init__(self, name: str, life: int = 1) -> None:
        self.name = name
        self.down = False
        self.hung = False
        self.isolated = False
        self.known: list[str] = []
        self.calls: list[tuple[float, str]] = []
        self.arguments: list[Any] = []
        self.connections = 0
        self.start(life)

    def start(self, life: int) -> None:
        """A new life, with nothing known."""
        self.registry = Registry(f"{self.name}.{life}")
        self.service = PullService(self.registry, lambda: self.isolated, lambda: self.known)

    async def answer(self, method: str, argument: Any, timeout_s: float) -> Any:
        self.calls.append((now(), method))
        self.arguments.append(argument)
        if self.down:
            raise RpcConnectionError(f"{self.name} is down", was_sent=False)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await getattr(self.service, method)(argument)
                await self._while_hung()
                return reply
        except TimeoutError:
            raise RpcTimeoutError(f"{self.name} took too long") from None

    async def _while_hung(self) -> None:
        """A process that hangs sends no answer, also to what it was asked before."""
        while self.hung:
            await asyncio.sleep(0.01)


class Connection:
    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        peer.connections += 1

    async def call(self, method: str, argument: Any, timeout_s: float) -> Any:
        return await self.peer.answer(method, argument, timeout_s)

    def close(self) -> None:
        self.peer.connections -= 1


def connecting(peers: Sequence[Peer]) -> Callable[[str], Connection]:
    by_name = {peer.name: peer for peer in peers}
    return lambda address: Connection(by_name[address])


def now() -> float:
    return asyncio.get_running_loop().time()
