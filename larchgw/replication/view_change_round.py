"""One attempt to form a view: promises from a quorum of the last accepted view, then its acceptance."""

from __future__ import annotations

from .messages import Promise
from .settings import Timing
from .view import View


class ViewChangeRound:
    """Counts the answers to one candidate's epoch. The candidate itself answers through the same calls."""

    def __init__(self, epoch: int, base: View, now: float, timing: Timing) -> None:
        """Begins with the first phase.

        Args:
            epoch: The candidate's epoch, above all it has seen.
            base: The last view that the candidate has accepted.
            now: Seconds of the member's clock.
            timing: Time-outs.
        """
        self.epoch = epoch
        self.base = base  # the highest accepted view reported so far
        self.proposal: View | None = None
        self._promised: set[str] = set()
        self._accepted: set[str] = set()
        self._timing = timing
        self._gives_up_at = now + timing.view_change_s
        self._resend_at = now + timing.view_change_resend_s
        self._quorum_at: float | None = None

    @property
    def promised(self) -> frozenset[str]:
        """Who has promised this epoch."""
        return frozenset(self._promised)

    def promise(self, now: float, sender: str, promise: Promise) -> None:
        """Counts a granted promise. A higher accepted view changes whose quorum is needed.

        It may have been chosen, and then the quorum of the former base decides nothing any more.
        """
        self._promised.add(sender)
        if promise.view is not None and promise.view.epoch > self.base.epoch:
            self.base = promise.view
            self._quorum_at = None
        if self._quorum_at is None and self.base.has_quorum(self._promised):
            self._quorum_at = now

    def may_propose(self, now: float) -> bool:
        """Whether a quorum has promised, and the other in-sync members have too or had time to.

        A short wait for them keeps backups that are there in the new view: one that is left out costs a
        further view change to come back.
        """
        if self.proposal is not None or self._quorum_at is None:
            return False
        return (
            self._promised >= set(self.base.in_sync) or now >= self._quorum_at + self._timing.promise_grace_s
        )

    def propose(self, view: View) -> None:
        """The second phase begins."""
        self.proposal = view

    def accept(self, sender: str) -> None:
        """A member has accepted the proposal."""
        self._accepted.add(sender)

    @property
    def is_chosen(self) -> bool:
        """Whether quorums of the view before it and of its own have accepted the proposal.

        The first quorum rules out another successor of the base: whoever prepares a higher epoch meets one of
        these witnesses and is told of this view. The second makes the next candidate, which asks the
        witnesses of this view, meet one that has accepted it.
        """
        if self.proposal is None:
            return False
        return self.base.has_quorum(self._accepted) and self.proposal.has_quorum(self._accepted)

    def is_over(self, now: float) -> bool:
        """Whether it has taken too long."""
        return now >= self._gives_up_at

    def resend_to(self, now: float) -> tuple[str, ...]:
        """Who has not answered the present phase and should be asked again now."""
        if now < self._resend_at:
            return ()
        self._resend_at = now + self._timing.view_change_resend_s
        answered = self._promised if self.proposal is None else self._accepted
        return tuple(member for member in self.participants if member not in answered)

    def volatile_state(self) -> tuple[object, ...]:
        """Everything that answers have changed; equal for rounds that will go on alike."""
        return (
            self.epoch,
            self.base.epoch,
            self.proposal is not None,
            frozenset(self._promised),
            frozenset(self._accepted),
        )

    @property
    def participants(self) -> tuple[str, ...]:
        """All that are asked: the members of the view before, and of the proposal."""
        proposed = () if self.proposal is None else self.proposal.members
        return tuple(dict.fromkeys((*self.base.members, *proposed)))
