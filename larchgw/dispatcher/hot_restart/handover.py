"""An upgrade: two processes that serve as one dispatcher, and what each tells the other.

The newcomer finds the process that serves by a Unix socket in the folder that both share. They tell each
other lines of JSON; the connection's end is the other's end, however it came about. Of a process that died
only the socket's name is left, which refuses connections and is no peer.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable, Iterator
from itertools import chain
from pathlib import Path
from typing import Any, Protocol

import structlog

from ...net.connection import Connection
from ...net.connection_outcome import ConnectionOutcome
from ...net.loop import READ, Loop
from ...net.timers import Deadline
from ..core import Core
from ..scheduling.interface import WorkerId
from . import learned
from .moving import MAX_FDS, MAX_PACKET

HELLO_TIME = 3.0  # for the other process to say what it knows; it may be stuck
STEP = 0.02  # between looks whether we can serve
PENDING_EVERY = 0.1  # seconds between two tellings of what is pending where
MAX_LINE = 8 << 20
log = structlog.get_logger()


class Topic(Protocol):
    """What a part of the program shares with its like in the other process, in items of JSON."""

    tell: Callable[[dict[str, Any]], None]

    def known(self) -> Iterator[dict[str, Any]]:
        """All that a newcomer has to know."""

    def heard(self, source: object, item: dict[str, Any]) -> None:
        """The other process says this."""

    def lost(self, source: object) -> None:
        """It says nothing more: it has ended."""


class Peer:
    """The other process, over one connection."""

    def __init__(self, handover: Handover, sock: socket.socket, younger: bool) -> None:
        self.handover, self.younger = handover, younger
        self.serving = not younger  # whoever was there first serves already
        self.greeted = False
        self.open: set[bytes] = set()  # ids of its open jobs
        self.pending: dict[WorkerId, float] = {}
        self.moves = ""  # the socket that takes jobs moved to it
        self.later: Iterator[dict[str, Any]] = iter(())  # what it is still to be told, a message at a time
        self._telling = False
        self._buffer = bytearray()
        self._connection = Connection(handover.loop, sock, self)

    def tell(self, **message: Any) -> None:
        self._connection.write(json.dumps(message).encode() + b"\n")

    def close(self) -> None:
        self._connection.close()

    # From the connection

    def on_open(self) -> None: ...

    def on_written(self) -> None:
        if self._telling:  # from within the loop below
            return
        self._telling = True
        while not self._connection.unsent and (message := next(self.later, None)) is not None:
            self.tell(**message)
        self._telling = False

    def on_data(self, data: bytes) -> None:
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        if len(rest) > MAX_LINE:
            self._drop("a message without end")
            return
        for line in lines:
            try:
                self.handover.heard(self, json.loads(line))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self._drop(f"{type(error).__name__}: {error}")
                return

    def on_end(self, ending: ConnectionOutcome) -> None:
        self.handover.ended(self)

    def _drop(self, why: str) -> None:
        """What it says cannot be read: it is of no use to us as a peer."""
        log.error("upgrade.garbled", why=why)
        self.close()
        self.handover.ended(self)


class Handover:
    """Knows the other processes of this dispatcher, and whether we take clients."""

    def __init__(
        self,
        loop: Loop,
        core: Core,
        folder: str | None,
        name: str,
        changed: Callable[[], None],
        can_serve: Callable[[], bool],
    ) -> None:
        self.loop, self.core = loop, core
        self._changed, self._can_serve = changed, can_serve
        # A name in the folder that can be reached whatever the folder's length: such names hold 107 bytes.
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY) if folder else -1
        self._moves_name = ""
        self._name = f"larchgw-{name.encode().hex()}.sock"[-60:]
        self._listening: socket.socket | None = None
        self._moves: socket.socket | None = None  # where jobs come in that are moved to us
        self._topics: dict[str, Topic] = {}
        self.on_move: Callable[[bytes, list[socket.socket]], None] = lambda packet, socks: None
        self.peers: list[Peer] = []
        self.serving = False
        self._until = 0.0
        self._timer: Deadline | None = None
        core.receive.watch = self._job

    def share(self, name: str, topic: Topic) -> None:
        """Something that a part of the program tells its like in the other process."""
        self._topics[name] = topic
        topic.tell = lambda item: self._tell(topic=name, item=item)

    def begin(self) -> None:
        """Finds the process that serves, if there is one, and takes clients once we know what it knows."""
        elder = self._find()
        if elder is not None:
            self._open_moves()
            self.peers.append(Peer(self, elder, younger=False))
            self._greet(self.peers[0])
            log.info("upgrade.elder", pid=os.getpid())
        self._until = self.loop.clock.now() + HELLO_TIME
        self._changed()
        self._try_to_serve()

    def succeeded(self) -> bool:
        """Whether a newer process takes the clients."""
        return any(peer.younger and peer.serving for peer in self.peers)

    def accepting(self) -> bool:
        return self.serving and not self.succeeded()

    def taken_out(self, worker: WorkerId, at: float) -> None:
        self._tell(down=worker.decode("latin-1"), at=at)

    def put_back(self, worker: WorkerId) -> None:
        self._tell(up=worker.decode("latin-1"))

    def move(self, packet: bytes, fds: list[int]) -> bool:
        """Sends a job with its sockets to the process that takes the clients; whether it has gone."""
        for peer in self.peers:
            if peer.younger and peer.serving and peer.moves:
                try:
                    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
                        sock.setblocking(False)
                        sock.connect(self._path(peer.moves))
                        socket.send_fds(sock, [packet], fds)
                    return True
                except BlockingIOError:
                    pass  # its queue is full: the caller comes again
                except OSError as error:
                    log.error("upgrade.unmoved", error=str(error))
                    peer.moves = ""
        return False

    def close(self) -> None:
        for peer in self.peers:
            peer.close()
        self._deafen()
        if self._moves is not None:
            self._moves.close()
            self._moves = None
        if self._folder >= 0:
            os.close(self._folder)
            self._folder = -1

    # From peers

    def heard(self, peer: Peer, said: dict[str, Any]) -> None:
        """ValueError and its like if it makes no sense."""
        boxes = self.core.workers
        if "hello" in said:
            peer.moves = str(said["moves"])
            boxes.ever_listed.update(worker.encode("latin-1") for worker in said["listed"])
            for name, at in said["out"].items():
                self.core.ban_worker(name.encode("latin-1"), float(at))
            if said.get("learned") and not self.serving:
                learned.take(self.core.dispatcher, said["learned"])
        if "topic" in said and said["topic"] in self._topics:
            self._topics[said["topic"]].heard(peer, said["item"])
        if "told" in said:
            peer.greeted = True
        if "down" in said:
            self.core.ban_worker(said["down"].encode("latin-1"), float(said["at"]))
        if "up" in said:
            self.core.unban_worker(said["up"].encode("latin-1"))
        peer.open.update(name.encode("latin-1") for name in said.get("open", ()))
        peer.open.difference_update(name.encode("latin-1") for name in said.get("over", ()))
        if "pending" in said:
            peer.pending = {w.encode("latin-1"): float(slots) for w, slots in said["pending"].items()}
            self._weigh()
        if "serving" in said:
            peer.serving = True
            log.info("upgrade.successor", open=self.core.open_requests())
            self._changed()

    def ended(self, peer: Peer) -> None:
        """The other process is over."""
        if peer not in self.peers:
            return
        self.peers.remove(peer)
        log.info("upgrade.over", younger=peer.younger, serving=peer.serving, left_open=len(peer.open))
        if peer.younger and self.serving and not self.succeeded():
            self._listen()  # by its name we are found again
        for topic in self._topics.values():
            topic.lost(peer)
        self._weigh()
        self._changed()

    # Within

    def _greet(self, peer: Peer) -> None:
        boxes = self.core.workers
        if self._timer is None:
            self._timer = self.loop.deadlines.add(self.loop.clock.now() + PENDING_EVERY, self._tell_pending)
        peer.tell(
            hello=os.getpid(),
            moves=self._moves_name if self._moves else "",
            listed=[w.decode("latin-1") for w in boxes.ever_listed],
            out={w.decode("latin-1"): at for w, at in boxes.banned.items()},
            open=[name.decode("latin-1") for name in self.core.receive.names],
            pending=learned.pending(self.core.dispatcher),
            learned=learned.tell(self.core.dispatcher) if self.serving else None,
        )
        peer.later = chain(
            ({"topic": name, "item": item} for name, topic in self._topics.items() for item in topic.known()),
            [{"told": True}],
        )
        peer.on_written()

    def _tell(self, **message: Any) -> None:
        for peer in list(self.peers):
            peer.tell(**message)

    def _job(self, name: bytes, opened: bool) -> None:
        if self.peers:
            self._tell(**{"open" if opened else "over": [name.decode("latin-1")]})

    def open_elsewhere(self, name: bytes) -> bool:
        return any(name in peer.open for peer in self.peers)

    def _tell_pending(self) -> None:
        self._timer = None
        if self.peers:
            self._tell(pending=learned.pending(self.core.dispatcher))
            self._timer = self.loop.deadlines.add(self.loop.clock.now() + PENDING_EVERY, self._tell_pending)

    def _weigh(self) -> None:
        """The module counts what others have pending at a worker as if it stood before its own."""
        pending: dict[WorkerId, float] = {}
        for peer in self.peers:
            for worker, slots in peer.pending.items():
                pending[worker] = pending.get(worker, 0.0) + slots
        self.core.set_sibling_load(pending, len(self.peers))

    def _try_to_serve(self) -> None:
        now = self.loop.clock.now()
        greeted = all(peer.greeted for peer in self.peers) or now >= self._until
        if self.peers and not (greeted and self._can_serve()):
            self.loop.deadlines.add(now + STEP, self._try_to_serve)
            return
        self.serving = True
        self._listen()
        self._tell(serving=True)
        self._changed()

    def _path(self, name: str) -> str:
        return f"/proc/self/fd/{self._folder}/{name}"

    def _find(self) -> socket.socket | None:
        if self._folder < 0:
            return None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        except OSError:
            return None  # a system that refuses such sockets has no process that we could find
        try:
            sock.setblocking(False)
            sock.connect(self._path(self._name))
            return sock
        except OSError:
            sock.close()
            return None

    def _listen(self) -> None:
        """From now on a newcomer finds us. The name is taken over in one step: it is never missing."""
        self._deafen()
        if self._folder < 0:
            return
        fresh = f"{self._name}.{os.getpid()}"
        sock = self._bound(socket.SOCK_STREAM, fresh, self._name)
        if sock is None:
            return
        sock.setblocking(False)
        self._listening = sock
        self.loop.watch(sock, READ, self._met)

    def _bound(self, kind: int, name: str, takes: str = "") -> socket.socket | None:
        """A socket under this name in the folder, listening if it then takes another one.

        Where none can be had no upgrade finds us, and we serve.
        """
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, kind)
            Path(self._path(name)).unlink(missing_ok=True)
            sock.bind(self._path(name))
            if takes:
                sock.listen(4)
                os.rename(self._path(name), self._path(takes))
        except OSError as error:
            log.error("upgrade.unfound", error=str(error))
            if sock is not None:
                sock.close()
            return None
        return sock

    def _open_moves(self) -> None:
        self._moves_name = f"{self._name}.{os.getpid()}.moves"
        sock = self._bound(socket.SOCK_DGRAM, self._moves_name)
        if sock is None:
            return
        sock.setblocking(False)
        self._moves = sock
        self.loop.watch(sock, READ, self._moved)

    def _moved(self, mask: int) -> None:
        if self._moves is None:
            return
        try:
            packet, fds, _, _ = socket.recv_fds(self._moves, MAX_PACKET, MAX_FDS)
        except OSError:
            return
        socks = [socket.socket(fileno=fd) for fd in fds]
        try:
            self.on_move(packet, socks)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            log.error("upgrade.unmoved", error=f"{type(error).__name__}: {error}")
            for sock in socks:
                sock.close()

    def _deafen(self) -> None:
        if self._listening is not None:
            self.loop.forget(self._listening)
            self._listening.close()
            self._listening = None

    def _met(self, mask: int) -> None:
        if self._listening is None:
            return
        try:
            sock, _ = self._listening.accept()
        except OSError:
            return
        peer = Peer(self, sock, younger=True)
        self.peers.append(peer)
        log.info("upgrade.newcomer", open=self.core.open_requests())
        self._greet(peer)
        self._changed()
