"""How long a kept connection to a worker may have been idle and still be used again.

Source: RFC 9112, section 9.3 (persistence); a worker may close an idle connection at the moment of its next
request.
"""

from __future__ import annotations

USABLE_SHARE = 0.8  # of the time after which workers close connections: this side closes them before
USABLE_MARGIN_S = 1.0  # and at least so long before
MIN_USABLE_SHARE = 0.1  # of that time, however short it is
MIN_IDLE_S = 0.005  # a connection must have been idle so long, for a close right after an answer to be seen
STALE_SHARE = 0.25  # of a connection's idle time that still counts as safe once it proved closed
RECOVERY_S = 30.0  # in which the learned limit doubles again
MAX_DOUBLINGS = 64.0  # of it: more change nothing, and over 1,023 a float cannot hold


class KeepAliveLimit:
    """The idle limit of all connections to workers: lowered by each stale one, and recovered with time.

    All times are seconds, those called `now` on the loop's clock.
    """

    def __init__(self, idle_close_s: float) -> None:
        """Begins with nothing learned, where workers close a connection that was idle for `idle_close_s`."""
        self._learned_s, self._learned_at = float("inf"), 0.0
        self.configure(idle_close_s)

    def configure(self, idle_close_s: float) -> None:
        """Sets after how long workers close an idle connection."""
        usable_s = min(USABLE_SHARE * idle_close_s, idle_close_s - USABLE_MARGIN_S)
        self._usable_s = max(usable_s, MIN_USABLE_SHARE * idle_close_s)

    def observe_stale(self, now: float, idle_s: float) -> float:
        """A connection that had been idle so long was closed when it was used, and its end had not come.

        Returns:
            The limit from now on.
        """
        self._learned_s, self._learned_at = STALE_SHARE * min(idle_s, self.limit_s(now)), now
        return self._learned_s

    def limit_s(self, now: float) -> float:
        """The longest idle time at which a connection may be used."""
        if self._learned_s == float("inf"):
            return self._usable_s
        recovered: float = 2.0 ** min((now - self._learned_at) / RECOVERY_S, MAX_DOUBLINGS)
        return min(self._usable_s, max(self._learned_s, MIN_IDLE_S) * recovered)
