"""The test's side: which links between which hosts are held, and the orders that follow from it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
from itertools import product

from .loop import ACKNOWLEDGEMENT
from .orders import HEALTHY, MAX_MESSAGE_BYTES, Link, Order

ACKNOWLEDGE_TIMEOUT_S = 30.0  # that a busy process may take to carry an order out


class LinkController:
    """Gives orders to the processes of some hosts. A process is attached at each of its starts."""

    def __init__(self) -> None:
        """No process is attached, and all links are healthy."""
        self._links: dict[str, dict[str, Link]] = {}  # by the host of the process, then by the other host
        self._sockets: dict[str, socket.socket] = {}
        self._locks: dict[str, asyncio.Lock] = {}  # one order at a time for each process

    def attach(self, host: str) -> socket.socket:
        """The socket that the process of this host is to inherit; close it here once it has started."""
        self.detach(host)
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        ours.setblocking(False)
        self._sockets[host] = ours
        ours.send(self._current_order(host).encode())  # read before anything else; there is no answer
        return theirs

    def detach(self, host: str) -> None:
        """The process of this host has ended."""
        old = self._sockets.pop(host, None)
        if old is not None:
            old.close()

    def close(self) -> None:
        """Gives no more orders; links stay as they are."""
        for host in list(self._sockets):
            self.detach(host)

    async def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Holds all that these processes send to those hosts, in this direction only."""
        await self._order_all(self._hold(senders, receivers, True))

    async def heal(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Lets through again what `cut` holds."""
        await self._order_all(self._hold(senders, receivers, False))

    async def isolate(
        self,
        group: Collection[str],
        others: Iterable[str],
        hold_outgoing: bool = True,
        hold_incoming: bool = True,
    ) -> None:
        """Cuts a group of hosts from the others: what it sends to them, what they send to it, or both."""
        await self._order_all(self._hold_group(group, others, hold_outgoing, hold_incoming, True))

    async def rejoin(self, group: Collection[str], others: Iterable[str]) -> None:
        """Ends what `isolate` began."""
        await self._order_all(self._hold_group(group, others, True, True, False))

    async def impair(self, host: str, others: Iterable[str], delay_ms: float, loss: float) -> None:
        """Makes what this process sends to those hosts late and its datagrams lossy; zeros end it."""
        for other in others:
            self._change_link(host, other, lambda link: replace(link, delay_ms=delay_ms, loss=loss))
        await self._send_order(host)

    async def reset(self, host: str, others: Iterable[str]) -> None:
        """Resets the connections that this process has opened to those hosts."""
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
        """Holds or lets through one direction; returns the hosts whose processes need a new order.

        What a host sends goes by connections that it opened, and by those that the other one opened.
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
        """Returns once the process has carried the order out, or does not run. Raises TimeoutError."""
        async with self._locks.setdefault(host, asyncio.Lock()):
            sock = self._sockets.get(host)
            if sock is None:
                return
            loop = asyncio.get_running_loop()
            try:
                sock.send(self._current_order(host, reset).encode())
                async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_S):
                    answer = await loop.sock_recv(sock, MAX_MESSAGE_BYTES)
            except (BrokenPipeError, ConnectionResetError):  # it has ended; a new one gets it at its start
                return
        if answer not in (ACKNOWLEDGEMENT, b""):
            raise ValueError(f"{host} answered an order with {answer!r}")
