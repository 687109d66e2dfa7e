"""A scenario under one seed, run to its end."""

from __future__ import annotations

import random

from ...dispatcher.scheduling.interface import Presence
from ..box import Box
from ..fleet import draw
from ..load import arrivals
from ..vault import Vault
from .clients import Clients
from .deployment import Deployment
from .discovery import Discovery
from .dispatcher import Dispatcher
from .faults import Faults
from .scenario import RoomMaker, Scenario, no_room

LEAD_S = 1.0  # seconds before the first job is due
AFTER_S = 3.0  # seconds that each try may take beyond its deadline


class World:
    """The same seed gives the same records."""

    def __init__(self, scenario: Scenario, seed: int, room: RoomMaker = no_room) -> None:
        self.scenario, self._room = scenario, room
        self._deployment = Deployment(scenario, seed, random.Random(seed * 7 + 3))
        self.time, self.records = self._deployment.time, self._deployment.records
        self.jobs = arrivals(
            scenario.load, self.time.now() + LEAD_S, scenario.seconds, scenario.fleet.zones, seed
        )
        self.dispatchers: list[Dispatcher] = []
        self._clients = Clients(self._deployment, self.dispatchers, self.jobs)
        self._add_boxes()
        self._discovery = Discovery(self._deployment, self.dispatchers)
        self.dispatchers += [self._dispatcher(index) for index in range(scenario.dispatchers)]
        self._discovery.start()
        self._schedule_troubles()

    def run(self) -> None:
        """Until every job has its end."""
        self._clients.start()
        load = self.scenario.load
        longest = max(c.deadline for c in load.classes)
        self.time.run(
            self.time.now() + LEAD_S + self.scenario.seconds + (1 + load.retries) * (longest + AFTER_S)
        )

    def _add_boxes(self) -> None:
        fleet, seed = self.scenario.fleet, self._deployment.seed
        vault = Vault(self.time, fleet.lanes(self.scenario.load.rate), fleet.fetch_s)
        for index, spec in enumerate(draw(fleet, seed)):
            box = Box(self.time, spec, vault, seed * 100 + index, self._clients.began)
            self._deployment.boxes[spec.name.encode()] = box
        self.records.boxes += self._deployment.boxes.values()

    def _dispatcher(self, index: int) -> Dispatcher:
        return Dispatcher(
            self._deployment, index, self._room, self._discovery.members(), self._clients.answered
        )

    def _schedule_troubles(self) -> None:
        start, faults = self.time.now() + LEAD_S, Faults(self._deployment, self._discovery)
        for fault in self.scenario.faults:
            self.time.at(start + fault.at, lambda fault=fault: faults.strike(fault))  # type: ignore[misc]
        for index, at in self.scenario.crashes:
            self.time.at(start + at, lambda index=index: self._kill(index))  # type: ignore[misc]

    def _kill(self, index: int) -> None:
        dispatcher = self.dispatchers[index]
        dispatcher.die()
        if self.scenario.back_s:
            self.time.at(self.time.now() + self.scenario.back_s, lambda: self._return(index))
        self._clients.dispatcher_died(dispatcher)

    def _return(self, index: int) -> None:
        """A killed dispatcher is back under its name, with nothing that it knew."""
        back = self.dispatchers[index] = self._dispatcher(index)
        for worker, (presence, _) in back.told.items():
            if presence == Presence.READY:
                self.records.ready_told(back.name, worker.decode(), self.time.now())
