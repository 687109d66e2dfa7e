"""The operator client's transport on real sockets: curl may send a call again, unasked; what that means."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable

import pytest

from larchgw.cli.curl_transport import CurlTransport
from larchgw.cli.errors import NoAnswerError
from larchgw.cli.operator_client import Call

CALL = Call("POST", "/Config.Change", {"X-Built-On": "3"}, b'{"config_version": 4}')


def read_call(connection: socket.socket) -> bytes:
    data = b""
    while not data.endswith(CALL.body or b""):
        data += connection.recv(65536)
    return data


def answer(connection: socket.socket, data: bytes = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}") -> None:
    connection.sendall(data)


class Process:
    """A control process that runs `script`, which accepts connections and answers on them."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())
        self._thread = threading.Thread(target=script, args=(self._socket,), daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._thread.join(20.0)
        self._socket.close()


def test_a_call_on_a_kept_connection_that_ends_is_sent_again_unchanged_if_at_all() -> None:
    """So that the state's memory of orders that were taken answers it as the first one."""
    calls = []

    def script(listening: socket.socket) -> None:
        with listening.accept()[0] as first:
            calls.append(read_call(first))
            answer(first)
            calls.append(read_call(first))  # and no byte of an answer
        with listening.accept()[0] as second:
            calls.append(read_call(second))
            answer(second)

    process = Process(script)
    transport = CurlTransport()
    assert transport.send(process.address, CALL).status == 200
    assert transport.send(process.address, CALL).status == 200
    process.close()
    assert len(set(calls)) == 1


@pytest.mark.parametrize(
    "half", [b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{", b"HTTP/1.1 20", b"\0\r\n\r\n"]
)
def test_an_answer_that_is_not_whole_is_none(half: bytes) -> None:
    def script(listening: socket.socket) -> None:
        with listening.accept()[0] as connection:
            read_call(connection)
            answer(connection, half)

    process = Process(script)
    with pytest.raises(NoAnswerError):
        CurlTransport().send(process.address, CALL)
    process.close()


def test_a_surplus_answer_is_not_taken_for_that_of_the_next_call() -> None:
    def script(listening: socket.socket) -> None:
        with listening.accept()[0] as first:
            read_call(first)
            answer(
                first,
                b"HTTP/1.1 412 X\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}",
            )
            with listening.accept()[0] as second:
                read_call(second)
                answer(second, b"HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}")

    process = Process(script)
    transport = CurlTransport()
    assert transport.send(process.address, CALL).status == 412
    assert transport.send(process.address, CALL).status == 409
    process.close()
