"""A hollow deployment for `larchgw lab distribution`.

Its processes have registries, directories, pullers and pull services, and nothing else.

They run in virtual time; messages are encoded and decoded as on sockets, and delivered after a delay.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from thrift.Thrift import TMessageType

from ..distribution.peer_pullers import PeerPullers
from ..distribution.pull_service import PullService
from ..distribution.pull_settings import PullSettings
from ..distribution.puller import Puller
from ..distribution.registry import Registry
from ..identifiers import RunnerId
from ..rpc.codec import decode_message, encode_message
from ..rpc.errors import RpcConnectionError, RpcTimeoutError
from ..rpc.generated import Control
from ..rpc.generated.ttypes import Entry
from ..runner_directory.directory import RunnerDirectory
from ..runner_directory.runner_record import HeldModel, RunnerRecord
from ..runner_directory.runner_view import RunnerView

BEAT_S = 1.2
ONE_WAY_S = 0.001  # between machines
ADAPTERS_A_MODEL = 22


@dataclass(frozen=True, slots=True)
class Size:
    """A deployment, and what changes in it."""

    dispatchers: int = 490
    indexed: int = 20  # of them, with a view of runners; the others only keep entries, to spare memory
    control: int = 15
    runners: int = 1400
    adapters: int = 60_000
    configuration_bytes: int = 100_000
    configurations_a_day: float = 720.0
    loads_an_hour: float = 3000.0
    restarts_a_day: float = 340.0


@dataclass(slots=True)
class Meter:
    """What one dispatcher sent, received and computed."""

    sent: int = 0
    received: int = 0
    calls: int = 0
    seconds: float = 0.0

    def minus(self, before: Meter) -> Meter:
        return Meter(
            self.sent - before.sent,
            self.received - before.received,
            self.calls - before.calls,
            self.seconds - before.seconds,
        )


class MeteredRegistry(Registry):
    """Counts the time that merging takes, watchers included."""

    def __init__(self, origin: str, meter: Meter) -> None:
        super().__init__(origin)
        self._meter = meter

    def merge(self, entries: Sequence[Entry]) -> list[Entry]:
        began = time.process_time()
        try:
            return super().merge(entries)
        finally:
            self._meter.seconds += time.process_time() - began


@dataclass(slots=True)
class ControlProcess:
    """A hollow control process."""

    name: str
    registry: Registry
    service: PullService
    directory: RunnerDirectory
    down: bool = False


class MeteredCaller:
    """A connection to a control process; messages take their whole way through the codec."""

    def __init__(self, peer: ControlProcess, meter: Meter) -> None:
        self._peer = peer
        self._meter = meter

    async def call(self, method: str, argument: Any, timeout_s: float) -> Any:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, argument)
        except TimeoutError:
            raise RpcTimeoutError(f"{self._peer.name} is silent") from None

    def close(self) -> None:
        """Nothing is open."""

    async def _exchange(self, method: str, argument: Any) -> Any:
        frame = self._count(
            lambda: encode_message(method, TMessageType.CALL, 1, getattr(Control, method + "_args")(argument))
        )
        self._meter.sent += len(frame)
        self._meter.calls += 1
        await asyncio.sleep(ONE_WAY_S)
        if self._peer.down:
            raise RpcConnectionError(f"{self._peer.name} is down", was_sent=False)
        asked = decode_message(frame[4:]).body.request
        result = getattr(Control, method + "_result")()
        result.success = await getattr(self._peer.service, method)(asked)
        answer = encode_message(method, TMessageType.REPLY, 1, result)
        if self._peer.down:
            raise RpcConnectionError(f"{self._peer.name} went down")
        await asyncio.sleep(ONE_WAY_S)
        self._meter.received += len(answer)
        return self._count(lambda: decode_message(answer[4:])).body.success

    def _count(self, action: Callable[[], Any]) -> Any:
        began = time.process_time()
        answer = action()
        self._meter.seconds += time.process_time() - began
        return answer


@dataclass(slots=True)
class Deployment:
    """All processes of a run."""

    size: Size
    seed: int
    dice: random.Random
    control: list[ControlProcess] = field(default_factory=list)
    meters: list[Meter] = field(default_factory=list)
    registries: list[Registry] = field(default_factory=list)
    pullers: list[Puller] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    runners: list[RunnerRecord] = field(default_factory=list)
    arrivals: dict[tuple[str, int], list[float]] = field(default_factory=dict)  # (key, major) -> when

    def start(self) -> None:
        names = [f"control{number}" for number in range(self.size.control)]
        self.control = [self._control(name, names) for name in names]
        for number in range(self.size.dispatchers):
            self._dispatcher(number, names)
        for puller in self._peer_pullers(names):
            self.tasks.append(asyncio.ensure_future(puller.run()))
        self.runners = [self._runner(number) for number in range(self.size.runners)]

    def _control(self, name: str, names: list[str]) -> ControlProcess:
        registry = Registry(f"{name}.1")
        loop = asyncio.get_running_loop()
        directory = RunnerDirectory(registry, loop.time, BEAT_S, registry.origin)
        return ControlProcess(name, registry, PullService(registry, lambda: False, lambda: names), directory)

    def _dispatcher(self, number: int, names: list[str]) -> None:
        meter, loop = Meter(), asyncio.get_running_loop()
        registry = MeteredRegistry(f"edge{number}.1", meter)
        if number < self.size.indexed:
            RunnerView(registry, loop.time)
        registry.watch("", lambda entry: self._arrived(entry, loop.time()))
        dice = random.Random(self.seed * 10_007 + number)
        puller = Puller(
            registry,
            self._connect(meter),
            lambda: names[:3],
            PullSettings(),
            dice,
            node_name=f"edge{number}",
            clock=loop.time,
        )
        self.meters.append(meter)
        self.registries.append(registry)
        self.pullers.append(puller)
        self.tasks.append(asyncio.ensure_future(puller.run()))

    def _peer_pullers(self, names: list[str]) -> Iterator[PeerPullers]:
        for one in self.control:
            others = [name for name in names if name != one.name]
            yield PeerPullers(
                one.registry,
                self._connect(Meter()),
                partial(list, others),
                PullSettings(),
                random.Random(self.seed),
                node_name=one.name,
                clock=asyncio.get_running_loop().time,
            )

    def _connect(self, meter: Meter) -> Callable[[str], MeteredCaller]:
        by_name = {one.name: one for one in self.control}
        return lambda address: MeteredCaller(by_name[address], meter)

    def _arrived(self, entry: Entry, now: float) -> None:
        self.arrivals.setdefault((entry.key, entry.major), []).append(now)

    def _runner(self, number: int) -> RunnerRecord:
        models = self.size.adapters // self.size.runners // ADAPTERS_A_MODEL + 1
        held = tuple(self.model() for _ in range(models))
        return RunnerRecord(
            RunnerId(f"i-{number:05x}"),
            f"service{number % 20}",
            f"10.0.0.9:{1000 + number}",
            f"zone{number % 6}",
            slots=64,
            config_version="v1",
            phase="both",
            models=held,
        )

    def model(self) -> HeldModel:
        return HeldModel(
            f"model{self.dice.randrange(3000):06}",
            1,
            tuple(f"a{number}" for number in range(ADAPTERS_A_MODEL)),
        )
