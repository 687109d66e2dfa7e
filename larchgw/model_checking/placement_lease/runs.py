"""Fault injection runs, and runs with a single loss of the placer, each determined by its seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from ..errors import InvariantError
from ..links import cut_off
from ..replication.fault_injection import FaultInjector
from ..replication.machine import Machine
from .cluster import PlacementCluster

SHAPES = ((3, 3, 1), (5, 3, 2), (3, 3, 1), (5, 5, 2))  # machines, seeds among them, machines that may be lost
FAULT_INTERVALS_S = (0.6, 1.5, 3.0)
FAULTS_S = 12.0
RECOVERED_WITHIN_S = 6.0  # from the end of the faults to the next order
LOSSES = ("killed", "power lost", "frozen", "cut off")
WARM_UP_S = 8.0  # before the loss, so that orders are in transit
MAX_VACANCY_S = 30.0


@dataclass(frozen=True, slots=True)
class PlacerLoss:
    """One forced loss of the process that places models.

    Attributes:
        how: One of `LOSSES`.
        vacancy_s: Seconds until another process's first order arrived at a runner.
    """

    how: str
    vacancy_s: float


def play_faults(seed: int) -> PlacementCluster:
    """Executes a run with faults and the recovery from them.

    Raises:
        InvariantError: An invariant of orders or of replication is violated.
    """
    cluster = PlacementCluster(seed, *SHAPES[seed % len(SHAPES)])
    injector = FaultInjector(cluster)
    injector.play(FAULTS_S, FAULT_INTERVALS_S[seed % len(FAULT_INTERVALS_S)])
    injector.recover()
    orders = len(cluster.order_checks.orders)
    if not cluster.run_until(lambda: len(cluster.order_checks.orders) > orders, RECOVERED_WITHIN_S):
        raise InvariantError(f"no placer sends orders {RECOVERED_WITHIN_S} s after the end of all faults")
    return cluster


def play_loss(seed: int) -> PlacerLoss:
    """Executes a run with a single fault, the loss of the placer, while the demand changes.

    Raises:
        InvariantError: An invariant of orders is violated, or no other process becomes the placer.
    """
    cluster = PlacementCluster(seed, *SHAPES[seed % len(SHAPES)])
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    cluster.run(WARM_UP_S + Random(seed).uniform(0.0, 4.0))
    (placer,) = cluster.holders()
    lost_at, how = cluster.now, LOSSES[(seed // len(SHAPES)) % len(LOSSES)]
    _lose(cluster, placer, how)

    def has_successor() -> bool:
        last = cluster.order_checks.orders[-1]
        return last.at > lost_at and last.holder != placer.address

    if not cluster.run_until(has_successor, MAX_VACANCY_S):
        raise InvariantError(f"no placer sends orders {MAX_VACANCY_S} s after the placer was lost ({how})")
    return PlacerLoss(how, cluster.order_checks.orders[-1].at - lost_at)


def _lose(cluster: PlacementCluster, placer: Machine, how: str) -> None:
    if how == "killed":
        cluster.kill(placer.address)
    elif how == "power lost":
        cluster.lose_power(placer.address)
    elif how == "frozen":
        cluster.freeze(placer.address)
    else:
        cluster.links.is_cut = cut_off([placer.address])
