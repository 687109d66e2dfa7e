"""The membership protocol on a socket, with a stub or a real datagram transport."""

import asyncio
import socket
from random import Random
from typing import Any

from larchgw.membership.codec import DatagramBuilder, decode
from larchgw.membership.member import Member, MemberState
from larchgw.membership.messages import Message, MessageKind, Ping
from larchgw.membership.settings import SwimSettings
from larchgw.membership.swim import Swim
from larchgw.membership.transport import SwimTransport

ME = Member("edge-1", "127.0.0.1:7662", "edge", 1000)
PEER = Member("control-1", "127.0.0.1:7661", "control", 2000)


class DatagramTransportStub(asyncio.DatagramTransport):
    """Records sent messages."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[tuple[Any, Message]] = []
        self.closed = False

    def sendto(self, data: bytes | bytearray | memoryview, addr: Any = None) -> None:
        self.sent.append((addr, decode(bytes(data))))

    def close(self) -> None:
        self.closed = True


def connected() -> tuple[SwimTransport, DatagramTransportStub]:
    transport, stub = (
        SwimTransport(Swim(ME, SwimSettings(), Random(1)), "127.0.0.1", 7662),
        DatagramTransportStub(),
    )
    transport.connection_made(stub)
    return transport, stub


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for udp_socket in sockets:
        udp_socket.bind(("127.0.0.1", 0))
    ports = [udp_socket.getsockname()[1] for udp_socket in sockets]
    for udp_socket in sockets:
        udp_socket.close()
    return ports


def ping(transport: SwimTransport, sequence: int = 5) -> None:
    transport.datagram_received(DatagramBuilder(Ping(sequence, PEER)).build(), ("127.0.0.1", 7661))


def test_ping_is_acknowledged_to_the_address_it_came_from() -> None:
    transport, stub = connected()
    ping(transport)
    assert [(to, m.kind, m.sequence) for to, m in stub.sent] == [(("127.0.0.1", 7661), MessageKind.ACK, 5)]


def test_invalid_datagrams_and_socket_errors_do_not_stop_the_transport() -> None:
    transport, stub = connected()
    transport.datagram_received(b"GET / HTTP/1.1\r\n\r\n", ("127.0.0.1", 9))
    transport.error_received(ConnectionRefusedError())
    assert stub.sent == []
    ping(transport)
    assert len(stub.sent) == 1


def test_graceful_leave_is_notified_before_the_socket_closes() -> None:
    transport, stub = connected()
    ping(transport)
    stub.sent.clear()
    transport.leave()
    assert [(to, m.sender.state) for to, m in stub.sent] == [(("127.0.0.1", 7661), MemberState.LEFT)]
    assert stub.closed
    ping(transport)
    assert len(stub.sent) == 1


def test_two_processes_find_each_other_over_real_sockets() -> None:
    async def scenario() -> str:
        found: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        def on_change(member: Member) -> None:
            if not found.done():
                found.set_result(member.name)

        ports = free_ports(2)
        first = Swim(Member("control-1", f"127.0.0.1:{ports[0]}", "control", 1), SwimSettings(), Random(1))
        second = Swim(Member("edge-1", f"127.0.0.1:{ports[1]}", "edge", 1), SwimSettings(), Random(2))
        first.on_change = on_change
        second.join([first.local_member.address])
        transports = [
            SwimTransport(swim, "127.0.0.1", port) for swim, port in zip((first, second), ports, strict=True)
        ]
        for transport in transports:
            await transport.start()
        try:
            return await asyncio.wait_for(found, 10.0)
        finally:
            for transport in transports:
                transport.close()

    assert asyncio.run(scenario()) == "edge-1"
