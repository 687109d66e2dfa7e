"""How long a kept connection to a service's runners may have been idle and still be used again.

Source: RFC 9112, section 9.3 (persistence); a runner may close an idle connection at the moment of its next
request.
"""

from __future__ import annotations

DEFAULT_IDLE_LIMIT_S = 10.0  # where runners advertise none and nothing is known
USABLE_SHARE = 0.8  # of the time after which runners close connections: this side closes them before
NON_IDEMPOTENT_SHARE = 0.4  # the same for a request that may not run twice: on a closed connection it is lost
STALE_SHARE = 0.5  # of a connection's idle time that still counts as safe once it proved closed
MIN_LEARNED_S = 0.5  # always counts as safe: runners that crash close connections of any age
RECOVERY_S = 5.0  # in which the learned limit doubles again


class KeepAliveLimit:
    """The idle limit of one service's connections. All times are seconds.

    It is advertised by runners in `Keep-Alive` headers, and learned from connections that they closed. A
    runner that closes idle connections within a second advertises nothing, since the header has whole
    seconds.
    """

    def __init__(self) -> None:
        """Begins with nothing advertised and nothing learned."""
        self._advertised_s: float | None = None
        self._learned_s, self._learned_at = float("inf"), 0.0

    def observe_advertised(self, seconds: float) -> None:
        """A runner advertised after how long it closes idle connections."""
        if seconds > 0:
            self._advertised_s = seconds

    def observe_idle_close(self, now: float, idle_s: float) -> None:
        """A runner closed a connection that had been idle so long."""
        if self._advertised_s is None:
            self._learn(now, idle_s)

    def observe_stale(self, now: float, idle_s: float) -> None:
        """A connection that had been idle so long was closed when it was used, and its end had not come."""
        self._learn(now, STALE_SHARE * idle_s)

    def limit_s(self, now: float, idempotent: bool = True) -> float:
        """The longest idle time at which a connection may be used; shorter for non-idempotent requests."""
        return self._runner_limit_s(now) * (USABLE_SHARE if idempotent else NON_IDEMPOTENT_SHARE)

    def _runner_limit_s(self, now: float) -> float:
        """After how long runners close idle connections, as far as is known."""
        advertised_s = self._advertised_s if self._advertised_s is not None else DEFAULT_IDLE_LIMIT_S
        if self._learned_s == float("inf"):
            return advertised_s
        recovered: float = 2.0 ** min((now - self._learned_at) / RECOVERY_S, 64.0)
        return min(advertised_s, self._learned_s * recovered)

    def _learn(self, now: float, seconds: float) -> None:
        if seconds < self._runner_limit_s(now):
            self._learned_s, self._learned_at = max(seconds, MIN_LEARNED_S), now
