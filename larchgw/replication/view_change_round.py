"""One attempt to form a view: promises of a quorum of the last accepted view, then acceptances."""

from __future__ import annotations

from .messages import Promise
from .settings import Timing
from .view import View


class ViewChangeRound:
    """Counts the replies to one candidate's epoch. The candidate's own votes go through the same calls."""

    def __init__(self, epoch: int, base: View, now: float, timing: Timing) -> None:
        """Begins with the first phase.

        Args:
            epoch: The candidate's epoch, higher than all that it has seen.
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
        self._deadline = now + timing.view_change_timeout_s
        self._resend_at = now + timing.view_change_resend_s
        self._quorum_at: float | None = None

    @property
    def promised(self) -> frozenset[str]:
        """The members that have promised this epoch."""
        return frozenset(self._promised)

    def promise(self, now: float, sender: str, promise: Promise) -> None:
        """Counts a granted promise. A reported view that is newer than the base becomes the base.

        The newer view may have been chosen, and then the quorum of the former base no longer counts.
        """
        self._promised.add(sender)
        if promise.view is not None and promise.view.epoch > self.base.epoch:
            self.base = promise.view
            self._quorum_at = None
        if self._quorum_at is None and self.base.has_quorum(self._promised):
            self._quorum_at = now

    def may_propose(self, now: float) -> bool:
        """Whether a quorum has promised, and the other in-sync members have too or had time to do so.

        The short wait keeps reachable backups in the new view: adding one back costs another view change.
        """
        if self.proposal is not None or self._quorum_at is None:
            return False
        return (
            self._promised >= set(self.base.in_sync) or now >= self._quorum_at + self._timing.promise_grace_s
        )

    def propose(self, view: View) -> None:
        """Starts the second phase with this view."""
        self.proposal = view

    def accept(self, sender: str) -> None:
        """Counts a member that has accepted the proposal."""
        self._accepted.add(sender)

    @property
    def is_chosen(self) -> bool:
        """Whether quorums of the base and of the proposal itself have accepted the proposal.

        The first quorum rules out another successor of the base: any candidate that prepares a higher epoch
        gets a promise from one of these witnesses, which reports this view. The second ensures that the next
        candidate, which asks the witnesses of this view, reaches one that has accepted it.
        """
        if self.proposal is None:
            return False
        return self.base.has_quorum(self._accepted) and self.proposal.has_quorum(self._accepted)

    def has_timed_out(self, now: float) -> bool:
        """Whether the attempt has taken too long."""
        return now >= self._deadline

    def resend_to(self, now: float) -> tuple[str, ...]:
        """The members that have not answered in the current phase and should be asked again now."""
        if now < self._resend_at:
            return ()
        self._resend_at = now + self._timing.view_change_resend_s
        answered = self._promised if self.proposal is None else self._accepted
        return tuple(member for member in self.participants if member not in answered)

    def volatile_state(self) -> tuple[object, ...]:
        """All state that replies have changed; equal for rounds that will behave the same."""
        return (
            self.epoch,
            self.base.epoch,
            self.proposal is not None,
            frozenset(self._promised),
            frozenset(self._accepted),
        )

    @property
    def participants(self) -> tuple[str, ...]:
        """All members that are asked: those of the base and of the proposal."""
        proposed = () if self.proposal is None else self.proposal.members
        return tuple(dict.fromkeys((*self.base.members, *proposed)))
