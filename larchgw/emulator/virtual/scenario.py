"""What one run is to be, and what its dispatchers are told at their start."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ...dispatcher.capacity.interface import NO_RESERVATIONS, ReservationPolicy
from ...dispatcher.scheduling.interface import JobClass, Settings
from ..fleet import Fault, FleetSpec
from ..load import LoadSpec

RoomMaker = Callable[[Settings], ReservationPolicy]


def no_room(settings: Settings) -> ReservationPolicy:
    """Holds no room for large jobs."""
    return NO_RESERVATIONS


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run: who is there, what comes, and what goes wrong."""

    fleet: FleetSpec = field(default_factory=FleetSpec)
    load: LoadSpec = field(default_factory=LoadSpec)
    dispatchers: int = 3
    by_work: bool = True  # worth counts for each second of work, as at Lakeshore; else for each job
    seconds: float = 60.0
    faults: Sequence[Fault] = ()
    same_room_s: float = 0.0002  # one way
    other_room_s: float = 0.0006
    list_s: tuple[float, float] = (1.0, 4.0)  # seconds until discovery tells of a drain
    crashes: Sequence[tuple[int, float]] = ()  # dispatchers that are killed, and when
    back_s: float = 0.0  # seconds until a killed dispatcher is back, knowing nothing; 0: never
    weights_s: float = 0.0  # seconds between two lists with live weights; 0: there are none
    weights_late_s: float = 0.3  # by which such a list is older than its coming
    read_weights: bool = True  # whether dispatchers are told that weights are live
    uneven: float = 0.0  # 0: dispatchers of a zone get alike; 1: some get several times the mean


def settings_for(scenario: Scenario, zone: int, rank: int = -1) -> Settings:
    """What a dispatcher is told at its start."""
    classes = [
        JobClass(c.name, c.aim, c.deadline, c.worth, 0.0, c.stretch, c.effect, priority=c.priority)
        for c in scenario.load.classes
    ]
    return Settings(
        classes,
        instances=scenario.dispatchers,
        zone=zone,
        zones=scenario.fleet.zones,
        max_attempts=3,
        can_cancel=True,
        can_probe=True,
        max_retry_after=2.0,
        drain_grace=1.0,
        cold_from=0.15,
        warm_up=22.0,
        tip_multiple=2.5,
        tip_span=3.0,
        worth_by_work=scenario.by_work,
        tells_start=True,
        slot_reports=2,
        queue_reports=1,
        fail_reports=0,
        fifo=scenario.fleet.order.value == "fifo",
        price_cross=0.027,
        price_waste=0.3,
        price_late=0.041,
        price_probe=0.004,
        live_weights=scenario.weights_s > 0 and scenario.read_weights,
        rank=rank,
    )
