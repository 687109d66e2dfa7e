"""A listening socket that keeps to a number of connections."""

from __future__ import annotations

import socket
from collections.abc import Callable

import structlog

from ..core.counters import Counters
from .loop import READ, Loop

BACKLOG = 1024
AT_ONCE = 64  # connections accepted in one turn
PAUSE = 0.05
log = structlog.get_logger()


class Listener:
    """Accepts for `take`. At the cap, `make_room` may close an idle connection; else accepting waits."""

    def __init__(self, loop: Loop, counters: Counters, name: str, address: tuple[str, int], cap: int,
                 take: Callable[[socket.socket], None], count: Callable[[], int],
                 make_room: Callable[[], bool]) -> None:
        self.loop, self.counters, self.name, self.cap = loop, counters, name, cap
        self.take, self.count, self.make_room = take, count, make_room
        self.last_accept = 0.0
        self._capped = False
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        try:
            self.sock = socket.create_server(address, family=family, backlog=BACKLOG)
        except OSError as error:
            raise OSError(error.errno, f"{name} at {address[0]}:{address[1]}: {error.strerror}") from error
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()[:2]
        self.open = True
        loop.watch(self.sock, READ, self._ready)

    def _ready(self, mask: int = READ) -> None:
        for _ in range(AT_ONCE):
            if not self.open:
                return
            if self.count() >= self.cap and not self.make_room():
                self._wait()
                return
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:  # out of descriptors, or the client was gone before we came
                log.warning("accept.error", listener=self.name, error=str(error))
                self._wait()
                return
            self._capped = False
            self.last_accept = self.loop.clock.now()
            self.take(sock)

    def _wait(self) -> None:
        if not self._capped:
            self._capped = True
            log.warning("cap.connections", listener=self.name, cap=self.cap)
        self.counters.caps.labels(self.name).inc()
        self.loop.watch(self.sock, 0, self._ready)
        self.loop.deadlines.add(self.loop.clock.now() + PAUSE, self._again)

    def _again(self) -> None:
        if self.open:
            self.loop.watch(self.sock, READ, self._ready)

    def close(self) -> None:
        if self.open:
            self._ready()  # whoever the kernel has let in by now was promised an answer
            self.open = False
            self.loop.forget(self.sock)
            self.sock.close()
