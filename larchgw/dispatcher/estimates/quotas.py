"""How fast each tenant's jobs come, against this dispatcher's part of what the tenant may ask."""

from __future__ import annotations

from ..scheduling.interface import Settings

BURST_S, MIN_BURST = 2.0, 3.0  # a tenant may be ahead by so many seconds of its quota, or by so many jobs


class Quotas:
    """A bucket for each tenant, filled by its jobs and emptied at its rate."""

    def __init__(self, settings: Settings) -> None:
        self._rates = [tenant.quota / settings.instances for tenant in settings.tenants]  # jobs a second
        self._levels = [0.0] * len(self._rates)  # jobs
        self._updated_at = [0.0] * len(self._rates)  # when the level was right

    def exceeds(self, now: float, tenant: int) -> bool:
        """Whether a job that comes now is beyond its tenant's quota; one that is not fills the bucket."""
        rate = self._rates[tenant] if tenant < len(self._rates) else 0.0
        if rate <= 0:
            return False
        level = max(0.0, self._levels[tenant] - (now - self._updated_at[tenant]) * rate)
        over = level >= max(BURST_S * rate, MIN_BURST)
        self._levels[tenant], self._updated_at[tenant] = level + (not over), now
        return over
