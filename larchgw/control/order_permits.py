"""Permission for the placer to send orders to runners, obtained from the witnesses of its lease."""

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
"""Name of the lease held by the placer."""
STORE_LOAD_PREFIX = "store-load/"
"""Prefix of the target that announces a load from the weight store: `<prefix><fencing token>/<serial>`."""


class LeaseActionAnnouncer(Protocol):
    """Announces actions under a lease; `ReplicatedLog` is the implementation."""

    @property
    def member(self) -> Member:
        """The replication member of this process."""

    def lease(self, name: str) -> Lease | None:
        """Returns the lease while this process holds it."""

    async def announce(self, lease_name: str, targets: Sequence[str]) -> None:
        """Announces an action; raises ReplicationUnavailableError if no quorum of witnesses answers."""

    def action_permitted_until(self, lease_name: str, target: str) -> float:
        """Returns the time until which an announced action may be started."""


class LeaseOrderPermits:
    """Permits orders as actions under the placer's lease, each announced to the witnesses before it is sent.

    Times are seconds on the clock of the log.

    Source: `replication.lease_actions`; rule ONE on the rules page of the documentation.
    """

    def __init__(self, log: LeaseActionAnnouncer) -> None:
        """Permits no order until this process holds the lease.

        Args:
            log: Holds the lease and announces actions to its witnesses.
        """
        self._log = log
        self._store_loads = 0

    async def announce(self, runner_id: RunnerId, is_store_load: bool) -> None:
        """Announces an order to a runner; if that fails, `permitted_until_s` does not permit it."""
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
        """Returns the time until which an announced order may be sent; minus infinity if it may not."""
        return self._log.action_permitted_until(PLACER_LEASE, runner_id)

    def free_at_s(self, runner_id: RunnerId) -> float:
        """Returns when this process may order at a runner that recently got an order from another process."""
        return self._log.member.target_free_at(PLACER_LEASE, runner_id)

    def load_history(self) -> LoadHistory:
        """Returns the loads from the weight store that earlier lease holders may have ordered."""
        history = self._log.member.action_history(PLACER_LEASE)
        longest_s = ACTION_START_WINDOW_S + ACTION_DELIVERY_S
        begun_by_s = tuple(
            announced_at + longest_s
            for target, announced_at in history.announced_at.items()
            if target.startswith(STORE_LOAD_PREFIX)
        )
        return LoadHistory(history.complete_since + longest_s, begun_by_s)
