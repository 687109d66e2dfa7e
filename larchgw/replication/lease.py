"""The holder's side of a singleton role's lease, elected and renewed over the witnesses of the view."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import structlog

from .lease_acceptor import NOBODY, UNKNOWN
from .messages import LeaseAnswer, LeaseAsk, LeaseRelease
from .outbound_messages import Outbox
from .settings import MemberSettings
from .view import View

log = structlog.get_logger()

USABLE_SHARE = 0.7  # of a term counted from before it was asked for: the rest covers clocks that differ
RENEWALS_PER_TERM = 5
TURN_MARGIN = 1.05  # of a term: how long a new holder waits before it acts
FENCES_PER_EPOCH = 1 << 16  # fences of a later view's witnesses are above all of an earlier one's


@dataclass(frozen=True, slots=True)
class Lease:
    """Held until `until` on the caller's clock; every act carries `fence`."""

    name: str
    fence: int
    until: float


@dataclass(slots=True)
class _Attempt:
    """One round of requests to the witnesses."""

    number: int
    fence: int
    acting: bool
    view: View
    asked_at: float
    ends_at: float
    answers: dict[str, LeaseAnswer]

    def granted(self) -> bool:
        """Whether a quorum has granted."""
        return self.view.has_quorum([member for member, answer in self.answers.items() if answer.granted])

    def only_outdated(self) -> bool:
        """Whether all answered, and those that refused did so for a fence or a view that is not the
        newest."""
        refused = [answer for answer in self.answers.values() if not answer.granted]
        return len(self.answers) == len(self.view.electors) and all(
            answer.remaining <= 0.0 and (answer.fence >= self.fence or answer.view is not None)
            for answer in refused
        )

    def refused_by_all(self) -> bool:
        """Whether it is certain that nobody granted."""
        refused = [answer for answer in self.answers.values() if not answer.granted]
        return len(refused) == len(self.view.electors)

    def refused_until(self) -> float:
        """The longest time for which another may hold the lease."""
        return max((answer.remaining for answer in self.answers.values() if not answer.granted), default=0.0)


class LeaseHolder:
    """Stands for one lease. It acts only after a quorum knows that it does, and, if another acted last or may
    have, only after a whole term has passed since its election."""

    def __init__(self, name: str, me: str, settings: MemberSettings, outbox: Outbox, random: Random) -> None:
        self.name = name
        self._me = me
        self._term = settings.lease_term
        self._timing = settings.timing
        self._outbox = outbox
        self._random = random
        self._attempt: _Attempt | None = None
        self._attempts = 0
        self._fence = 0  # elected under this fence; 0: not elected
        self._until = 0.0
        self._acts_from = 0.0
        self._known = False  # a quorum has stored that this holder acts under `_fence`
        self._next_at: float | None = None
        self._highest_fence = 0
        self._paused_until = 0.0

    def lease(self, now: float) -> Lease | None:
        """The lease, if it is held and may be acted on now."""
        if self._fence and self._known and now < self._until:
            return Lease(self.name, self._fence, self._until)
        return None

    def release(self, now: float, view: View | None, rest: float) -> None:
        """Gives the lease up and does not stand for it for a while."""
        if view is not None and (self._fence or self._attempt is not None):
            self._send_release(view)
        self._give_up()
        self._paused_until = max(self._paused_until, now + rest)
        self._next_at = None

    def tick(self, now: float, view: View | None, rank: int) -> None:
        """Begins the next round if it is due. `rank` staggers candidates."""
        if view is None or now < self._paused_until:
            return
        if self._attempt is not None and now >= self._attempt.ends_at:
            self._fail(now, rank)
        if self._fence and now >= self._until:
            self._lose(now)
        if self._next_at is None:
            self._next_at = now + rank * self._timing.lease_round
        if self._attempt is None and now >= self._next_at:
            self._ask(now, view)

    def vacated(self, now: float, rank: int) -> None:
        """Its holder, or a candidate without success, has given the lease up."""
        if self._fence or self._attempt is not None or self._next_at is None:
            return
        stagger = (rank + self._random.random()) * self._timing.lease_round
        self._next_at = min(self._next_at, max(now, self._paused_until) + stagger)

    def answer(self, now: float, sender: str, answer: LeaseAnswer, rank: int) -> None:
        """A witness has answered."""
        attempt = self._attempt
        self._highest_fence = max(self._highest_fence, answer.fence)
        if attempt is None or answer.attempt != attempt.number:
            return
        attempt.answers[sender] = answer
        if attempt.granted():
            self._granted(now, attempt)
        elif len(attempt.answers) >= len(attempt.view.electors):
            self._fail(now, rank)

    def _ask(self, now: float, view: View) -> None:
        self._attempts += 1
        acting = bool(self._fence) and now >= self._acts_from
        self._attempt = _Attempt(
            self._attempts, self._next_fence(view), acting, view, now, now + self._timing.lease_round, {}
        )
        self._highest_fence = max(self._highest_fence, self._attempt.fence)
        renewal = self._attempt.fence == self._fence
        ask = LeaseAsk(self.name, self._attempt.fence, renewal, view.epoch, self._attempts, acting)
        for member in view.electors:
            self._outbox.send(member, ask)

    def _next_fence(self, view: View) -> int:
        """The present one; a new one when not elected, or when a witness has stored a higher one for another
        who failed: it would not renew this one."""
        if self._fence and self._highest_fence <= self._fence:
            return self._fence
        return max(self._highest_fence, view.epoch * FENCES_PER_EPOCH) + 1

    def _granted(self, now: float, attempt: _Attempt) -> None:
        self._attempt = None
        if not self._fence:
            self._acts_from = now + TURN_MARGIN * self._term if self._another_acted(attempt) else now
            self._known = False
        self._fence = attempt.fence
        self._until = attempt.asked_at + USABLE_SHARE * self._term
        if attempt.acting and not self._known:
            self._known = True
            log.info("lease.acquired", lease=self.name, fencing_token=self._fence)
        renewal = attempt.asked_at + self._term / RENEWALS_PER_TERM
        self._next_at = renewal if self._known else min(renewal, max(now, self._acts_from))

    def _another_acted(self, attempt: _Attempt) -> bool:
        """Whether somebody else acted last, as far as a quorum knows."""
        granted = [answer for answer in attempt.answers.values() if answer.granted]
        if any(answer.actor == UNKNOWN for answer in granted):
            return True
        last = max(granted, key=lambda answer: answer.acting_fence)
        return last.actor not in (NOBODY, self._me)

    def _fail(self, now: float, rank: int) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if self._fence:
            self._next_at = now + self._timing.heartbeat
            return
        if not attempt.refused_by_all():
            self._send_release(attempt.view)
        if attempt.only_outdated():
            self._next_at = now
            return
        stagger = (rank + self._random.random()) * self._timing.lease_round
        self._next_at = now + attempt.refused_until() + stagger

    def _lose(self, now: float) -> None:
        log.warning("lease.expired", lease=self.name, fencing_token=self._fence)
        self._give_up()
        self._next_at = now

    def _give_up(self) -> None:
        self._fence = 0
        self._known = False
        self._attempt = None

    def _send_release(self, view: View) -> None:
        for member in view.electors:
            self._outbox.send(member, LeaseRelease(self.name, self._highest_fence))
