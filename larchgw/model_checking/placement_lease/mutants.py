"""Mutants of the code around the placer's lease, each with the seed of a run that catches it."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ...control.order_permits import LeaseOrderPermits
from ...placement.load_rate_limit import LoadHistory, LoadRateLimiter
from ...replication.lease import LeaseHolder
from ...replication.lease_acceptor import LeaseAcceptor
from ..mutants import Mutant, Patch, always
from ..replication.lease_mistakes import OMITS_ANNOUNCED_TARGETS
from .runs import play_faults


def _adopts_nothing(
    original: Callable[[LoadRateLimiter, float, LoadHistory], None],
) -> Callable[[LoadRateLimiter, float, LoadHistory], None]:
    def adopt(self: LoadRateLimiter, now_s: float, history: LoadHistory) -> None:
        original(self, now_s, LoadHistory(-inf, ()))

    return adopt


MUTANTS = (
    Mutant(
        "does not tell which runners were announced",
        play_faults,
        1,
        (OMITS_ANNOUNCED_TARGETS,),
    ),
    Mutant(
        "orders without a permit",
        play_faults,
        1,
        (
            Patch(LeaseOrderPermits, "permitted_until_s", always(inf)),
            Patch(LeaseOrderPermits, "free_at_s", always(-inf)),
        ),
    ),
    Mutant(
        "does not count the loads of a predecessor",
        play_faults,
        5,
        (Patch(LoadRateLimiter, "adopt", _adopts_nothing),),
    ),
    Mutant(
        "counts no load of its own",
        play_faults,
        20,
        (Patch(LoadRateLimiter, "reserve", always(None)), Patch(LoadRateLimiter, "confirm", always(None))),
    ),
    Mutant(
        "grants any token",
        play_faults,
        0,
        (
            Patch(LeaseAcceptor, "_remaining", always(0.0)),
            Patch(LeaseHolder, "action_permitted_until", always(inf)),
        ),
    ),
)
