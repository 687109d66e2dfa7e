"""Hot restart: the message exchange between the old and the new process of one dispatcher.

The new process finds the serving one through a Unix socket in a folder that both share. They exchange JSON
lines. The end of the connection, for whatever reason, counts as the end of the other process. A process that
died leaves only the file of its socket behind, which refuses connections.
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

HELLO_TIMEOUT_S = 3.0  # to receive the other process's state; it may hang
POLL_S = 0.02  # between two checks whether this process can serve
PENDING_INTERVAL_S = 0.1  # between two broadcasts of the pending slots at each worker
MAX_MESSAGE_BYTES = 8 << 20
log = structlog.get_logger()


class Topic(Protocol):
    """State that a component shares with its counterpart in the other process, as JSON objects."""

    publish: Callable[[dict[str, Any]], None]

    def snapshot(self) -> Iterator[dict[str, Any]]:
        """Returns the items that a new process needs."""

    def on_item(self, source: object, item: dict[str, Any]) -> None:
        """Handles an item from the other process."""

    def on_peer_lost(self, source: object) -> None:
        """Handles the end of the other process."""


class Peer:
    """Another process of this dispatcher, and the connection to it."""

    def __init__(self, handover: Handover, sock: socket.socket, younger: bool) -> None:
        self.handover, self.younger = handover, younger
        self.serving = not younger  # an older process serves already
        self.greeted = False
        self.open: set[bytes] = set()  # names of its open jobs
        self.pending: dict[WorkerId, float] = {}
        self.moves = ""  # name of the socket on which it receives jobs
        self.unsent_items: Iterator[dict[str, Any]] = iter(())  # messages still to be sent
        self._sending = False
        self._buffer = bytearray()
        self._connection = Connection(handover.loop, sock, self)

    def send(self, **message: Any) -> None:
        self._connection.write(json.dumps(message).encode() + b"\n")

    def close(self) -> None:
        self._connection.close()

    # Callbacks of the connection

    def on_open(self) -> None: ...

    def on_written(self) -> None:
        if self._sending:  # called from within the loop below
            return
        self._sending = True
        while not self._connection.unsent and (message := next(self.unsent_items, None)) is not None:
            self.send(**message)
        self._sending = False

    def on_data(self, data: bytes) -> None:
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        if len(rest) > MAX_MESSAGE_BYTES:
            self._drop("message is too long")
            return
        for line in lines:
            try:
                self.handover.on_message(self, json.loads(line))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self._drop(f"{type(error).__name__}: {error}")
                return

    def on_end(self, ending: ConnectionOutcome) -> None:
        self.handover.on_peer_end(self)

    def _drop(self, why: str) -> None:
        """Closes the connection because the peer's messages cannot be parsed."""
        log.error("upgrade.garbled", why=why)
        self.close()
        self.handover.on_peer_end(self)


