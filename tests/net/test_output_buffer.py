"""Output that waits for the kernel: sent in order, whole, and without copies of long pieces."""

from __future__ import annotations

import random
import socket

import pytest

from larchgw.net.output_buffer import COPIED_BYTES, OutputBuffer


class SlowSocket:
    """Takes as much of each write as the seed says."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.taken = bytearray()
        self.is_broken = False

    def send(self, data: memoryview) -> int:
        if self.is_broken:
            raise ConnectionResetError
        count = self.random.choice([0, 1, len(data) // 2, len(data)])
        if not count:
            raise BlockingIOError
        self.taken += data[:count]
        return count


@pytest.mark.parametrize("seed", range(20))
def test_pieces_of_any_length_are_sent_in_order_whatever_the_kernel_takes(seed: int) -> None:
    sock, output, expected = SlowSocket(seed), OutputBuffer(), bytearray()
    for _ in range(60):
        piece = sock.random.randbytes(sock.random.choice([0, 1, 100, COPIED_BYTES - 1, COPIED_BYTES, 60_000]))
        output.append(piece)
        expected += piece
        sent_before, unsent_before = len(sock.taken), len(output)
        assert output.send(sock) == len(sock.taken) - sent_before == unsent_before - len(output)  # type: ignore[arg-type]
        assert len(output) == len(expected) - len(sock.taken)
    while output:
        output.send(sock)  # type: ignore[arg-type]
    assert sock.taken == expected


def test_a_long_piece_is_kept_without_a_copy() -> None:
    output, piece = OutputBuffer(), bytes(COPIED_BYTES)
    output.append(piece)
    assert output._pieces[0] is piece


def test_a_broken_connection_raises_and_keeps_what_is_unsent() -> None:
    sock, output = SlowSocket(1), OutputBuffer()
    sock.is_broken = True
    output.append(b"abc")
    with pytest.raises(ConnectionResetError):
        output.send(sock)  # type: ignore[arg-type]
    assert len(output) == 3
    output.clear()
    assert len(output) == 0


def test_real_sockets_get_what_was_written() -> None:
    left, right = socket.socketpair()
    left.setblocking(False)
    output, data = OutputBuffer(), random.Random(1).randbytes(3_000_000)
    output.append(b"head")
    output.append(data)
    received = bytearray()
    while output:
        output.send(left)
        received += right.recv(1 << 20)
    left.close()
    while chunk := right.recv(1 << 20):
        received += chunk
    right.close()
    assert received == b"head" + data
