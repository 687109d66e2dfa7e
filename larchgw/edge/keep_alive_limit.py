"""Estimates how long a connection to a service's runners may be idle and still be reused.

Source: RFC 9112, section 9.3 (persistence); a runner may close an idle connection just as the next
request is sent.
"""

from __future__ import annotations

DEFAULT_IDLE_LIMIT_S = 10.0  # if runners advertise none and none was learned
USABLE_SHARE = 0.8  # of the runners' idle time-out; the edge stops using connections before it
NON_IDEMPOTENT_SHARE = 0.4  # for requests that may not run twice, which a closed connection loses
STALE_SHARE = 0.5  # of a stale connection's idle time; shorter times still count as safe
MIN_LEARNED_S = 0.5  # always counts as safe, since crashing runners close connections of any age
RECOVERY_S = 5.0  # time in which the learned limit doubles


class KeepAliveLimit:
    """The idle limit of one service's connections. All times are seconds.

    The limit comes from `Keep-Alive` headers of runners and from connections that they closed. A runner that
    closes idle connections within a second advertises nothing, since the header holds whole seconds.
    """

    def __init__(self) -> None:
        """Starts with nothing advertised or learned."""
        self._advertised_s: float | None = None
        self._learned_s, self._learned_at = float("inf"), 0.0

    def observe_advertised(self, seconds: float) -> None:
        """Records the idle time-out that a runner advertised."""
        if seconds > 0:
            self._advertised_s = seconds

    def observe_idle_close(self, now: float, idle_s: float) -> None:
        """Records that a runner closed a connection after `idle_s` without a request."""
        if self._advertised_s is None:
            self._learn(now, idle_s)

    def observe_stale(self, now: float, idle_s: float) -> None:
        """Records that a connection reused after `idle_s` turned out to be closed by the runner."""
        self._learn(now, STALE_SHARE * idle_s)

    def limit_s(self, now: float, idempotent: bool = True) -> float:
        """Returns the longest idle time for reuse; shorter for non-idempotent requests."""
        return self._runner_limit_s(now) * (USABLE_SHARE if idempotent else NON_IDEMPOTENT_SHARE)

    def _runner_limit_s(self, now: float) -> float:
        """Returns the runners' idle time-out, as far as known."""
        advertised_s = self._advertised_s if self._advertised_s is not None else DEFAULT_IDLE_LIMIT_S
        if self._learned_s == float("inf"):
            return advertised_s
        recovered: float = 2.0 ** min((now - self._learned_at) / RECOVERY_S, 64.0)
        return min(advertised_s, self._learned_s * recovered)

    def _learn(self, now: float, seconds: float) -> None:
        if seconds < self._runner_limit_s(now):
            self._learned_s, self._learned_at = max(seconds, MIN_LEARNED_S), now
