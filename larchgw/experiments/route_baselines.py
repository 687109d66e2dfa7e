"""What the selection is compared with: a random holder, least pending, the design's rule without terms."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from ..routing.interface import Attempt, AttemptOutcome, Choice, Reject, RequestTraits, Send
from ..routing.pending_requests import PendingRequests
from ..runner_directory.runner_record import RunnerRecord

DESIGN_THRESHOLD = 8  # pending of a key at a holder: an eighth of 64 slots


class Baseline:
    """A selection that knows its own pending requests alone. Subclasses pick among the holders."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.table = PendingRequests()

    def pick(self, request: RequestTraits, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        """One of the holders; there is at least one."""
        return self.random.choice(holders)

    def choose(
        self,
        now: float,
        request: RequestTraits,
        runners: Mapping[str, RunnerRecord],
        tried: Sequence[str],
        expected: Mapping[str, float],
    ) -> Choice:
        """See `interface.Selection`."""
        holders = [
            record
            for record in runners.values()
            if record.holds(request.model, request.adapter) and record.id not in tried
        ]
        if not holders:
            return Reject(0.1, "no_holder")
        return Send(self.pick(request, holders), request.route.rank)

    def sent(self, attempt: Attempt) -> None:
        """See `interface.Selection`."""
        self.table.sent(attempt, 0)

    def first_byte_received(self, now: float, attempt: Attempt) -> None:
        """See `interface.Selection`."""
        self.table.began(attempt)

    def ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """See `interface.Selection`."""
        self.table.ended(attempt)

    def observe_load(self, now: float, runner: str, running: int, waiting: int, slots: int) -> None:
        """Not used."""

    def pending(self, service: str) -> int:
        """See `interface.Selection`."""
        return self.table.by_service(service)


class LeastPending(Baseline):
    """The holder with the fewest own requests pending."""

    def pick(self, request: RequestTraits, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        return min(holders, key=lambda record: (self.table.at(record.id).total, self.random.random()))


class DesignAlone(Baseline):
    """The busiest holder under the threshold, else fewest active keys, then least pending."""

    def pick(self, request: RequestTraits, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        def of_key(record: RunnerRecord) -> int:
            return self.table.at(record.id).by_key.get(request.key, 0)

        under = [record for record in holders if of_key(record) < DESIGN_THRESHOLD]
        if under:
            return max(under, key=lambda record: (of_key(record), self.random.random()))
        return min(
            holders,
            key=lambda record: (
                self.table.at(record.id).active_keys,
                self.table.at(record.id).total,
                self.random.random(),
            ),
        )
