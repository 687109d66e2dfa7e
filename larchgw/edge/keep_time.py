"""How long a kept connection to a service's runners may have stood idle and still be used."""

from __future__ import annotations

KEEP_S = 10.0  # where the runners don't tell
KEEP_SHARE = 0.8  # of the time after which runners close them: we close before they do
ONCE_SHARE = 0.4  # the same for requests that may not run twice: one that meets a dead connection is lost
DISTRUST = 0.5  # share of its standing time that is still trusted when a kept connection proves dead
LEAST_S = 0.1  # that is always trusted: a crash of a runner says nothing of how long it keeps connections
REGAIN_S = 10.0  # in which the trusted time doubles again


class KeepTime:
    """Learned from `Keep-Alive` headers and from connections that proved dead. Times are seconds."""

    def __init__(self) -> None:
        self._told = KEEP_S
        self._trusted, self._trusted_at = float("inf"), 0.0

    def told(self, seconds: float) -> None:
        """A runner says after how long it closes idle connections."""
        self._told = seconds

    def proved_dead(self, now: float, stood: float) -> None:
        """A connection that had stood so long was dead, and nobody had told us."""
        self._trusted, self._trusted_at = max(DISTRUST * min(stood, self.limit(now)), LEAST_S), now

    def limit(self, now: float, once: bool = False) -> float:
        """The longest time to have stood. `once`: for a request that may not run twice."""
        longest = self._told * (ONCE_SHARE if once else KEEP_SHARE)
        if self._trusted == float("inf"):
            return longest
        regained: float = 2.0 ** min((now - self._trusted_at) / REGAIN_S, 64.0)
        return min(longest, self._trusted * regained)
