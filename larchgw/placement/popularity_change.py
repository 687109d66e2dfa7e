"""How likely demand is to move to a model that is idle now. Pure.

Busy models change during a day. A model that becomes busy while no runner holds it makes all its requests
late for the
time of a load, so that one holder of a likely successor is worth keeping. Which one it will be is not told:
those that
were busy before are the likeliest, those that nobody has asked for come next, and those that are asked for
now and then
have shown that they are rare.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .demand_tracker import ModelSummary

PRIOR_RISES, PRIOR_S = 1.0, 30.0  # of one rise in 30 s, before any was seen
RISE_SHARE = 0.25  # weight of the newest busy rate in the average of what a model that rises brings
WAS_BUSY, NEVER_ASKED, RARE = 1.0, 0.5, 0.02  # odds of being next, against each other
BUSY_OVER_MEAN = 2.0  # a busy model is asked for so many times as often as models are on average
IDLE_SHARE = 0.2  # of the busy rate, below which a model that was busy counts as idle again


class ShiftEstimate:
    """Watches which models become busy."""

    def __init__(self, busy_rate: float) -> None:
        self._busy_rate = busy_rate
        self._started: float | None = None
        self._rises = 0
        self._rise_worth = 0.0  # worth a second that a busy model's requests bring, on average
        self._busy: set[str] = set()
        self._was_busy: set[str] = set()
        self._asked: set[str] = set()
        self._odds: dict[str, float] = {}
        self._total = 0.0
        self._rate = PRIOR_RISES / PRIOR_S

    def observe(self, now: float, names: Iterable[str], asked: Mapping[str, ModelSummary]) -> None:
        """Takes the models of a service and what is asked of them now."""
        if not asked and self._started is None:
            return
        names = list(names)
        first = self._started is None
        self._started = now if self._started is None else self._started
        mean = sum(model.requests_per_s for model in asked.values()) / max(len(names), 1)
        busy_rate = max(self._busy_rate, BUSY_OVER_MEAN * mean)
        for name, model in asked.items():
            self._asked.add(name)
            if model.requests_per_s >= busy_rate:
                self._see_busy(name, model, first)
            elif model.requests_per_s < self._busy_rate * IDLE_SHARE:
                self._busy.discard(name)
        self._rate = (PRIOR_RISES + self._rises) / (PRIOR_S + now - self._started)
        self._odds = {name: self._odds_of(name) for name in names}
        self._total = sum(odds for name, odds in self._odds.items() if name not in self._busy)

    def _see_busy(self, name: str, model: ModelSummary, first: bool) -> None:
        worth = model.requests_per_s * model.request_value
        self._rise_worth += (worth - self._rise_worth) * (RISE_SHARE if self._rise_worth else 1.0)
        if name in self._busy:
            return
        self._busy.add(name)
        self._was_busy.add(name)
        self._rises += 0 if first else 1

    def _odds_of(self, name: str) -> float:
        if name in self._was_busy:
            return WAS_BUSY
        return RARE if name in self._asked else NEVER_ASKED

    def worth_a_second(self, name: str, horizon_s: float) -> float:
        """Worth of requests a second that this model may bring by rising within the horizon, times how likely
        that is. One whose demand has begun to fall counts as idle already: it may come back.
        """
        odds = self._odds.get(name, 0.0)
        if odds == 0.0:
            return 0.0
        total = self._total + (odds if name in self._busy else 0.0)
        return min(self._rate * horizon_s, 1.0) * odds / total * self._rise_worth
