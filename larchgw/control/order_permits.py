"""When this process, as the placer, may send an order to a runner: by the witnesses of its lease."""

from __future__ import annotations

from ..identifiers import RunnerId
from ..replication.lease_acts import ACT_DELIVERY_S
from .errors import ReplicationUnavailableError
from .replicated_log import ReplicatedLog

PLACER_LEASE = "placer"
"""Name of the lease whose holder is the placer."""


class LeaseOrderPermits:
    """Permits orders as acts under the placer's lease, each announced to the witnesses before it is sent.

    Times are seconds on the clock of the log.

    Source: `replication.lease_acts`; the rule ONE of the rules page.
    """

    def __init__(self, log: ReplicatedLog) -> None:
        """Permits nothing before this process holds the lease.

        Args:
            log: Knows the lease and its witnesses.
        """
        self._log = log

    async def announce(self, runner_id: RunnerId) -> None:
        """Announces an order to a runner; where that fails, `permitted_until_s` permits none."""
        try:
            await self._log.announce(PLACER_LEASE, runner_id)
        except ReplicationUnavailableError:
            return

    def permitted_until_s(self, runner_id: RunnerId) -> float:
        """Until when an announced order may be sent; minus infinity if it may not."""
        return self._log.act_permitted_until(PLACER_LEASE, runner_id)

    def free_at_s(self, runner_id: RunnerId) -> float:
        """From when on this process may order at a runner that another process has ordered at lately."""
        return self._log.member.target_free_at(PLACER_LEASE, runner_id)

    def unknown_orders_until_s(self) -> float:
        """When the last order of another process that this one knows nothing of may have arrived."""
        return self._log.member.unknown_acts_until(PLACER_LEASE) + ACT_DELIVERY_S
