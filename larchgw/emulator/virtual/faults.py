"""What goes wrong with boxes: each fault at its time, and the end of it."""

from __future__ import annotations

from ...dispatcher.scheduling.interface import Presence
from ..box import Box
from ..fleet import Fault
from .deployment import Deployment
from .discovery import Discovery


class Faults:
    """Strikes boxes, and has discovery tell of those that drain, fall or come back."""

    def __init__(self, deployment: Deployment, discovery: Discovery) -> None:
        self._time, self._discovery = deployment.time, discovery
        self._boxes = list(deployment.boxes.values())

    def strike(self, fault: Fault) -> None:
        """This goes wrong now."""
        box = self._boxes[fault.box % len(self._boxes)]
        until = self._time.now() + fault.seconds
        if fault.what == "slow":
            box.set_slow(fault.size)
            self._time.at(until, lambda: box.set_slow(1.0))
        elif fault.what == "hang":
            box.set_hung(True)
            self._time.at(until, lambda: box.set_hung(False))
        elif fault.what == "fail":
            box.fail_share = fault.size
            self._time.at(until, lambda: setattr(box, "fail_share", 0.0))
        elif fault.what == "cut":
            box.cut()
        elif fault.what in ("drain", "deploy"):
            self._discovery.tell(box, Presence.DRAINING)
            self._time.at(self._time.now() + 0.5, box.drain)
            if fault.what == "deploy":
                self._time.at(until, lambda: self._restart(box))
        else:
            box.crash()
            self._discovery.tell(box, Presence.GONE)
            self._time.at(until, lambda: self._restart(box))

    def _restart(self, box: Box) -> None:
        if box.up:
            box.crash()
        box.start()
        self._discovery.tell(box, Presence.READY)
