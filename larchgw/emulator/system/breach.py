"""What checkers are given and what they find."""

from __future__ import annotations

from dataclasses import dataclass

from ...configuration.settings import TimeLimits
from .records import Arrival, Records, Try
from .touch import Touch


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken: its name, when (seconds of the trial's clock), and by what."""

    rule: str
    at: float
    what: str


class Case:
    """Records with the bounds that they are held against."""

    def __init__(self, records: Records, limits: TimeLimits) -> None:
        self.records, self.limits = records, limits
        self.touch = Touch(records.troubles, limits.contact_ms / 1000.0)
        self.arrivals = records.arrivals_by_try()

    def history(self, one: Try) -> str:
        """What each runner did with a request, in order, with the seconds since it was sent."""
        what = [
            f"{arrival.runner} {'ran' if arrival.ran else arrival.status or 'dropped'} "
            f"{arrival.at - one.sent_at:.2f} to {arrival.ended_at - one.sent_at:.2f}"
            for arrival in self.arrivals.get(one.id, ())
        ]
        return f"at {one.edge}: {', '.join(what) or 'reached no runner'}"

    def runs(self, id: str) -> list[Arrival]:
        """The arrivals of this attempt id that a runner ran."""
        return [arrival for arrival in self.arrivals.get(id, ()) if arrival.ran]
