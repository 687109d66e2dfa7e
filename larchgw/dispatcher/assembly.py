"""Puts a dispatcher's parts together, for the daemon and for the middleware alike."""

from __future__ import annotations

import signal

import structlog

from ..net.loop import Loop
from ..net.timers import Clock, Deadlines
from .capacity import NO_RESERVATIONS, Planner, ReservationSettings
from .capacity.report import ReservationMetrics
from .config.startup import Config, ConfigError, check_reload
from .core import Core
from .scheduling.interface import ListKind
from .workers.discovery import Discovery, ListReader
from .workers.pool import Runners

RESERVED = 64  # descriptors for the loop, listeners, discovery, logs and what closes slowly
RUNNER_SHARE = 0.4  # of the descriptors left; the clients' connections have the rest
OWN_MB = 24  # memory of the program with no request in it, and a little
BODY_SHARE = 0.2  # of the memory left
ASK_FIRST = 1.0  # seconds that discovery has at a start before the list from before the start is used
log = structlog.get_logger()


class Node:
    """Loop, core, discovery and the transport to HTTP runners."""

    def __init__(self, config: Config, room: ReservationSettings | None = None) -> None:
        self.config = config
        self.planner = Planner(config.settings, room) if room else None
        clock, deadlines = Clock(), Deadlines()
        self.loop = Loop(clock, deadlines)
        self.parts = 1  # processes that share the limits
        self.client_cap, runner_cap = _caps(config)
        self.body_cap = _body_cap(config)
        self.core = Core(
            config.settings,
            config.seed,
            clock,
            deadlines,
            2 * self.client_cap,
            self.body_cap,
            self.planner or NO_RESERVATIONS,
        )
        self.loop.counters = self.core.counters
        self._bitten: set[str] = set()
        if self.planner:
            self.core.counters.registry.register(ReservationMetrics(self.planner))
            self.planner.on_limit_reached = self._room_bound
        self.runners = Runners(self.loop, self.core, config.raw, runner_cap)
        self.stopping, self._started = False, clock.now()
        reader = ListReader(config.raw)
        self.discovery = Discovery(
            self.loop, self.core, config.discovery, reader, self.runners.locate, config.seed
        )
        if config.known is not None:
            try:
                known = reader.read(config.known)
            except ValueError as error:
                raise ConfigError(f"known: {error}") from error
            self.discovery.apply(known, ListKind.CACHED)

    def start(self) -> None:
        """Call it once all transports are added."""
        self.core.add_transport(self.runners)  # last: it also tells of boxes that nothing speaks to
        self.discovery.start()

    def _room_bound(self, name: str) -> None:
        """Once for each bound: the counter tells how often."""
        if name not in self._bitten:
            self._bitten.add(name)
            log.warning("cap.room", setting=name)

    def reload(self, config: Config) -> None:
        """Takes another configuration, or changes nothing: ConfigError for what only a start can change."""
        check_reload(self.config, config)
        self.config = config
        self.share(self.parts)
        self.core.reload(config.settings)
        self.discovery.move(config.discovery, ListReader(config.raw))

    def share(self, parts: int) -> None:
        """Keeps to its part of the limits."""
        self.parts = parts
        self.client_cap, runner_cap = _caps(self.config, parts)
        self.body_cap = _body_cap(self.config, parts)
        self.core.admit.max_open, self.core.admit.max_body_bytes = 2 * self.client_cap, self.body_cap
        self.runners.configure(self.config.raw, runner_cap)

    def ready(self) -> bool:
        """Whether new requests are welcome."""
        return (
            not self.stopping
            and self._known()
            and bool(self.core.workers.listed or self.core.workers.connected)
        )

    def _known(self) -> bool:
        """Whether the list may be used.

        What the agent of pushed lists holds counts as told from our first moment, and the list that we start
        from may be older: it serves only once the agent has been silent for a while.
        """
        if self.core.settings.must_subscribe or self.discovery.asked:
            return True
        return self.loop.clock.now() - self._started > ASK_FIRST

    def close(self) -> None:
        self.discovery.stop()
        self.runners.close()
        self.loop.close()


def _caps(config: Config, parts: int = 1) -> tuple[int, int]:
    """How many connections clients and runners may have."""
    sockets = config.sockets // parts
    free = sockets - min(RESERVED, sockets // 4)
    return int((1 - RUNNER_SHARE) * free), int(RUNNER_SHARE * free)


def _body_cap(config: Config, parts: int = 1) -> int:
    """Bytes of bodies that may be held: one such share for what is still coming in, one for open requests.

    Those of an open one are held a second time while they are written to a box; answers need as much again.
    """
    return int(max(config.memory_mb / parts - OWN_MB, 4) * BODY_SHARE * (1 << 20))


def wake_on_signals(loop: Loop) -> None:
    """Lets signals end the loop's wait; `Loop.on_signal` gets their numbers."""

    def nothing(number: int, frame: object) -> None:
        """The number comes through the pipe."""

    signal.set_wakeup_fd(loop.wake_out.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
        signal.signal(number, nothing)
