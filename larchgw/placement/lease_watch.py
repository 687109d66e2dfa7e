"""Whether this process may order now, and when that changed."""

from __future__ import annotations

import math
from collections.abc import Callable

from .service_runtime import Lease, PlacementRuntime


class LeaseWatch:
    """Reads the lease, and calls back when it was acquired or lost.

    Attributes:
        fencing_token: Of the lease that was held at the last look; None if none was.
        acquired_at_s: When it was acquired.
    """

    def __init__(
        self,
        runtime: PlacementRuntime,
        on_acquired: Callable[[float, int], None],
        on_lost: Callable[[float], None],
    ) -> None:
        """Starts without a lease.

        Args:
            runtime: Gives the lease and the time.
            on_acquired: Called with the time and the fencing token of a new lease.
            on_lost: Called with the time; before `on_acquired` where one lease follows another.
        """
        self._runtime = runtime
        self._on_acquired, self._on_lost = on_acquired, on_lost
        self.fencing_token: int | None = None
        self.acquired_at_s = math.inf
        self._min_fencing_token = 0  # below it, runners have seen another holder

    def current(self) -> Lease | None:
        """Returns the lease; None if this process may not order.

        Each order needs a permit besides (`OrderPermits`), which sees to it that it arrives in time.
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
        """Notes that a runner has seen a higher fencing token than this one: it is not used any more."""
        self._min_fencing_token = fencing_token + 1
