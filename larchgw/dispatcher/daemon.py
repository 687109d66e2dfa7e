"""The daemon: a node with its fronts, signal handling, start-up and graceful shutdown."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys

import structlog

from .. import __version__
from ..net.listener import Listener
from .assembly import Node, wake_on_signals
from .capacity import ReservationSettings
from .config import startup
from .cordon_file import CordonFile
from .fronts.admin import Admin
from .fronts.agentcheck import AgentCheck, Ops
from .fronts.gearman import GearmanFront
from .fronts.platform import PlatformFront
from .hot_restart import moving
from .hot_restart.handover import Handover
from .scheduling.interface import WorkerId

# After SIGTERM the daemon accepts connections and requests for a while, because the other dispatchers may be
# down at that moment. Every accepted job must be answered before SIGKILL, which comes no earlier than the
# longest deadline (at most LONGEST_GRACE) plus GRACE_MORE after SIGTERM. So jobs accepted after SIGTERM must
# end END_MARGIN before that; the scheduler refuses at once those that cannot.
ACCEPT_AT_LEAST, ACCEPT_QUIET, ACCEPT_AT_MOST = 0.5, 0.3, 2.0
LONGEST_GRACE, GRACE_MORE, END_MARGIN = 3.0, 0.7, 0.3
STEP = 0.05
GEARMAN_SHARE = 0.4  # of the client connections, if the Gearman front is enabled
log = structlog.get_logger()


class Daemon:
    """A node with its fronts, signal handling and shutdown."""

    def __init__(
        self, settings: startup.Config, fronts: startup.Fronts, room: ReservationSettings | None = None
    ) -> None:
        self.node = node = Node(settings, room)
        loop, core = node.loop, node.core
        wake_on_signals(loop)  # first of all: an unhandled SIGHUP would end the process
        loop.on_signal = self.on_signal
        assert settings.listen is not None
        self._gearman_share = GEARMAN_SHARE if fronts.gearman else 0.0
        loop.reuse_port = settings.accept_fd is not None
        cap, gearman_cap = self._connection_limits()
        self.platform = PlatformFront(
            loop, core, settings.listen, cap, node.body_cap, self._serves, settings.accept_fd
        )
        self._listening(self.platform.name, self.platform.server.listener)
        self._beside: list[Listener] = []  # of all fronts but the platform's
        self.gearman: GearmanFront | None = None
        if fronts.gearman:
            self.gearman = GearmanFront(
                loop, core, fronts.gearman, gearman_cap, fronts.grab_wait, fronts.remember
            )
            core.add_transport(self.gearman.workers)
            if node.planner:
                self.gearman.workers.on_slots = node.planner.set_capacity
            self._listening(self.gearman.name, self.gearman.listener)
            self._beside.append(self.gearman.listener)
        if fronts.agent_check:
            agent = AgentCheck(
                loop, core.counters, fronts.agent_check, lambda: node.stopping, core.workers.ready_share
            )
            self._listening(agent.name, agent.listener)
            self._beside.append(agent.listener)
        if fronts.ops:
            ops = Ops(loop, core, fronts.ops, node.ready, node.planner)
            self._listening(ops.name, ops.server.listener)
            self._beside.append(ops.server.listener)
        if settings.admin:
            admin = Admin(loop, core, settings.admin, self._takes_clients, self.take_out, self.put_back)
            self._listening(admin.name, admin.server.listener)
        self._cordon_file = CordonFile(os.environ.get("TMPDIR"), settings.name)
        for worker, at in self._cordon_file.load().items():
            core.ban_worker(worker, at)
        self._stop_at = 0.0
        shared = (
            settings.accept_fd is not None
        )  # without it no hot restart is possible, as the address is in use
        self.handover = Handover(
            loop, core, os.environ.get("TMPDIR") if shared else None, settings.name, self._changed, node.ready
        )
        self.handover.on_move = lambda packet, socks: moving.unpack(
            packet, socks, core, self.platform, node.runners
        )
        core.admit.elsewhere = self.handover.open_elsewhere
        if self.gearman:
            self.handover.share("gearman", self.gearman.jobs)
        node.start()
        self.handover.begin()

    def take_out(self, worker: WorkerId) -> None:
        """Takes a worker out of service until it is put back.

        The file is written first, so that a confirmed change survives a restart.
        """
        bans = self.node.core.workers.banned
        at = bans.get(worker) or self.node.loop.clock.now()
        self._cordon_file.save({**bans, worker: at})
        self.node.core.ban_worker(worker, at)
        self.handover.taken_out(worker, at)
        log.info("hand.down", box=worker.decode("latin-1"), out=len(bans))

    def put_back(self, worker: WorkerId) -> None:
        bans = self.node.core.workers.banned
        self._cordon_file.save({w: at for w, at in bans.items() if w != worker})
        self.node.core.unban_worker(worker)
        self.handover.put_back(worker)
        log.info("hand.up", box=worker.decode("latin-1"), out=len(bans))

    def _connection_limits(self) -> tuple[int, int]:
        """Returns the connection limits of the platform front and of the Gearman front."""
        gearman = int(self._gearman_share * self.node.client_cap)
        return self.node.client_cap - gearman, gearman

    def _reload(self) -> None:
        """Reloads the configuration file. An invalid file changes nothing."""
        try:
            self.node.reload(startup.load(os.environ))
        except startup.ConfigError as error:
            log.error("reload.refused", error=str(error))
            return
        self._resize()
        host, port = self.node.config.discovery
        log.info("reload.done", discovery=f"{host}:{port}", open=self.node.core.open_requests())

    def _resize(self) -> None:
        cap, gearman_cap = self._connection_limits()
        self.platform.server.resize(cap, self.node.body_cap)
        if self.gearman:
            self.gearman.listener.max_connections = gearman_cap

    def _changed(self) -> None:
        """Handles that another process of this dispatcher has started, begun to serve, or ended."""
        self.node.share(1 + len(self.handover.peers))
        self._resize()
        accepting, succeeded = self.handover.accepting(), self.handover.succeeded()
        self.platform.server.stopping = succeeded or not self.platform.server.listener.open
        for listener in [self.platform.server.listener, *self._beside]:
            listener.pause(not accepting)

    def _serves(self) -> bool:
        """Whether this dispatcher accepts new jobs, in this process or in its successor."""
        return self.node.ready() or self.handover.succeeded()

    def _takes_clients(self) -> bool:
        """Whether this process accepts new jobs."""
        return self.node.ready() and self.handover.accepting()

    def _listening(self, front: str, listener: Listener) -> None:
        host, port = listener.address
        log.info("listening", front=front, listen=f"{host}:{port}")

    def run(self) -> None:
        log.info("start", name=self.node.config.name, version=__version__, pid=os.getpid())
        if unread := startup.unread(self.node.config.raw):
            log.info("settings.unread", fields=",".join(unread))
        self.node.loop.run()
        self.handover.close()
        log.info("exit", **self.node.core.counters.nonzero_values())
        self.node.close()

    def on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            log.info("counters", **self.node.core.counters.nonzero_values())
        elif number == signal.SIGHUP:
            self._reload()
        elif not self.node.stopping:
            self.node.stopping = True
            self._stop_at = self.node.loop.clock.now()
            longest = max(c.deadline for c in self.node.config.settings.classes)
            grace = min(longest, LONGEST_GRACE) + GRACE_MORE
            if not self.handover.succeeded():  # otherwise open jobs are moved and keep their deadlines
                self.node.core.receive.until = self._stop_at + grace - END_MARGIN
            log.info("stop.begin", open=self.node.core.open_requests())
            self._stopping()

    def _stopping(self) -> None:
        """Runs the shutdown: accepts the last clients, answers the open jobs, then stops the loop."""
        now, server, gearman = self.node.loop.clock.now(), self.platform.server, self.gearman
        quiet = now - max(server.listener.last_accept, self.node.core.receive.last, self._stop_at)
        succeeded = self.handover.succeeded()
        if (
            server.listener.open
            and not succeeded
            and now - self._stop_at >= ACCEPT_AT_LEAST
            and (quiet >= ACCEPT_QUIET or now - self._stop_at >= ACCEPT_AT_MOST)
        ):
            server.listener.close()
            server.stopping = self.node.core.admit.stopping = True
            if gearman:
                gearman.listener.close()
        if gearman:
            gearman.stopping = succeeded or not server.listener.open
        if succeeded:
            self._move()
        if succeeded or not server.listener.open:
            server.close_idle()
            if gearman:
                gearman.close_idle()
            waiting = (
                len(server.connections) + self.node.loop.closing_count + (gearman.clients() if gearman else 0)
            )
            if not waiting and not self.node.core.open_requests():
                log.info("stop.end", seconds=round(now - self._stop_at, 3))
                self.node.loop.stop()
                return
        self.node.loop.deadlines.add(now + STEP, self._stopping)

    def _move(self) -> None:
        """Moves open jobs to the process that has taken over, as they may outlast this process."""
        core, moved = self.node.core, 0
        for request in list(core.receive.open.values()):
            packed = moving.pack(request, core)
            if packed is not None and self.handover.move(*packed):
                request.extra.channel.detach()
                core.handed_over(request)
                moved += 1
        if moved:
            log.info("upgrade.moved", jobs=moved, left=core.open_requests())


def serve(fronts: startup.Fronts | None = None, room: ReservationSettings | None = None) -> int:
    """Runs until SIGTERM. Returns the exit status: 2, with one line on stderr, for a bad configuration."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.NOTSET),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    missed: list[int] = []  # SIGHUPs received during start-up, after the configuration was read
    signal.signal(signal.SIGHUP, lambda number, frame: missed.append(number))
    try:
        daemon = Daemon(startup.load(os.environ), fronts or startup.Fronts(), room)
    except startup.ConfigError as error:
        print(f"larchgw: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"larchgw: listen: {error.strerror}", file=sys.stderr)
        return 2
    if missed:
        daemon.on_signal(signal.SIGHUP)
    gc.collect()
    gc.freeze()
    daemon.run()
    return 0
