"""A network between modelled processes, for `larchgw explore check-ins`: calls are delayed, held up by cuts
and freezes, or lost with the process that was to answer. In virtual time, without sockets.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any, Protocol

from ...rpc.errors import RpcConnectionError, RpcTimeoutError

FASTEST_S, SLOWEST_S = 0.001, 0.04  # one way


class Service(Protocol):
    """A process that answers calls. `life` changes with each start."""

    incarnation: int
    running: bool

    async def serve(self, method: str, argument: Any) -> Any:
        """The answer to a call."""


class Network:
    """Links between named processes. What a cut or a freeze holds up arrives once that is over."""

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source
        self._services: dict[str, Service] = {}
        self._cut: set[tuple[str, str]] = set()  # (sender, receiver)
        self._frozen: set[str] = set()
        self._changed = asyncio.Event()

    def add(self, name: str, service: Service) -> None:
        """The process that answers under this name."""
        self._services[name] = service

    def cut(self, senders: set[str], receivers: set[str]) -> None:
        """Nothing of these senders reaches these receivers any more."""
        self._cut |= {(one, other) for one in senders for other in receivers if one != other}

    def freeze(self, name: str) -> None:
        """The process neither hears nor says anything."""
        self._frozen.add(name)

    def heal(self, name: str) -> None:
        """Ends all cuts and freezes of this process."""
        self._cut = {link for link in self._cut if name not in link}
        self._frozen.discard(name)
        self._changed.set()
        self._changed = asyncio.Event()

    def is_frozen(self, name: str) -> bool:
        """Whether the process does not run."""
        return name in self._frozen

    def passes(self, sender: str, receiver: str) -> bool:
        """Whether a message arrives now."""
        return (sender, receiver) not in self._cut and not {sender, receiver} & self._frozen

    def connected(self, one: str, other: str) -> bool:
        """Whether both run and messages pass both ways."""
        return (
            self._services[one].running
            and self._services[other].running
            and self.passes(one, other)
            and self.passes(other, one)
        )

    async def call(self, sender: str, receiver: str, method: str, argument: Any, timeout_s: float) -> Any:
        """The answer. Raises RpcError."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(sender, receiver, method, argument)
        except TimeoutError:
            raise RpcTimeoutError(f"{receiver} is silent") from None

    async def _exchange(self, sender: str, receiver: str, method: str, argument: Any) -> Any:
        service = self._services[receiver]
        incarnation = service.incarnation
        await self._travel(sender, receiver)
        self._check_incarnation(service, incarnation, receiver)
        # The one called goes on though its caller gives up, as on sockets.
        answer = await asyncio.shield(asyncio.ensure_future(service.serve(method, argument)))
        await self._travel(receiver, sender)
        self._check_incarnation(service, incarnation, receiver)
        return answer

    async def _travel(self, sender: str, receiver: str) -> None:
        await asyncio.sleep(self._random_source.uniform(FASTEST_S, SLOWEST_S))
        while not self.passes(sender, receiver):
            await self._changed.wait()

    def _check_incarnation(self, service: Service, incarnation: int, name: str) -> None:
        if not service.running or service.incarnation != incarnation:
            raise RpcConnectionError(f"{name} ended")


class Connection:
    """What a process calls another one by; a distribution.connection.Connection."""

    def __init__(self, network: Network, sender: str, receiver: str) -> None:
        self._network, self._sender, self._receiver = network, sender, receiver

    async def call(self, method: str, argument: Any, timeout_s: float) -> Any:
        """See distribution.connection.Connection."""
        return await self._network.call(self._sender, self._receiver, method, argument, timeout_s)

    def close(self) -> None:
        """Nothing is kept open."""
