"""The daemon: one node behind its fronts, with its signals, its start and its end in good order."""

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
from .cordon_file import BanFile
from .fronts.admin import Admin
from .fronts.agentcheck import AgentCheck, Ops
from .fronts.gearman import GearmanFront
from .fronts.platform import PlatformFront
from .hot_restart import moving
from .hot_restart.handover import Handover
from .scheduling.interface import WorkerId

# After SIGTERM clients still come for a while, and use the connections that they have: the other dispatchers
# may be down just then. Whoever is let in must be answered before SIGKILL. That comes no sooner than the
# longest deadline (LONGEST_GRACE at most) and 0.7 s more, so jobs taken from then on have until END_MARGIN
# before it; the decision module refuses at once what cannot be done by then.
ACCEPT_AT_LEAST, ACCEPT_QUIET, ACCEPT_AT_MOST = 0.5, 0.3, 2.0
LONGEST_GRACE, GRACE_MORE, END_MARGIN = 3.0, 0.7, 0.3
STEP = 0.05
GEARMAN_SHARE = 0.4  # of the connections from clients, where that front is on
log = structlog.get_logger()


class Daemon:
    """One node behind its fronts."""

    def __init__(
        self, settings: startup.Config, fronts: startup.Fronts, room: ReservationSettings | None = None
    ) -> None:
        self.node = node = Node(settings, room)
        loop, core = node.loop, node.core
        wake_on_signals(loop)  # before anybody can learn that we are here: unhandled, SIGHUP would end us
        loop.on_signal = self.on_signal
        assert settings.listen is not None
        self._gearman_share = GEARMAN_SHARE if fronts.gearman else 0.0
        loop.reuse_port = settings.accept_fd is not None
        cap, gearman_cap = self._caps()
        self.platform = PlatformFront(
            loop, core, settings.listen, cap, node.body_cap, self._serves, settings.accept_fd
        )
        self._listening(self.platform.name, self.platform.server.listener)
        self._beside: list[Listener] = []  # of the fronts beside the platform's
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
        self._bans = BanFile(os.environ.get("TMPDIR"), settings.name)
        for worker, at in self._bans.load().items():
            core.ban_worker(worker, at)
        self._stop_at = 0.0
        shared = settings.accept_fd is not None  # else an upgrade cannot be: the address is taken
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
        """By hand, until it is put back: saved first, so that a restart cannot break the promise."""
        bans = self.node.core.workers.banned
        at = bans.get(worker) or self.node.loop.clock.now()
        self._bans.save({**bans, worker: at})
        self.node.core.ban_worker(worker, at)
        self.handover.taken_out(worker, at)
        log.info("hand.down", box=worker.decode("latin-1"), out=len(bans))

    def put_back(self, worker: WorkerId) -> None:
        bans = self.node.core.workers.banned
        self._bans.save({w: at for w, at in bans.items() if w != worker})
        self.node.core.unban_worker(worker)
        self.handover.put_back(worker)
        log.info("hand.up", box=worker.decode("latin-1"), out=len(bans))

    def _caps(self) -> tuple[int, int]:
        """The connections that the platform's clients may have, and Gearman's."""
        gearman = int(self._gearman_share * self.node.client_cap)
        return self.node.client_cap - gearman, gearman

    def _reload(self) -> None:
        """Takes the configuration file as it is now. One that is wrong changes nothing."""
        try:
            self.node.reload(startup.load(os.environ))
        except startup.ConfigError as error:
            log.error("reload.refused", error=str(error))
            return
        self._resize()
        host, port = self.node.config.discovery
        log.info("reload.done", discovery=f"{host}:{port}", open=self.node.core.open_requests())

    def _resize(self) -> None:
        cap, gearman_cap = self._caps()
        self.platform.server.resize(cap, self.node.body_cap)
        if self.gearman:
            self.gearman.listener.max_connections = gearman_cap

    def _changed(self) -> None:
        """Another process of this dispatcher came, began to serve, or ended."""
        self.node.share(1 + len(self.handover.peers))
        self._resize()
        accepting, succeeded = self.handover.accepting(), self.handover.succeeded()
        self.platform.server.stopping = succeeded or not self.platform.server.listener.open
        for listener in [self.platform.server.listener, *self._beside]:
            listener.pause(not accepting)

    def _serves(self) -> bool:
        """Whether this dispatcher takes new jobs, in whichever process."""
        return self.node.ready() or self.handover.succeeded()

    def _takes_clients(self) -> bool:
        """Whether this process does."""
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
        log.info("exit", **self.node.core.counters.figures())
        self.node.close()

    def on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            log.info("counters", **self.node.core.counters.figures())
        elif number == signal.SIGHUP:
            self._reload()
        elif not self.node.stopping:
            self.node.stopping = True
            self._stop_at = self.node.loop.clock.now()
            longest = max(c.deadline for c in self.node.config.settings.classes)
            grace = min(longest, LONGEST_GRACE) + GRACE_MORE
            if not self.handover.succeeded():  # else open jobs are moved, and have their whole time
                self.node.core.receive.until = self._stop_at + grace - END_MARGIN
            log.info("stop.begin", open=self.node.core.open_requests())
            self._stopping()

    def _stopping(self) -> None:
        """Lets the last clients in, then answers what is open, then ends."""
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
                len(server.connections) + self.node.loop.finishing + (gearman.clients() if gearman else 0)
            )
            if not waiting and not self.node.core.open_requests():
                log.info("stop.end", seconds=round(now - self._stop_at, 3))
                self.node.loop.stop()
                return
        self.node.loop.deadlines.add(now + STEP, self._stopping)

    def _move(self) -> None:
        """Gives the open jobs to the process that has taken over: they may run longer than we live."""
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
    """Runs until SIGTERM and returns the exit status; a mistake in what it is told is one line and 2."""
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
    missed: list[int] = []  # a SIGHUP between reading the configuration and being ready to read it again
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
