"""Control processes that answer as a test says, reached without sockets, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from larchgw.distribution.pull_service import PullService
from larchgw.distribution.registry import Registry
from larchgw.rpc.errors import RpcConnectionError, RpcTimeoutError, RpcUnavailableError
from larchgw.rpc.generated.ttypes import Unavailable


class ScriptedPeer:
    """One control process: a registry and its pull service, and the faults that a test injects.

    Attributes:
        is_down: Calls fail at once.
        is_hung: Calls get no answer.
        is_isolated: Its replies say that it is cut off from the majority.
        control_addresses: The control processes that its replies name.
        calls: When which method was called.
        arguments: Of these calls.
        connections: How many are open to it.
    """

    def __init__(self, name: str, incarnation: int = 1) -> None:
        self.name = name
        self.is_down = False
        self.is_hung = False
        self.is_isolated = False
        self.control_addresses: list[str] = []
        self.calls: list[tuple[float, str]] = []
        self.arguments: list[Any] = []
        self.connections = 0
        self.start(incarnation)

    def start(self, incarnation: int) -> None:
        """Begins a new incarnation, with nothing known."""
        self.registry = Registry(f"{self.name}.{incarnation}")
        self.service = PullService(self.registry, lambda: self.is_isolated, lambda: self.control_addresses)

    async def answer(self, method: str, argument: Any, timeout_s: float) -> Any:
        """Answers a call, or fails as the injected fault says."""
        self.calls.append((now(), method))
        self.arguments.append(argument)
        if self.is_down:
            raise RpcConnectionError(f"{self.name} is down", was_sent=False)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await getattr(self.service, method)(argument)
                await self._while_hung()
                return reply
        except TimeoutError:
            raise RpcTimeoutError(f"{self.name} took too long") from None
        except Unavailable as error:
            raise RpcUnavailableError(self.name, method, error.reason, error.remedy) from None

    async def _while_hung(self) -> None:
        """A process that hangs sends no answer, also to what it was asked before."""
        while self.is_hung:
            await asyncio.sleep(0.01)


class ScriptedConnection:
    """A connection to a peer, as distribution.connection.Connection."""

    def __init__(self, peer: ScriptedPeer) -> None:
        self.peer = peer
        peer.connections += 1

    async def call(self, method: str, argument: Any, timeout_s: float) -> Any:
        return await self.peer.answer(method, argument, timeout_s)

    def close(self) -> None:
        self.peer.connections -= 1


def connect_to(peers: Sequence[ScriptedPeer]) -> Callable[[str], ScriptedConnection]:
    """Returns what opens connections to these peers by their names."""
    by_name = {peer.name: peer for peer in peers}
    return lambda address: ScriptedConnection(by_name[address])


def now() -> float:
    """Virtual seconds."""
    return asyncio.get_running_loop().time()