class Handover:
    """Keeps track of the other processes of this dispatcher, and decides which process accepts clients."""

    def __init__(
        self,
        loop: Loop,
        core: Core,
        folder: str | None,
        name: str,
        changed: Callable[[], None],
        is_ready: Callable[[], bool],
    ) -> None:
        self.loop, self.core = loop, core
        self._changed, self._is_ready = changed, is_ready
        # Socket paths hold 107 bytes at most. Through the folder's descriptor a socket can be reached however
        # long the folder's path is.
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY) if folder else -1
        self._moves_name = ""
        self._socket_name = f"larchgw-{name.encode().hex()}.sock"[-60:]
        self._listening: socket.socket | None = None
        self._moves: socket.socket | None = None  # receives the jobs moved to this process
        self._topics: dict[str, Topic] = {}
        self.on_move: Callable[[bytes, list[socket.socket]], None] = lambda packet, socks: None
        self.peers: list[Peer] = []
        self.serving = False
        self._greeting_deadline = 0.0
        self._timer: Deadline | None = None
        core.receive.watch = self._broadcast_job

    def share(self, name: str, topic: Topic) -> None:
        """Registers the state that a component shares with its counterpart in the other process."""
        self._topics[name] = topic
        topic.publish = lambda item: self._broadcast(topic=name, item=item)

    def begin(self) -> None:
        """Connects to the serving process, if there is one, and serves once its state has been received."""
        predecessor = self._connect_to_predecessor()
        if predecessor is not None:
            self._open_moves()
            self.peers.append(Peer(self, predecessor, younger=False))
            self._send_hello(self.peers[0])
            log.info("upgrade.elder", pid=os.getpid())
        self._greeting_deadline = self.loop.clock.now() + HELLO_TIMEOUT_S
        self._changed()
        self._try_to_serve()

    def succeeded(self) -> bool:
        """Whether a newer process has taken over the clients."""
        return any(peer.younger and peer.serving for peer in self.peers)

    def accepting(self) -> bool:
        return self.serving and not self.succeeded()

    def taken_out(self, worker: WorkerId, at: float) -> None:
        self._broadcast(down=worker.decode("latin-1"), at=at)

    def put_back(self, worker: WorkerId) -> None:
        self._broadcast(up=worker.decode("latin-1"))

    def move(self, packet: bytes, fds: list[int]) -> bool:
        """Sends a job with its sockets to the process that has taken over. Returns whether it was sent."""
        for peer in self.peers:
            if peer.younger and peer.serving and peer.moves:
                try:
                    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
                        sock.setblocking(False)
                        sock.connect(self._path(peer.moves))
                        socket.send_fds(sock, [packet], fds)
                    return True
                except BlockingIOError:
                    pass  # its queue is full: the caller retries
                except OSError as error:
                    log.error("upgrade.unmoved", error=str(error))
                    peer.moves = ""
        return False

    def close(self) -> None:
        for peer in self.peers:
            peer.close()
        self._stop_listening()
        if self._moves is not None:
            self._moves.close()
            self._moves = None
        if self._folder >= 0:
            os.close(self._folder)
            self._folder = -1

    # Callbacks of peers

    def on_message(self, peer: Peer, message: dict[str, Any]) -> None:
        """Applies a message of a peer.

        Raises:
            ValueError, KeyError, TypeError, AttributeError: The message is malformed.
        """
        boxes = self.core.workers
        if "hello" in message:
            peer.moves = str(message["moves"])
            boxes.ever_listed.update(worker.encode("latin-1") for worker in message["listed"])
            for name, at in message["out"].items():
                self.core.ban_worker(name.encode("latin-1"), float(at))
            if message.get("learned") and not self.serving:
                learned.restore(self.core.dispatcher, message["learned"])
        if "topic" in message and message["topic"] in self._topics:
            self._topics[message["topic"]].on_item(peer, message["item"])
        if "told" in message:
            peer.greeted = True
        if "down" in message:
            self.core.ban_worker(message["down"].encode("latin-1"), float(message["at"]))
        if "up" in message:
            self.core.unban_worker(message["up"].encode("latin-1"))
        peer.open.update(name.encode("latin-1") for name in message.get("open", ()))
        peer.open.difference_update(name.encode("latin-1") for name in message.get("over", ()))
        if "pending" in message:
            peer.pending = {w.encode("latin-1"): float(slots) for w, slots in message["pending"].items()}
            self._update_pending()
        if "serving" in message:
            peer.serving = True
            log.info("upgrade.successor", open=self.core.open_requests())
            self._changed()

    def on_peer_end(self, peer: Peer) -> None:
        """Handles the end of another process."""
        if peer not in self.peers:
            return
        self.peers.remove(peer)
        log.info("upgrade.over", younger=peer.younger, serving=peer.serving, left_open=len(peer.open))
        if peer.younger and self.serving and not self.succeeded():
            self._listen()  # the new process had taken over the socket's name
        for topic in self._topics.values():
            topic.on_peer_lost(peer)
        self._update_pending()
        self._changed()

    # Within

    def _send_hello(self, peer: Peer) -> None:
        boxes = self.core.workers
        if self._timer is None:
            self._timer = self.loop.deadlines.add(
                self.loop.clock.now() + PENDING_INTERVAL_S, self._broadcast_pending
            )
        peer.send(
            hello=os.getpid(),
            moves=self._moves_name if self._moves else "",
            listed=[w.decode("latin-1") for w in boxes.ever_listed],
            out={w.decode("latin-1"): at for w, at in boxes.banned.items()},
            open=[name.decode("latin-1") for name in self.core.receive.names],
            pending=learned.pending(self.core.dispatcher),
            learned=learned.snapshot(self.core.dispatcher) if self.serving else None,
        )
        peer.unsent_items = chain(
            (
                {"topic": name, "item": item}
                for name, topic in self._topics.items()
                for item in topic.snapshot()
            ),
            [{"told": True}],
        )
        peer.on_written()

    def _broadcast(self, **message: Any) -> None:
        for peer in list(self.peers):
            peer.send(**message)

    def _broadcast_job(self, name: bytes, opened: bool) -> None:
        if self.peers:
            self._broadcast(**{"open" if opened else "over": [name.decode("latin-1")]})

    def open_elsewhere(self, name: bytes) -> bool:
        return any(name in peer.open for peer in self.peers)

    def _broadcast_pending(self) -> None:
        self._timer = None
        if self.peers:
            self._broadcast(pending=learned.pending(self.core.dispatcher))
            self._timer = self.loop.deadlines.add(
                self.loop.clock.now() + PENDING_INTERVAL_S, self._broadcast_pending
            )

    def _update_pending(self) -> None:
        """Passes the other processes' pending slots to the scheduler, which queues its own behind them."""
        pending: dict[WorkerId, float] = {}
        for peer in self.peers:
            for worker, slots in peer.pending.items():
                pending[worker] = pending.get(worker, 0.0) + slots
        self.core.set_sibling_load(pending, len(self.peers))

    def _try_to_serve(self) -> None:
        now = self.loop.clock.now()
        greeted = all(peer.greeted for peer in self.peers) or now >= self._greeting_deadline
        if self.peers and not (greeted and self._is_ready()):
            self.loop.deadlines.add(now + POLL_S, self._try_to_serve)
            return
        self.serving = True
        self._listen()
        self._broadcast(serving=True)
        self._changed()

    def _path(self, name: str) -> str:
        return f"/proc/self/fd/{self._folder}/{name}"

    def _connect_to_predecessor(self) -> socket.socket | None:
        if self._folder < 0:
            return None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        except OSError:
            return None  # Unix sockets are not permitted, so there is no process to be found
        try:
            sock.setblocking(False)
            sock.connect(self._path(self._socket_name))
            return sock
        except OSError:
            sock.close()
            return None

    def _listen(self) -> None:
        """Listens for new processes. The socket's name is taken over atomically, so it is never missing."""
        self._stop_listening()
        if self._folder < 0:
            return
        temporary_name = f"{self._socket_name}.{os.getpid()}"
        sock = self._bind(socket.SOCK_STREAM, temporary_name, self._socket_name)
        if sock is None:
            return
        sock.setblocking(False)
        self._listening = sock
        self.loop.watch(sock, READ, self._on_connection)

    def _bind(self, kind: int, name: str, takes: str = "") -> socket.socket | None:
        """Binds a socket to this name in the folder; if `takes` is given, listens and renames it to that.

        Returns None if that fails: this process then serves, but no later process can find it.
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
        self._moves_name = f"{self._socket_name}.{os.getpid()}.moves"
        sock = self._bind(socket.SOCK_DGRAM, self._moves_name)
        if sock is None:
            return
        sock.setblocking(False)
        self._moves = sock
        self.loop.watch(sock, READ, self._on_packet)

    def _on_packet(self, mask: int) -> None:
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

    def _stop_listening(self) -> None:
        if self._listening is not None:
            self.loop.unwatch(self._listening)
            self._listening.close()
            self._listening = None

    def _on_connection(self, mask: int) -> None:
        if self._listening is None:
            return
        try:
            sock, _ = self._listening.accept()
        except OSError:
            return
        peer = Peer(self, sock, younger=True)
        self.peers.append(peer)
        log.info("upgrade.newcomer", open=self.core.open_requests())
        self._send_hello(peer)
        self._changed()
