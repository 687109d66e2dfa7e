"""Discovery: the list of boxes, told late, and their weights where it knows them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from ...dispatcher.scheduling.interface import ListKind, Member, Presence, WorkerId
from ..box import Box
from ..fleet import KINDS
from .carrier import GONE
from .deployment import Deployment
from .dispatcher import Dispatcher

KIND_NUMBERS = {kind[0]: number for number, kind in enumerate(KINDS)}
NOMINAL = {name: (slow + fast) / 2.0 for name, _, slow, fast, _, _ in KINDS}


def nominal(box: Box) -> float:
    """The size that discovery gives a box: that of its kind, whatever this one can do."""
    return NOMINAL[box.spec.kind] * box.spec.cores


class Discovery:
    """Tells every dispatcher, each in its own time."""

    def __init__(self, deployment: Deployment, dispatchers: Sequence[Dispatcher]) -> None:
        self._scenario, self._time, self._records = deployment.scenario, deployment.time, deployment.records
        self._random, self._boxes, self._dispatchers = deployment.random, deployment.boxes, dispatchers
        self._weights: dict[WorkerId, float] = {}  # as the last list had them

    def start(self) -> None:
        """Begins to send weights, where the scenario has them."""
        if self._scenario.weights_s:
            self._time.at(self._time.now() + self._scenario.weights_s, self._weigh)

    def members(self) -> list[Member]:
        """All boxes that are up now."""
        return [
            self.member(box, Presence.DRAINING if box.draining else Presence.READY)
            for box in self._boxes.values()
            if box.up
        ]

    def member(self, box: Box, presence: Presence = Presence.READY) -> Member:
        """A box as the list has it."""
        spec = box.spec
        return Member(
            spec.name.encode(),
            presence,
            box.up_since,
            KIND_NUMBERS[spec.kind],
            spec.zone,
            size=self._weights.get(spec.name.encode(), nominal(box)),
        )

    def _weigh(self) -> None:
        """Discovery takes the weights of all boxes, and everybody is told of those that have changed."""
        changed = []
        for name, box in self._boxes.items():
            held = len(box.waiting) + len(box.inside)
            weight = nominal(box) / (1.0 + held / box.spec.cores)
            if weight != self._weights.get(name, 0.0):
                self._weights[name] = weight
                changed.append(box)
        now = self._time.now()
        listed = [self.member(box) for box in changed]
        self._time.at(now + self._scenario.weights_late_s, lambda: self._tell_weights(listed))
        self._time.at(now + self._scenario.weights_s, self._weigh)

    def _tell_weights(self, listed: Sequence[Member]) -> None:
        for dispatcher in self._dispatchers:
            if dispatcher.alive:
                told = dispatcher.told
                dispatcher.core.listed(
                    ListKind.DELTA,
                    [
                        replace(m, presence=told[m.worker][0], up_since=told[m.worker][1])
                        for m in listed
                        if told.get(m.worker, GONE)[0] != Presence.GONE
                    ],
                )

    def tell(self, box: Box, presence: Presence) -> None:
        """This has become of a box; every dispatcher hears of it in its own time."""
        for dispatcher in self._dispatchers:
            late = self._random.uniform(*self._scenario.list_s)
            self._time.at(self._time.now() + late, lambda d=dispatcher: self._hear(d, box, presence))  # type: ignore[misc]

    def _hear(self, dispatcher: Dispatcher, box: Box, presence: Presence) -> None:
        if not dispatcher.alive:
            return
        now, name = self._time.now(), box.spec.name
        dispatcher.told[name.encode()] = (presence, box.up_since)
        if presence == Presence.READY:
            self._records.ready_told(dispatcher.name, name, now)
        else:
            self._records.drain_told(dispatcher.name, name, now)
        dispatcher.core.listed(ListKind.DELTA, [self.member(box, presence)])
