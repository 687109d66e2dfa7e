"""The operator client's transport on real sockets, including automatic retransmission by curl."""

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
    """A stand-in for a control process: runs `script`, which accepts connections and responds."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())
        self._thread = threading.Thread(target=script, args=(self._socket,), daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._thread.join(20.0)
        self._socket.close()


def test_a_call_on_a_closed_persistent_connection_is_only_repeated_unchanged() -> None:
    """A call that curl repeats must be identical, so that the control state recognises it as a duplicate."""
    calls = []

    def script(listening: socket.socket) -> None:
        with listening.accept()[0] as first:
            calls.append(read_call(first))
            answer(first)
            calls.append(read_call(first))  # closes without a response
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
    "incomplete", [b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{", b"HTTP/1.1 20", b"\0\r\n\r\n"]
)
def test_an_incomplete_response_counts_as_no_response(incomplete: bytes) -> None:
    def script(listening: socket.socket) -> None:
        with listening.accept()[0] as connection:
            read_call(connection)
            answer(connection, incomplete)

    process = Process(script)
    with pytest.raises(NoAnswerError):
        CurlTransport().send(process.address, CALL)
    process.close()


def test_a_surplus_response_is_not_matched_to_the_next_call() -> None:
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
