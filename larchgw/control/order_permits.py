"""When this process, as the placer, may send an order to a runner: by the witnesses of its lease."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from ..identifiers import RunnerId
from ..placement.load_rate_limit import LoadHistory
from ..replication.lease import Lease
from ..replication.lease_actions import ACTION_DELIVERY_S, ACTION_START_WINDOW_S
from ..replication.member import Member
from .errors import ReplicationUnavailableError

PLACER_LEASE = "placer"
"""Name of the lease whose holder is the placer."""
STORE_LOAD_PREFIX = "store-load/"
"""Before the fencing token and a serial number: each load from the weight store is announced as a target."""


class LeaseActionAnnouncer(Protocol):
    """Announces acts under a lease; `ReplicatedLog` is the implementation."""

    @property
    def member(self) -> Member:
        """The replication member of this process."""

    def lease(self, name: str) -> Lease | None:
        """The lease, while this process holds it."""

    async def announce(self, lease_name: str, targets: Sequence[str]) -> None:
        """Announces an act; raises ReplicationUnavailableError where no quorum of witnesses answers."""

    def action_permitted_until(self, lease_name: str, target: str) -> float:
        """Until when an announced act may be begun."""


class LeaseOrderPermits:
    """Permits orders as acts under the placer's lease, each announced to the witnesses before it is sent.

    Times are seconds on the clock of the log.

    Source: `replication.lease_actions`; the rule ONE of the rules page.
    """

    def __init__(self, log: LeaseActionAnnouncer) -> None:
        """Permits nothing before this process holds the lease.

        Args:
            log: Knows the lease and its witnesses.
        """
        self._log = log
        self._store_loads = 0

    async def announce(self, runner_id: RunnerId, is_store_load: bool) -> None:
        """Announces an order to a runner; where that fails, `permitted_until_s` permits none."""
        targets = [str(runner_id)]
        lease = self._log.lease(PLACER_LEASE)
        if is_store_load and lease is not None:
            self._store_loads += 1
            targets.append(f"{STORE_LOAD_PREFIX}{lease.fencing_token}/{self._store_loads}")
        try:
            await self._log.announce(PLACER_LEASE, targets)
        except ReplicationUnavailableError:
            return

    def permitted_until_s(self, runner_id: RunnerId) -> float:
        """Until when an announced order may be sent; minus infinity if it may not."""
        return self._log.action_permitted_until(PLACER_LEASE, runner_id)

    def free_at_s(self, runner_id: RunnerId) -> float:
        """From when on this process may order at a runner that another process has ordered at lately."""
        return self._log.member.target_free_at(PLACER_LEASE, runner_id)

    def load_history(self) -> LoadHistory:
        """Loads from the weight store that were ordered before this holding of the lease."""
        history = self._log.member.action_history(PLACER_LEASE)
        longest_s = ACTION_START_WINDOW_S + ACTION_DELIVERY_S
        begun_by_s = tuple(
            announced_at + longest_s
            for target, announced_at in history.announced_at.items()
            if target.startswith(STORE_LOAD_PREFIX)
        )
        return LoadHistory(history.complete_since + longest_s, begun_by_s)
