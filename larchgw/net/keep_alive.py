"""How long a kept connection to a worker may have stood idle and still be used."""

from __future__ import annotations

IDLE_SHARE, IDLE_MARGIN = 0.8, 1.0  # we close well before the runner's machine does
SETTLE = 0.005  # seconds that a connection must have stood, for a close right after an answer to be seen
DISTRUST = 0.25  # share of its standing time that is still trusted when a kept connection proves dead
REGAIN = 30.0  # seconds in which the trusted time doubles again
MOST_DOUBLINGS = 64.0  # of it: more change nothing, and over 1,023 a float cannot hold


class KeepAliveLimit:
    """Lowered when a kept connection proves dead, and regained with time. Times are seconds."""

    def __init__(self, idle_close: float) -> None:
        self._trusted, self._trusted_at = float("inf"), 0.0  # the standing time that kept connections survive
        self.configure(idle_close)

    def configure(self, idle_close: float) -> None:
        """Workers close a connection that has stood so long."""
        self._idle_time = max(min(IDLE_SHARE * idle_close, idle_close - IDLE_MARGIN), 0.1 * idle_close)

    def proved_dead(self, now: float, stood: float) -> float:
        """A connection that had stood so long was dead, and nobody had told us. Returns the new limit."""
        self._trusted, self._trusted_at = DISTRUST * min(stood, self.at(now)), now
        return self._trusted

    def at(self, now: float) -> float:
        """The limit now."""
        if self._trusted == float("inf"):
            return self._idle_time
        regained: float = 2.0 ** min((now - self._trusted_at) / REGAIN, MOST_DOUBLINGS)
        return min(self._idle_time, max(self._trusted, SETTLE) * regained)
