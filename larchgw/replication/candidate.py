"""How a member of the in-sync set tries to become primary, and how a primary forms its next view."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from .messages import Accept, Prepare, Probe
from .outbound_messages import Outbox
from .settings import Timing
from .view import View
from .view_change_round import Ballot


@dataclass(slots=True)
class _Soundings:
    """One round of probes: would a quorum let this member try?"""

    number: int
    view: View
    ends_at: float
    granted: set[str] = field(default_factory=set)


class Candidate:
    """Probes first, so that a member that was merely cut off disturbs nobody; then holds a ballot."""

    def __init__(self, me: str, outbox: Outbox, timing: Timing, random: Random) -> None:
        self._me = me
        self._outbox = outbox
        self._timing = timing
        self._random = random
        self._soundings: _Soundings | None = None
        self._probes = 0
        self._try_at = 0.0
        self.ballot: Ballot | None = None
        self.highest_epoch = 0  # seen anywhere

    def see_epoch(self, epoch: int) -> None:
        """An epoch that another has promised or proposed."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def wait_until(self, when: float) -> None:
        """No attempt before this time."""
        self._try_at = max(self._try_at, when)

    def probe(self, now: float, view: View) -> None:
        """Asks whether the others too miss the primary of the view, if it is time."""
        if self.ballot is not None or now < self._try_at:
            return
        if self._soundings is not None and now < self._soundings.ends_at:
            return
        self._probes += 1
        ends_at = now + self._timing.probe * (1 + self._random.random())
        self._soundings = _Soundings(self._probes, view, ends_at)
        for member in view.electors:
            self._outbox.send(member, Probe(self._probes))

    def probe_granted(self, now: float, sender: str, number: int) -> None:
        """A member would let this one try; with a quorum of them a ballot begins."""
        soundings = self._soundings
        if soundings is None or soundings.number != number or now >= soundings.ends_at:
            return
        soundings.granted.add(sender)
        if soundings.view.has_quorum(soundings.granted):
            self.start(now, soundings.view)

    def start(self, now: float, base: View) -> None:
        """Begins a ballot with an epoch above all that were seen."""
        self._soundings = None
        self.highest_epoch = max(self.highest_epoch, base.epoch) + 1
        self.ballot = Ballot(self.highest_epoch, base, now, self._timing)
        self._prepare(self.ballot.participants)

    def abandon(self, now: float) -> None:
        """Gives up what is under way and leaves others some time."""
        self.ballot = None
        self._soundings = None
        self.wait_until(now + self._timing.rank_stagger * (1 + self._random.random()))

    def propose(self, view: View) -> None:
        """The second phase of the ballot."""
        assert self.ballot is not None
        self.ballot.propose(view)
        self._send_proposal(self.ballot.participants)

    def tick(self, now: float) -> None:
        """Repeats what may have been lost; gives up what takes too long."""
        if self.ballot is None:
            return
        if self.ballot.is_over(now):
            self.abandon(now)
            return
        unanswered = self.ballot.resend_to(now)
        if self.ballot.proposal is None:
            self._prepare(unanswered)
        else:
            self._send_proposal(unanswered)

    def _prepare(self, members: tuple[str, ...]) -> None:
        assert self.ballot is not None
        for member in members:
            self._outbox.send(member, Prepare(self.ballot.epoch))

    def _send_proposal(self, members: tuple[str, ...]) -> None:
        assert self.ballot is not None and self.ballot.proposal is not None
        for member in members:
            self._outbox.send(member, Accept(self.ballot.proposal))
