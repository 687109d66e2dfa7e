"""The network between simulated processes: calls in virtual time, without sockets.

A call is delayed both ways, held up by partitions and frozen processes, or lost with the process that was to
reply.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ...identifiers import RunnerId
from ...rpc.errors import RpcConnectionError, RpcTimeoutError
from ...rpc.generated.ttypes import PullReply, PullRequest, PushReply, PushRequest
from ...runner_directory.runner_record import Stage

DELAY_RANGE_S = (0.001, 0.04)  # one way


@dataclass(frozen=True, slots=True)
class RunnerCall:
    """A check-in of a runner, or its Leave.

    Attributes:
        runner: The caller.
        body: Of the check-in, JSON.
        stage: What the runner reports itself to be; GONE makes the call a Leave.
    """

    runner: RunnerId
    body: bytes
    stage: Stage


Argument: TypeAlias = PullRequest | PushRequest | RunnerCall
Reply: TypeAlias = PullReply | PushReply | bool
"""Of a RunnerCall: whether it is acknowledged."""


class Service(Protocol):
    """A process that replies to calls.

    Attributes:
        incarnation: Another one with each start.
        is_running: Whether the process runs.
    """

    incarnation: int
    is_running: bool

    async def serve(self, argument: Argument) -> Reply:
        """Serves one call."""


class Network:
    """Links between named processes. What a partition or a freeze holds up arrives once that is over."""

    def __init__(self, random_source: random.Random) -> None:
        """Takes the source of delays."""
        self._random_source = random_source
        self._services: dict[str, Service] = {}
        self._cut_links: set[tuple[str, str]] = set()  # sender and receiver
        self._frozen: set[str] = set()
        self._changed = asyncio.Event()

    def add(self, name: str, service: Service) -> None:
        """Adds the process that replies under this name."""
        self._services[name] = service

    def cut(self, senders: Collection[str], receivers: Collection[str]) -> None:
        """Holds up all that these senders send to these receivers from now on."""
        links = ((sender, receiver) for sender in senders for receiver in receivers)
        self._cut_links.update(link for link in links if link[0] != link[1])

    def freeze(self, name: str) -> None:
        """Lets the process neither receive nor send anything."""
        self._frozen.add(name)

    def heal(self, name: str) -> None:
        """Ends all partitions and freezes of this process."""
        self._cut_links = {link for link in self._cut_links if name not in link}
        self._frozen.discard(name)
        self._changed.set()
        self._changed = asyncio.Event()

    def is_frozen(self, name: str) -> bool:
        """Returns whether the process stands still."""
        return name in self._frozen

    def is_open(self, sender: str, receiver: str) -> bool:
        """Returns whether a message would arrive now."""
        return (sender, receiver) not in self._cut_links and not {sender, receiver} & self._frozen

    def is_connected(self, process: str, peer: str) -> bool:
        """Returns whether both run and messages pass both ways."""
        are_running = self._services[process].is_running and self._services[peer].is_running
        return are_running and self.is_open(process, peer) and self.is_open(peer, process)

    async def call(self, sender: str, receiver: str, argument: Argument, timeout_s: float) -> Reply:
        """Calls a process.

        Raises:
            RpcTimeoutError: No reply came in time.
            RpcConnectionError: The called process has ended meanwhile.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(sender, receiver, argument)
        except TimeoutError as error:
            raise RpcTimeoutError(f"{receiver}: no reply in {timeout_s} s") from error

    async def _exchange(self, sender: str, receiver: str, argument: Argument) -> Reply:
        service = self._services[receiver]
        incarnation = service.incarnation
        await self._transfer(sender, receiver)
        self._check_incarnation(service, incarnation, receiver)
        # The called process goes on though its caller gives up, as over sockets.
        reply = await asyncio.shield(asyncio.ensure_future(service.serve(argument)))
        await self._transfer(receiver, sender)
        self._check_incarnation(service, incarnation, receiver)
        return reply

    async def _transfer(self, sender: str, receiver: str) -> None:
        await asyncio.sleep(self._random_source.uniform(*DELAY_RANGE_S))
        while not self.is_open(sender, receiver):
            await self._changed.wait()

    def _check_incarnation(self, service: Service, incarnation: int, name: str) -> None:
        if not service.is_running or service.incarnation != incarnation:
            raise RpcConnectionError(f"{name} ended")


class SimulatedConnection:
    """One process's connection to another one; see distribution.connection.Connection."""

    def __init__(self, network: Network, sender: str, receiver: str) -> None:
        """Takes the names of the process that calls and of the one that is called."""
        self._network, self._sender, self._receiver = network, sender, receiver

    async def call(self, method: str, argument: Argument, timeout_s: float) -> Reply:
        """Calls the process; the type of the argument says which method."""
        return await self._network.call(self._sender, self._receiver, argument, timeout_s)

    def close(self) -> None:
        """Does nothing: no connection is kept open."""
