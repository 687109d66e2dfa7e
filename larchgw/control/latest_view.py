"""The latest view known to a control process, which defines the witnesses used for proving contact.

A member learns of a view from its primary. A member that was removed while it was partitioned may reach only
one witness of the view it knows, and no process that would inform it of the next view. Therefore every
process publishes the view that it has accepted, and the pulls that prove contact transfer it. Because a later
view was accepted by a majority of the witnesses of the one before, every majority of the old view includes a
member that knows the later one.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from ..distribution.keys import VIEW_KEY
from ..distribution.registry import Registry
from ..replication.view import View
from ..rpc.generated.ttypes import Entry


class LatestView:
    """The latest of the view that this member has accepted and those that others have published."""

    def __init__(self, accepted: Callable[[], View | None], registry: Registry) -> None:
        """Starts watching the registry.

        Args:
            accepted: Returns the view that this member has accepted last.
            registry: Holds the views that others have published.
        """
        self._accepted, self._registry = accepted, registry
        self._published: View | None = None
        registry.watch(VIEW_KEY, self._receive)

    def publish(self) -> None:
        """Publishes the accepted view; has no effect if this or a later view is already published."""
        view = self._accepted()
        if view is not None and (self._published is None or self._published.epoch < view.epoch):
            self._registry.put(VIEW_KEY, json.dumps(view.to_json()).encode(), view.epoch)

    def get(self) -> View | None:
        """Returns the known view with the highest epoch, or None."""
        known = [view for view in (self._accepted(), self._published) if view is not None]
        return max(known, key=lambda view: view.epoch, default=None)

    def other_witnesses(self, own_address: str) -> list[str]:
        """Returns the RPC addresses of all witnesses except `own_address`; empty while no view is known."""
        view = self.get()
        if view is None:
            return []
        addresses = dict.fromkeys(view.addresses[name] for name in view.all_witnesses)
        return [address for address in addresses if address != own_address]

    def _receive(self, entry: Entry) -> None:
        self._published = View.from_json(json.loads(entry.value))
