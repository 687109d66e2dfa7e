"""`python -m larchgw [--fronts FILE]`: configuration, wiring and signals of the daemon."""

from __future__ import annotations

import argparse
import gc
import os
import signal
import sys
from pathlib import Path

import structlog

from . import config
from .fronts.platform import PlatformFront
from .node import Node, wake_on_signals

# After SIGTERM clients still come for a while; whoever is let in must be answered.
ACCEPT_AT_LEAST, ACCEPT_QUIET, ACCEPT_AT_MOST = 0.5, 0.2, 1.5
STEP = 0.05
log = structlog.get_logger()


class Daemon:
    """One node behind its fronts."""

    def __init__(self, settings: config.Config, fronts: Path | None) -> None:
        self.node = Node(settings)
        self.platform = PlatformFront(self.node.loop, self.node.core, settings.listen, self.node.client_cap,
                                      self.node.ready)
        self.node.start()
        self.node.loop.on_signal = self.on_signal
        self._stop_at = 0.0

    def run(self) -> None:
        wake_on_signals(self.node.loop)
        listen = "{}:{}".format(*self.platform.server.listener.address)
        log.info("start", name=self.node.config.name, listen=listen, pid=os.getpid())
        self.node.loop.run()
        self.node.close()
        log.info("exit", **self.node.core.counters.figures())

    def on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            log.info("counters", **self.node.core.counters.figures())
        elif not self.node.stopping:
            self.node.stopping = True
            self._stop_at = self.node.loop.clock.now()
            log.info("stop.begin", open=self.node.core.open_requests())
            self._stopping()

    def _stopping(self) -> None:
        """Lets the last clients in, then answers what is open, then ends."""
        now, server = self.node.loop.clock.now(), self.platform.server
        quiet = now - max(server.listener.last_accept, self._stop_at)
        if server.listener.open and now - self._stop_at >= ACCEPT_AT_LEAST and (
                quiet >= ACCEPT_QUIET or now - self._stop_at >= ACCEPT_AT_MOST):
            server.listener.close()
            server.stopping = True
        if not server.listener.open:
            server.close_idle()
            if not server.links and not self.node.core.open_requests():
                log.info("stop.end", seconds=round(now - self._stop_at, 3))
                self.node.loop.stop()
                return
        self.node.loop.deadlines.add(now + STEP, self._stopping)


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="larchgw", description="The job dispatcher.")
    parser.add_argument("--fronts", type=Path, help="where the fronts beside the platform's listen (TOML)")
    options = parser.parse_args(arguments)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    try:
        daemon = Daemon(config.load(os.environ), options.fronts)
    except config.ConfigError as error:
        print(f"larchgw: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"larchgw: listen: {error.strerror}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    daemon.run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
