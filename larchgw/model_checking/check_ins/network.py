"""The network between simulated processes: calls in virtual time, without sockets.

A call and its reply are delayed. Partitions and frozen processes block them until the fault ends. A call
fails if the called process ends.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ...identifiers import RunnerId
from ...rpc.errors import RpcConnectionError, RpcTimeoutError, RpcUnavailableError
from ...rpc.generated.ttypes import PullReply, PullRequest, PushReply, PushRequest, Unavailable
from ...runner_directory.runner_record import Stage

DELAY_RANGE_S = (0.001, 0.04)  # one way


@dataclass(frozen=True, slots=True)
class RunnerCall:
    """A check-in or a Leave of a runner.

    Attributes:
        runner: The caller.
        body: Body of the check-in, in JSON.
        stage: Stage that the runner reports; GONE makes the call a Leave.
    """

    runner: RunnerId
    body: bytes
    stage: Stage


Argument: TypeAlias = PullRequest | PushRequest | RunnerCall
Reply: TypeAlias = PullReply | PushReply | bool
"""The reply to a RunnerCall is a bool: whether the call is acknowledged."""


class Service(Protocol):
    """A process that serves calls.

    Attributes:
        incarnation: Changes with each start.
        is_running: Whether the process runs.
    """

    incarnation: int
    is_running: bool

    async def serve(self, argument: Argument) -> Reply:
        """Serves one call."""


class Network:
    """Links between named processes. Messages blocked by a partition or a freeze arrive after its end."""

    def __init__(self, random_source: random.Random) -> None:
        """Delays are drawn from `random_source`."""
        self._random_source = random_source
        self._services: dict[str, Service] = {}
        self._cut_links: set[tuple[str, str]] = set()  # sender and receiver
        self._frozen: set[str] = set()
        self._changed = asyncio.Event()

    def add(self, name: str, service: Service) -> None:
        """Registers the process that serves calls under this name."""
        self._services[name] = service

    def cut(self, senders: Collection[str], receivers: Collection[str]) -> None:
        """Blocks messages from these senders to these receivers from now on."""
        links = ((sender, receiver) for sender in senders for receiver in receivers)
        self._cut_links.update(link for link in links if link[0] != link[1])

    def freeze(self, name: str) -> None:
        """Blocks all messages to and from the process."""
        self._frozen.add(name)

    def heal(self, name: str) -> None:
        """Ends all partitions and freezes of this process."""
        self._cut_links = {link for link in self._cut_links if name not in link}
        self._frozen.discard(name)
        self._changed.set()
        self._changed = asyncio.Event()

    def is_frozen(self, name: str) -> bool:
        """Returns whether the process is frozen."""
        return name in self._frozen

    def is_open(self, sender: str, receiver: str) -> bool:
        """Returns whether a message can be delivered now."""
        return (sender, receiver) not in self._cut_links and not {sender, receiver} & self._frozen

    def is_connected(self, process: str, peer: str) -> bool:
        """Returns whether both processes run and messages pass in both directions."""
        are_running = self._services[process].is_running and self._services[peer].is_running
        return are_running and self.is_open(process, peer) and self.is_open(peer, process)

    async def call(self, sender: str, receiver: str, argument: Argument, timeout_s: float) -> Reply:
        """Calls a process.

        Raises:
            RpcTimeoutError: No reply came in time.
            RpcUnavailableError: The called process refuses the call.
            RpcConnectionError: The called process ended during the call.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(sender, receiver, argument)
        except TimeoutError as error:
            raise RpcTimeoutError(f"{receiver}: no reply in {timeout_s} s") from error
        except Unavailable as error:
            raise RpcUnavailableError(receiver, "call", error.reason, error.remedy) from error

    async def _exchange(self, sender: str, receiver: str, argument: Argument) -> Reply:
        service = self._services[receiver]
        incarnation = service.incarnation
        await self._transfer(sender, receiver)
        self._check_incarnation(service, incarnation, receiver)
        # As over sockets, the called process finishes its work even if the caller has timed out.
        serving = asyncio.ensure_future(service.serve(argument))
        serving.add_done_callback(_ignore_error)  # the caller may have timed out
        reply = await asyncio.shield(serving)
        await self._transfer(receiver, sender)
        self._check_incarnation(service, incarnation, receiver)
        return reply

    async def _transfer(self, sender: str, receiver: str) -> None:
        await asyncio.sleep(self._random_source.uniform(*DELAY_RANGE_S))
        while not self.is_open(sender, receiver):
            await self._changed.wait()

    def _check_incarnation(self, service: Service, incarnation: int, name: str) -> None:
        if not service.is_running or service.incarnation != incarnation:
            raise RpcConnectionError(f"{name} ended during the call")


def _ignore_error(serving: asyncio.Future[Reply]) -> None:
    if not serving.cancelled():
        serving.exception()


class SimulatedConnection:
    """One process's connection to another one; see distribution.connection.Connection."""

    def __init__(self, network: Network, sender: str, receiver: str) -> None:
        """Takes the names of the process that calls and of the one that is called."""
        self._network, self._sender, self._receiver = network, sender, receiver

    async def call(self, method: str, argument: Argument, timeout_s: float) -> Reply:
        """Calls the process; the argument's type determines the method."""
        return await self._network.call(self._sender, self._receiver, argument, timeout_s)

    def close(self) -> None:
        """Does nothing: there is no open connection."""
