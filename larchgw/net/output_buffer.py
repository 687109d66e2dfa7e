"""Output of a connection that the kernel has not accepted yet."""

from __future__ import annotations

import socket
from collections import deque

COPIED_BYTES = 16384  # shorter pieces are copied into one buffer, which saves system calls


class OutputBuffer:
    """Pieces of output in order.

    A long piece is kept as the caller's object without a copy, since several connections and a request may
    share it.
    """

    __slots__ = ("_pieces", "_offset", "_size")

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self._pieces: deque[bytes | bytearray] = deque()
        self._offset = 0  # sent bytes of the first piece
        self._size = 0

    def __len__(self) -> int:
        """Returns the number of unsent bytes."""
        return self._size

    def append(self, data: bytes) -> None:
        """Adds a piece, which must not change any more."""
        if not data:
            return
        self._size += len(data)
        if len(data) >= COPIED_BYTES:
            self._pieces.append(data)
            return
        last = self._pieces[-1] if self._pieces else None
        if isinstance(last, bytearray) and len(last) < COPIED_BYTES:
            last += data
        else:
            self._pieces.append(bytearray(data))

    def send(self, sock: socket.socket) -> int:
        """Sends as much as the kernel accepts; returns how many bytes that were.

        Raises:
            OSError: The connection broke.
        """
        size_before = self._size
        while self._pieces and self._send_first(sock):
            pass
        return size_before - self._size

    def clear(self) -> None:
        """Drops all pieces."""
        self._pieces.clear()
        self._offset = self._size = 0

    def _send_first(self, sock: socket.socket) -> bool:
        """Sends of the first piece; returns whether the kernel has accepted all of it."""
        piece = self._pieces[0]
        with memoryview(piece) as whole, whole[self._offset :] as rest:
            try:
                sent = sock.send(rest)
            except BlockingIOError:
                return False
        self._size -= sent
        self._offset += sent
        if self._offset < len(piece):
            return False
        self._pieces.popleft()
        self._offset = 0
        return True
