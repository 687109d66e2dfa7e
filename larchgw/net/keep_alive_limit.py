"""Estimates how long a connection to a worker may be idle and still be reused.

Source: RFC 9112, section 9.3 (persistence); a worker may close an idle connection just as the next
request is sent.
"""

from __future__ import annotations

USABLE_SHARE = 0.8  # of the workers' idle time-out; connections are not used beyond it
USABLE_MARGIN_S = 1.0  # minimum margin before that time-out
MIN_USABLE_SHARE = 0.1  # of that time-out, even if the margin leaves less
MIN_IDLE_S = 0.005  # idle time needed to notice a close right after a response
STALE_SHARE = 0.25  # of a stale connection's idle time; shorter times still count as safe
RECOVERY_S = 30.0  # time in which the learned limit doubles
MAX_DOUBLINGS = 64.0  # of the learned limit; more have no effect, and a float overflows at 1,024


class KeepAliveLimit:
    """The idle limit of all connections to workers, lowered by each stale one and recovering over time.

    All times are seconds, those called `now` on the loop's clock.
    """

    def __init__(self, idle_close_s: float) -> None:
        """Starts with nothing learned; workers close connections that are idle for `idle_close_s`."""
        self._learned_s, self._learned_at = float("inf"), 0.0
        self.configure(idle_close_s)

    def configure(self, idle_close_s: float) -> None:
        """Sets the idle time-out of the workers."""
        usable_s = min(USABLE_SHARE * idle_close_s, idle_close_s - USABLE_MARGIN_S)
        self._usable_s = max(usable_s, MIN_USABLE_SHARE * idle_close_s)

    def observe_stale(self, now: float, idle_s: float) -> float:
        """Records that a connection reused after `idle_s` turned out to be closed by the worker.

        Returns:
            The new limit.
        """
        self._learned_s, self._learned_at = STALE_SHARE * min(idle_s, self.limit_s(now)), now
        return self._learned_s

    def limit_s(self, now: float) -> float:
        """Returns the longest idle time at which a connection may be reused."""
        if self._learned_s == float("inf"):
            return self._usable_s
        recovered: float = 2.0 ** min((now - self._learned_at) / RECOVERY_S, MAX_DOUBLINGS)
        return min(self._usable_s, max(self._learned_s, MIN_IDLE_S) * recovered)
