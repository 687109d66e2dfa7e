"""Processes that speak the membership protocol over a network of datagrams, in virtual time."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from ..identifiers import RpcAddress
from ..membership.member import Member, Role
from ..membership.settings import SwimSettings
from ..membership.swim import Datagram, Swim

TICK = 0.1  # seconds, as the transport's
RECEIVE_QUEUE = 200  # datagrams that a socket holds for a process that does not read


@dataclass(slots=True)
class Link:
    """How datagrams fare. Times are seconds, the others shares of all datagrams."""

    delay: float = 0.001
    spread: float = 0.001  # a further delay, evenly drawn, so that datagrams overtake each other
    loss: float = 0.0
    duplicates: float = 0.0


@dataclass(slots=True)
class Process:
    """One process; `running` is false once it was killed."""

    swim: Swim
    running: bool = True
    frozen: bool = False
    queue: deque[tuple[str, bytes]] = field(default_factory=lambda: deque(maxlen=RECEIVE_QUEUE))
    datagrams: int = 0
    bytes: int = 0


class DatagramNetwork:
    """All processes, and the events to come."""

    def __init__(self, seed: int, link: Link | None = None, settings: SwimSettings | None = None) -> None:
        self.now = 100.0
        self.link = link or Link()
        self.processes: dict[str, Process] = {}
        self.changes: list[tuple[float, str, Member]] = []  # time, who noticed, what
        self.lost_paths: set[tuple[str, str]] = set()  # one way, from and to
        self.kinds: Counter[int] = Counter()
        self._settings = settings or SwimSettings()
        self._random = Random(seed)
        self._sides: dict[str, int] = {}
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def start(
        self,
        address: str,
        role: Role,
        seeds: Iterable[str],
        delay: float = 0.0,
        address_rpc: str = "",
        clock_error: float = 0.0,
    ) -> Swim:
        """A process that starts `delay` from now, in place of an earlier one at its address.

        Its time of day, from which it takes its incarnation, is wrong by `clock_error` seconds.
        """
        name = f"{role}-{address}"
        incarnation = int((self.now + delay + clock_error) * 1000)
        me = Member(name, address, role, incarnation, "zone-a", RpcAddress(address_rpc))
        swim = Swim(me, self._settings, Random(self._random.random()))
        swim.join(list(seeds))
        swim.on_change = lambda member: self.changes.append((self.now, address, member))
        process = Process(swim)
        self.at(self.now + delay, lambda: self._boot(address, process))
        return swim

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Does something at a time to come."""
        heappush(self._events, (time, next(self._numbers), action))

    def run(self, seconds: float) -> None:
        """Lets so much time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heappop(self._events)
            action()
        self.now = end

    def kill(self, address: str) -> None:
        """It ends without a word."""
        self.processes[address].running = False

    def leave(self, address: str) -> None:
        """It ends by plan."""
        process = self.processes[address]
        self._send(address, process, process.swim.leave(self.now))
        process.running = False

    def freeze(self, address: str, seconds: float) -> None:
        """It does not run; what is sent to it waits at its socket."""
        self.processes[address].frozen = True
        self.at(self.now + seconds, lambda: self._thaw(address))

    def part(self, *sides: Iterable[str]) -> None:
        """Cuts the sides from each other; no sides heal all cuts."""
        self._sides = {address: number for number, side in enumerate(sides) for address in side}

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        """A datagram arrives."""
        process = self.processes.get(to)
        if process is None or not process.running:
            return
        if process.frozen:
            process.queue.append((sender, data))
            return
        self._send(to, process, process.swim.receive(self.now, sender, data))

    def _boot(self, address: str, process: Process) -> None:
        if address in self.processes:
            self.kill(address)
        self.processes[address] = process
        self._tick(address, process)

    def _tick(self, address: str, process: Process) -> None:
        if not process.running:
            return
        if not process.frozen:
            self._send(address, process, process.swim.tick(self.now))
        self.at(self.now + TICK, lambda: self._tick(address, process))

    def _thaw(self, address: str) -> None:
        process = self.processes[address]
        process.frozen = False
        while process.queue and process.running:
            sender, data = process.queue.popleft()
            self.deliver(sender, address, data)

    def _send(self, address: str, process: Process, datagrams: Iterable[Datagram]) -> None:
        for datagram in datagrams:
            process.datagrams += 1
            process.bytes += len(datagram.data)
            self.kinds[datagram.data[3]] += 1
            if not self._cut(address, datagram.address):
                self._carry(address, datagram)

    def _cut(self, sender: str, to: str) -> bool:
        return (sender, to) in self.lost_paths or self._sides.get(sender) != self._sides.get(to)

    def _carry(self, sender: str, datagram: Datagram) -> None:
        copies = 2 if self._random.random() < self.link.duplicates else 1
        for _ in range(copies):
            if self._random.random() < self.link.loss:
                continue
            delay = self.link.delay + self._random.uniform(0.0, self.link.spread)
            self.at(self.now + delay, lambda: self.deliver(sender, datagram.address, datagram.data))
