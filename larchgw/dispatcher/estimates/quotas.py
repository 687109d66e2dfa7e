"""Checks the job rate of each tenant against this dispatcher's part of the tenant's quota."""

from __future__ import annotations

from ..scheduling.interface import Settings

BURST_S, MIN_BURST = 2.0, 3.0  # permitted burst: seconds of quota, or jobs if that is more


class Quotas:
    """A leaky bucket for each tenant, filled by its jobs and drained at its quota."""

    def __init__(self, settings: Settings) -> None:
        self._rates = [tenant.quota / settings.instances for tenant in settings.tenants]  # jobs a second
        self._levels = [0.0] * len(self._rates)  # jobs
        self._updated_at = [0.0] * len(self._rates)  # time of the last update of each level

    def exceeds(self, now: float, tenant: int) -> bool:
        """Whether a job arriving now exceeds the quota of its tenant; if not, it is added to the bucket."""
        rate = self._rates[tenant] if tenant < len(self._rates) else 0.0
        if rate <= 0:
            return False
        level = max(0.0, self._levels[tenant] - (now - self._updated_at[tenant]) * rate)
        over = level >= max(BURST_S * rate, MIN_BURST)
        self._levels[tenant], self._updated_at[tenant] = level + (not over), now
        return over
