"""The links of this process, by host, and the listeners to their changes."""

from __future__ import annotations

import random
from collections.abc import Callable

from .orders import HEALTHY, Link, Order


class Links:
    """The links as the last order has set them."""

    def __init__(self, random_source: random.Random) -> None:
        """All links are healthy; `random_source` decides which datagrams of a lossy link are lost."""
        self._random = random_source
        self._links: dict[str, Link] = {}
        self._listeners: set[Callable[[frozenset[str]], None]] = set()

    def of(self, host: str) -> Link:
        """The link to this host."""
        return self._links.get(host, HEALTHY)

    def apply(self, order: Order) -> None:
        """Carries an order out."""
        self._links = dict(order.links)
        reset = frozenset(order.reset)
        for listener in list(self._listeners):
            listener(reset)

    def listen(self, listener: Callable[[frozenset[str]], None]) -> None:
        """Calls the listener after each order, with the hosts whose connections are reset."""
        self._listeners.add(listener)

    def forget(self, listener: Callable[[frozenset[str]], None]) -> None:
        """Calls it no longer."""
        self._listeners.discard(listener)

    def loses(self, host: str) -> bool:
        """Whether a datagram that is sent to this host now is lost."""
        link = self.of(host)
        return link.hold_sent or (link.loss > 0.0 and self._random.random() < link.loss)
