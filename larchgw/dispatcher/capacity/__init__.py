"""Room for large jobs: reservations at boxes, and what may fill the gaps that they leave. Free of I/O."""

from .interface import NO_RESERVATIONS, NoReservations, ReservationPolicy
from .planner import Planner, Reservation
from .settings import ReservationSettings

__all__ = [
    "NO_RESERVATIONS",
    "NoReservations",
    "Planner",
    "Reservation",
    "ReservationPolicy",
    "ReservationSettings",
]
