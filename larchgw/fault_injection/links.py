"""The state of this process's links, and listeners for changes."""

from __future__ import annotations

import random
from collections.abc import Callable

from .orders import HEALTHY, Link, Order


class Links:
    """The links by host, as set by the last order."""

    def __init__(self, random_source: random.Random) -> None:
        """Starts with healthy links; `random_source` selects the datagrams that lossy links drop."""
        self._random = random_source
        self._links: dict[str, Link] = {}
        self._listeners: set[Callable[[frozenset[str]], None]] = set()

    def link_to(self, host: str) -> Link:
        """Returns the link to this host."""
        return self._links.get(host, HEALTHY)

    def apply(self, order: Order) -> None:
        """Applies an order and calls the listeners."""
        self._links = dict(order.links)
        reset = frozenset(order.reset)
        for listener in list(self._listeners):
            listener(reset)

    def add_listener(self, listener: Callable[[frozenset[str]], None]) -> None:
        """Registers a listener, called after each order with the hosts whose connections are reset."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[frozenset[str]], None]) -> None:
        """Unregisters a listener."""
        self._listeners.discard(listener)

    def drops_datagram(self, host: str) -> bool:
        """Decides whether to drop a datagram to this host; may draw a random number."""
        link = self.link_to(host)
        return link.hold_sent or (link.loss > 0.0 and self._random.random() < link.loss)
