"""The test's side of link faults: keeps the state of all links and sends orders to the processes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
from itertools import product

from .loop import ACKNOWLEDGEMENT
from .orders import HEALTHY, MAX_MESSAGE_BYTES, Link, Order

ACKNOWLEDGE_TIMEOUT_S = 30.0  # long enough for a busy process to apply an order


class LinkController:
    """Controls the links of the processes under test, one per host. `attach` is called at each start."""

    def __init__(self) -> None:
        """Starts without attached processes and with healthy links."""
        self._links: dict[str, dict[str, Link]] = {}  # by host of the process, then by remote host
        self._sockets: dict[str, socket.socket] = {}
        self._locks: dict[str, asyncio.Lock] = {}  # serialise the orders of each process

    def attach(self, host: str) -> socket.socket:
        """Returns the socket that the host's process inherits; the caller closes it after the start."""
        self.detach(host)
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        ours.setblocking(False)
        self._sockets[host] = ours
        ours.send(self._current_order(host).encode())  # read before the program starts; not acknowledged
        return theirs

    def detach(self, host: str) -> None:
        """Drops the socket to the host's process, which has ended."""
        old = self._sockets.pop(host, None)
        if old is not None:
            old.close()

    def close(self) -> None:
        """Stops sending orders: closes the sockets of all processes."""
        for host in list(self._sockets):
            self.detach(host)

    async def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Holds data from `senders` to `receivers`, in this direction only."""
        await self._order_all(self._hold(senders, receivers, True))

    async def heal(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Ends `cut` for these hosts and delivers the held data."""
        await self._order_all(self._hold(senders, receivers, False))

    async def isolate(
        self,
        group: Collection[str],
        others: Iterable[str],
        hold_outgoing: bool = True,
        hold_incoming: bool = True,
    ) -> None:
        """Holds data between a group and the other hosts: from the group, to the group, or both."""
        await self._order_all(self._hold_group(group, others, hold_outgoing, hold_incoming, True))

    async def rejoin(self, group: Collection[str], others: Iterable[str]) -> None:
        """Ends `isolate` in both directions."""
        await self._order_all(self._hold_group(group, others, True, True, False))

    async def impair(self, host: str, others: Iterable[str], delay_ms: float, loss: float) -> None:
        """Sets delay and datagram loss from one host to the others; zeros end both."""
        for other in others:
            self._change_link(host, other, lambda link: replace(link, delay_ms=delay_ms, loss=loss))
        await self._send_order(host)

    async def reset(self, host: str, others: Iterable[str]) -> None:
        """Resets the connections that the host's process has opened to the others."""
        await self._send_order(host, tuple(others))

    def _hold_group(
        self,
        group: Collection[str],
        others: Iterable[str],
        hold_outgoing: bool,
        hold_incoming: bool,
        held: bool,
    ) -> set[str]:
        rest = [other for other in others if other not in group]
        changed_hosts: set[str] = set()
        if hold_outgoing:
            changed_hosts |= self._hold(group, rest, held)
        if hold_incoming:
            changed_hosts |= self._hold(rest, group, held)
        return changed_hosts

    def _hold(self, senders: Iterable[str], receivers: Iterable[str], held: bool) -> set[str]:
        """Sets the state of one direction; returns the hosts whose processes need a new order.

        Both ends change, because a host sends on connections opened by itself and by the other host.
        """
        changed_hosts: set[str] = set()
        for sender, receiver in product(senders, list(receivers)):
            self._change_link(sender, receiver, lambda link: replace(link, hold_sent=held))
            self._change_link(receiver, sender, lambda link: replace(link, hold_received=held))
            changed_hosts |= {sender, receiver}
        return changed_hosts

    def _change_link(self, host: str, other: str, change: Callable[[Link], Link]) -> None:
        links = self._links.setdefault(host, {})
        links[other] = change(links.get(other, HEALTHY))

    def _current_order(self, host: str, reset: Iterable[str] = ()) -> Order:
        links = self._links.get(host, {})
        return Order({other: link for other, link in links.items() if link != HEALTHY}, reset)

    async def _order_all(self, hosts: Iterable[str]) -> None:
        await asyncio.gather(*(self._send_order(host) for host in hosts))

    async def _send_order(self, host: str, reset: Iterable[str] = ()) -> None:
        """Sends the current order; returns once it is applied or if no process runs. Raises TimeoutError."""
        async with self._locks.setdefault(host, asyncio.Lock()):
            sock = self._sockets.get(host)
            if sock is None:
                return
            loop = asyncio.get_running_loop()
            try:
                sock.send(self._current_order(host, reset).encode())
                async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_S):
                    answer = await loop.sock_recv(sock, MAX_MESSAGE_BYTES)
            except (
                BrokenPipeError,
                ConnectionResetError,
            ):  # it has ended; `attach` sends the order to the next
                return
        if answer not in (ACKNOWLEDGEMENT, b""):
            raise ValueError(f"{host} answered an order with {answer!r}")
