"""How long a kept connection to a service's runners may have stood idle and still be used."""

from __future__ import annotations

KEEP_S = 10.0  # where the runners don't tell and nothing is known
KEEP_SHARE = 0.8  # of the time after which runners close them: we close before they do
ONCE_SHARE = 0.4  # the same for requests that may not run twice: one that meets a dead connection is lost
DISTRUST = 0.5  # share of its standing time that is still trusted when a kept connection proves dead
LEAST_S = 0.5  # that is always trusted: runners that crash close connections of any age
REGAIN_S = 5.0  # in which the trusted time doubles again


class KeepTime:
    """Learned from `Keep-Alive` headers and from connections that runners closed. Times are seconds.

    A runner that closes idle connections within a second tells no time, since it tells whole seconds.
    """

    def __init__(self) -> None:
        self._told: float | None = None
        self._trusted, self._trusted_at = float("inf"), 0.0

    def told(self, seconds: float) -> None:
        """A runner says after how long it closes idle connections."""
        if seconds > 0:
            self._told = seconds

    def closed_idle(self, now: float, stood: float) -> None:
        """A runner closed a connection that had stood so long."""
        if self._told is None:
            self._trust(now, stood)

    def proved_dead(self, now: float, stood: float) -> None:
        """A connection that had stood so long was dead when it was used, and nobody had told us."""
        self._trust(now, DISTRUST * stood)

    def limit(self, now: float, once: bool = False) -> float:
        """The longest time to have stood. `once`: for a request that may not run twice."""
        return self._known(now) * (ONCE_SHARE if once else KEEP_SHARE)

    def _known(self, now: float) -> float:
        """After how long runners close idle connections, as far as is known."""
        told = self._told if self._told is not None else KEEP_S
        if self._trusted == float("inf"):
            return told
        regained: float = 2.0 ** min((now - self._trusted_at) / REGAIN_S, 64.0)
        return min(told, self._trusted * regained)

    def _trust(self, now: float, seconds: float) -> None:
        if seconds < self._known(now):
            self._trusted, self._trusted_at = max(seconds, LEAST_S), now
