"""Assembles the components of a dispatcher, for the daemon and for the WSGI middleware."""

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
from .workers.pool import RunnerPool

RESERVED = 64  # descriptors for the loop, listeners, discovery, logs and lingering connections
RUNNER_SHARE = 0.4  # of the remaining descriptors; client connections get the rest
OWN_MB = 24  # memory of the program without requests, plus a small margin
BODY_SHARE = 0.2  # of the remaining memory
DISCOVERY_HEAD_START_S = (
    1.0  # seconds for discovery to answer at start-up before the list from the configuration is used
)
log = structlog.get_logger()


class Node:
    """The event loop, the core, discovery and the transport to HTTP runners."""

    def __init__(self, config: Config, room: ReservationSettings | None = None) -> None:
        self.config = config
        self.planner = Planner(config.settings, room) if room else None
        clock, deadlines = Clock(), Deadlines()
        self.loop = Loop(clock, deadlines)
        self.parts = 1  # number of processes that share the limits
        self.client_cap, runner_cap = _connection_limits(config)
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
        self._logged_bounds: set[str] = set()
        if self.planner:
            self.core.counters.registry.register(ReservationMetrics(self.planner))
            self.planner.on_limit_reached = self._room_bound
        self.runners = RunnerPool(self.loop, self.core, config.raw, runner_cap)
        self.stopping, self._started = False, clock.now()
        reader = ListReader(config.raw)
        self.discovery = Discovery(
            self.loop, self.core, config.discovery, reader, self.runners.set_address, config.seed
        )
        if config.known is not None:
            try:
                known = reader.read(config.known)
            except ValueError as error:
                raise ConfigError(f"known: {error}") from error
            self.discovery.apply(known, ListKind.CACHED)

    def start(self) -> None:
        """Starts discovery. Call it after all other transports have been added."""
        self.core.add_transport(
            self.runners
        )  # last, because it also reports workers that no transport reaches
        self.discovery.start()

    def _room_bound(self, name: str) -> None:
        """Logs the first time that each bound takes effect; a counter has the number of times."""
        if name not in self._logged_bounds:
            self._logged_bounds.add(name)
            log.warning("cap.room", setting=name)

    def reload(self, config: Config) -> None:
        """Applies a new configuration.

        Raises:
            ConfigError: It changes something that needs a restart; nothing has been applied.
        """
        check_reload(self.config, config)
        self.config = config
        self.share(self.parts)
        self.core.reload(config.settings)
        self.discovery.reconfigure(config.discovery, ListReader(config.raw))

    def share(self, parts: int) -> None:
        """Divides the limits by the number of processes that share them."""
        self.parts = parts
        self.client_cap, runner_cap = _connection_limits(self.config, parts)
        self.body_cap = _body_cap(self.config, parts)
        self.core.admit.max_open, self.core.admit.max_body_bytes = 2 * self.client_cap, self.body_cap
        self.runners.configure(self.config.raw, runner_cap)

    def ready(self) -> bool:
        """Whether new requests are accepted."""
        return (
            not self.stopping
            and self._known()
            and bool(self.core.workers.listed or self.core.workers.connected)
        )

    def _known(self) -> bool:
        """Whether the list of workers may be used.

        If lists are pushed, what the local agent holds counts as known to us from our start, and the list in
        the configuration may be older. So that list is used only if the agent has not answered within
        DISCOVERY_HEAD_START_S.
        """
        if self.core.settings.must_subscribe or self.discovery.asked:
            return True
        return self.loop.clock.now() - self._started > DISCOVERY_HEAD_START_S

    def close(self) -> None:
        self.discovery.stop()
        self.runners.close()
        self.loop.close()


def _connection_limits(config: Config, parts: int = 1) -> tuple[int, int]:
    """Returns the connection limits for clients and for runners."""
    sockets = config.sockets // parts
    free = sockets - min(RESERVED, sockets // 4)
    return int((1 - RUNNER_SHARE) * free), int(RUNNER_SHARE * free)


def _body_cap(config: Config, parts: int = 1) -> int:
    """Returns the limit in bytes for request bodies; it applies separately to incoming and to open requests.

    The body of an open request is held twice while it is written to a worker; answers need as much again.
    """
    return int(max(config.memory_mb / parts - OWN_MB, 4) * BODY_SHARE * (1 << 20))


def wake_on_signals(loop: Loop) -> None:
    """Makes signals wake the loop, which passes their numbers to `Loop.on_signal`."""

    def nothing(number: int, frame: object) -> None:
        """Does nothing: the signal's number arrives through the wake-up descriptor."""

    signal.set_wakeup_fd(loop.wakeup_socket.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
        signal.signal(number, nothing)
