"""Tracks whether this process holds the placement lease."""

from __future__ import annotations

import math
from collections.abc import Callable

from .service_runtime import Lease, PlacementRuntime


class LeaseWatch:
    """Reads the lease, and invokes callbacks when it is acquired or lost.

    Attributes:
        fencing_token: Fencing token of the lease at the last call of `current`; None if there was no lease.
        acquired_at_s: Time at which the lease was acquired.
    """

    def __init__(
        self,
        runtime: PlacementRuntime,
        on_acquired: Callable[[float, int], None],
        on_lost: Callable[[float], None],
    ) -> None:
        """Starts without a lease.

        Args:
            runtime: Provides the lease and the clock.
            on_acquired: Called with the time and the fencing token of a new lease.
            on_lost: Called with the time; before `on_acquired` if one lease directly follows another.
        """
        self._runtime = runtime
        self._on_acquired, self._on_lost = on_acquired, on_lost
        self.fencing_token: int | None = None
        self.acquired_at_s = math.inf
        self._min_fencing_token = 0  # a runner has seen a higher fencing token than any below this one

    def current(self) -> Lease | None:
        """Returns the current lease; None if this process may not send orders.

        Each order also needs a permit (`OrderPermits`), which ensures that it arrives before the lease ends.
        """
        lease, now_s = self._usable_lease(), self._runtime.clock()
        if lease is not None and lease.expires_at <= now_s:
            lease = None
        fencing_token = lease.fencing_token if lease is not None else None
        if fencing_token != self.fencing_token:
            self._change(now_s, fencing_token)
        return lease

    def _usable_lease(self) -> Lease | None:
        lease = self._runtime.lease()
        return None if lease is None or lease.fencing_token < self._min_fencing_token else lease

    def _change(self, now_s: float, fencing_token: int | None) -> None:
        if self.fencing_token is not None:
            self._on_lost(now_s)
        if fencing_token is not None:
            self.acquired_at_s = now_s
            self._on_acquired(now_s, fencing_token)
        self.fencing_token = fencing_token

    def supersede(self, fencing_token: int) -> None:
        """Stops using leases up to this fencing token, since a runner has seen a higher one."""
        self._min_fencing_token = fencing_token + 1
