"""Capacity planning for large jobs: reservations at workers, with backfilling by other jobs. Does no I/O."""

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
