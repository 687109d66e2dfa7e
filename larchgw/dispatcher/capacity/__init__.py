"""Room for large jobs: reservations at boxes, and what may fill the gaps that they leave. Free of I/O."""

from .interface import NOTHING_HELD, Open, Room
from .planner import Planner, Reservation
from .settings import RoomSettings

__all__ = ["NOTHING_HELD", "Open", "Planner", "Reservation", "Room", "RoomSettings"]
