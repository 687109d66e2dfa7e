"""The latest view that is known at a control process: the majority of its witnesses decides on contact.

A member learns of a view from its primary. One that was left out while it was cut off may be in touch with
a single witness of the view it knows and with none that would tell it of the next. Each process therefore
publishes the view that it has accepted, and the pulls that prove contact bring it: a later view was accepted
by a majority of the witnesses before it, so every majority that a process can prove contact with by its old
view has a member that knows the later one.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from ..distribution.keys import VIEW_KEY
from ..distribution.registry import Registry
from ..replication.view import View
from ..rpc.generated.ttypes import Entry


class LatestView:
    """Of the view that this member has accepted and those that others have published, the latest."""

    def __init__(self, accepted: Callable[[], View | None], registry: Registry) -> None:
        """Follows the registry from now on.

        Args:
            accepted: Gives the view that this member has accepted last.
            registry: Holds what others have published.
        """
        self._accepted, self._registry = accepted, registry
        self._published: View | None = None
        registry.watch(VIEW_KEY, self._receive)

    def publish(self) -> None:
        """Publishes the accepted view; without effect if it, or a later one, is published already."""
        view = self._accepted()
        if view is not None and (self._published is None or self._published.epoch < view.epoch):
            self._registry.put(VIEW_KEY, json.dumps(view.to_json()).encode(), view.epoch)

    def get(self) -> View | None:
        """The view of the highest epoch; None while none is known."""
        known = [view for view in (self._accepted(), self._published) if view is not None]
        return max(known, key=lambda view: view.epoch, default=None)

    def other_witnesses(self, own_address: str) -> list[str]:
        """Rpc addresses of the witnesses but for the one at `own_address`; none while no view is known."""
        view = self.get()
        if view is None:
            return []
        addresses = dict.fromkeys(view.addresses[name] for name in view.all_witnesses)
        return [address for address in addresses if address != own_address]

    def _receive(self, entry: Entry) -> None:
        self._published = View.from_json(json.loads(entry.value))
