"""One dispatcher: the real core, told of time, boxes and jobs by models."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ...dispatcher.core import Answer, Core, Request
from ...dispatcher.core.requests import JobMessage
from ...dispatcher.scheduling.interface import ListKind, Member
from .carrier import Carrier, Told
from .deployment import Deployment
from .scenario import RoomMaker, settings_for

CLIENT_WAY = 0.0009  # seconds one way between clients and dispatchers
MAX_OPEN = 1 << 20  # requests: as good as no limit
MAX_BODY_BYTES = 1 << 30


class Dispatcher:
    """It is its own front."""

    def __init__(
        self,
        deployment: Deployment,
        index: int,
        room: RoomMaker,
        listed: Sequence[Member],
        answered: Callable[[Request, Answer], None],
    ) -> None:
        self.index, self.name = index, f"n{index + 1}"
        self.zone = index % deployment.scenario.fleet.zones
        self.alive = True
        self._time, self._answered = deployment.time, answered
        settings = settings_for(deployment.scenario, self.zone, index)
        self.room = room(settings)
        self.core = Core(
            settings,
            deployment.seed * 1000 + index,
            deployment.time,
            deployment.time.deadlines,
            MAX_OPEN,
            MAX_BODY_BYTES,
            self.room,
        )
        # What it was last told of each box: a list with new weights brings no later news of anything else.
        self.told: Told = {member.worker: (member.presence, member.up_since) for member in listed}
        self.carrier = Carrier(deployment, self.name, self.zone, self.core, self.told)
        self.core.add_transport(self.carrier)
        self.core.listed(ListKind.FULL, listed)

    def answer(self, request: Request, answer: Answer) -> None:
        """The answer goes to the client."""
        if self.alive:
            self._time.at(self._time.now() + CLIENT_WAY, lambda: self._answered(request, answer))

    def news(self, request: Request, kind: JobMessage, data: bytes) -> None:
        """The clients here hear of ends only."""

    def die(self) -> None:
        """Its process is killed."""
        self.alive = False
        self.carrier.drop_all()
