"""The holder's side of a singleton role's lease, elected and renewed over the witnesses of the view."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from random import Random

import structlog

from ..identifiers import FencingToken
from .lease_acceptor import NOBODY, UNKNOWN
from .messages import LeaseRelease, LeaseReply, LeaseRequest
from .outbound_messages import OutboundMessages
from .settings import MemberSettings
from .view import View

log = structlog.get_logger()

USABLE_TERM_SHARE = 0.7  # from before the lease was asked for; the rest covers clocks that run differently
RENEWALS_PER_TERM = 5
HANDOVER_TERMS = 1.05  # how long a new holder waits before it acts, in terms
FENCING_TOKENS_PER_EPOCH = 1 << 16  # tokens of a later view are above all of an earlier one


class LeaseState(Enum):
    """How far this member is with one lease."""

    NOT_ELECTED = auto()
    """No quorum of witnesses has granted the lease to this member."""

    ELECTED = auto()
    """A quorum has granted it, but does not know yet that this member acts: it must not act."""

    ACTING = auto()
    """A quorum has stored that this member acts under its token: it holds the lease until that expires."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Held until `expires_at`, in seconds on the caller's clock; every act carries `fencing_token`."""

    name: str
    fencing_token: FencingToken
    expires_at: float


@dataclass(slots=True)
class _Attempt:
    """One round of requests to the witnesses."""

    number: int
    fencing_token: int
    is_acting: bool
    view: View
    asked_at: float
    ends_at: float
    replies: dict[str, LeaseReply]

    def granted(self) -> bool:
        """Whether a quorum has granted."""
        return self.view.has_quorum([member for member, reply in self.replies.items() if reply.granted])

    def only_outdated(self) -> bool:
        """Whether all answered, and refusals were only for an outdated fencing token or view."""
        refused = [reply for reply in self.replies.values() if not reply.granted]
        return len(self.replies) == len(self.view.electors) and all(
            reply.remaining_s <= 0.0 and (reply.fencing_token >= self.fencing_token or reply.view is not None)
            for reply in refused
        )

    def refused_by_all(self) -> bool:
        """Whether it is certain that nobody granted."""
        refused = [reply for reply in self.replies.values() if not reply.granted]
        return len(refused) == len(self.view.electors)

    def remaining_refusal_s(self) -> float:
        """The longest time for which another may hold the lease."""
        return max((reply.remaining_s for reply in self.replies.values() if not reply.granted), default=0.0)


class LeaseHolder:
    """One member's side of one lease: it asks the witnesses of the view for it, renews it, and gives it up.

    Transitions:

    - NOT_ELECTED to ELECTED: a quorum of witnesses grants a new fencing token. Each witness grants to one
      holder at a time, for one term, so two members are never both granted by a quorum within a term.
    - ELECTED to ACTING: a quorum has stored that this member acts under its token. If another member acted
      last, or may have, this is asked for only `HANDOVER_TERMS` after the election. The wait is needed
      because the former holder may still act on its grant until its own clock says that the term is over: a
      witness that restarted, or that joined with the view, has forgotten when it granted. After a whole term
      on a clock that counts time spent frozen, no grant made before the election is still good.
    - ACTING to ACTING: renewed `RENEWALS_PER_TERM` times a term. A grant is used for `USABLE_TERM_SHARE` of
      the term from before it was asked for, hence never longer than any witness keeps it.
    - to NOT_ELECTED: the grant has run out, or the lease is released.

    Every act carries the fencing token, so that those who receive acts refuse those of an earlier holder,
    should one arrive late.

    Times are seconds of the member's clock. `rank` staggers candidates: 0 for a view's primary.

    Source: Leases (Gray and Cheriton, 1989); The Chubby Lock Service (Burrows, 2006), section 2.4
    (sequencers).
    """

    def __init__(
        self,
        name: str,
        member_id: str,
        settings: MemberSettings,
        outbound: OutboundMessages,
        random_source: Random,
    ) -> None:
        """Begins without the lease.

        Args:
            name: The name of the lease.
            member_id: The identity of this member.
            settings: The term and time-outs.
            outbound: Takes the requests to the witnesses.
            random_source: Staggers candidates.
        """
        self.name = name
        self._member_id = member_id
        self._term_s = settings.lease_term_s
        self._timing = settings.timing
        self._outbound = outbound
        self._random_source = random_source
        self._attempt: _Attempt | None = None
        self._attempts = 0
        self._state = LeaseState.NOT_ELECTED
        self._fencing_token = 0  # that it was elected under; 0 while NOT_ELECTED
        self._expires_at = 0.0
        self._may_act_at = 0.0
        self._next_attempt_at: float | None = None
        self._highest_token = 0
        self._no_candidacy_until = 0.0

    @property
    def _is_elected(self) -> bool:
        return self._state is not LeaseState.NOT_ELECTED

    def lease(self, now: float) -> Lease | None:
        """The lease, if it is held and may be acted on now."""
        if self._state is LeaseState.ACTING and now < self._expires_at:
            return Lease(self.name, FencingToken(self._fencing_token), self._expires_at)
        return None

    def release(self, now: float, view: View | None, pause_s: float) -> None:
        """Gives the lease up and does not stand for it for a while."""
        if view is not None and (self._is_elected or self._attempt is not None):
            self._send_release(view)
        self._give_up()
        self._no_candidacy_until = max(self._no_candidacy_until, now + pause_s)
        self._next_attempt_at = None

    def tick(self, now: float, view: View | None, rank: int) -> None:
        """Begins the next round if it is due. `rank` staggers candidates."""
        if view is None or now < self._no_candidacy_until:
            return
        if self._attempt is not None and now >= self._attempt.ends_at:
            self._fail(now, rank)
        if self._is_elected and now >= self._expires_at:
            self._lose(now)
        if self._next_attempt_at is None:
            self._next_attempt_at = now + rank * self._timing.lease_round_s
        if self._attempt is None and now >= self._next_attempt_at:
            self._begin_attempt(now, view)

    def observe_release(self, now: float, rank: int) -> None:
        """Its holder, or a candidate without success, has given the lease up."""
        if self._is_elected or self._attempt is not None or self._next_attempt_at is None:
            return
        stagger = (rank + self._random_source.random()) * self._timing.lease_round_s
        self._next_attempt_at = min(self._next_attempt_at, max(now, self._no_candidacy_until) + stagger)

    def receive_reply(self, now: float, sender: str, reply: LeaseReply, rank: int) -> None:
        """A witness has answered."""
        attempt = self._attempt
        self._highest_token = max(self._highest_token, reply.fencing_token)
        if attempt is None or reply.attempt != attempt.number:
            return
        attempt.replies[sender] = reply
        if attempt.granted():
            self._granted(now, attempt)
        elif len(attempt.replies) >= len(attempt.view.electors):
            self._fail(now, rank)

    def _begin_attempt(self, now: float, view: View) -> None:
        self._attempts += 1
        is_acting = self._is_elected and now >= self._may_act_at
        self._attempt = _Attempt(
            self._attempts, self._next_token(view), is_acting, view, now, now + self._timing.lease_round_s, {}
        )
        self._highest_token = max(self._highest_token, self._attempt.fencing_token)
        is_renewal = self._attempt.fencing_token == self._fencing_token
        request = LeaseRequest(
            self.name, self._attempt.fencing_token, is_renewal, view.epoch, self._attempts, is_acting
        )
        for member in view.electors:
            self._outbound.send(member, request)

    def _next_token(self, view: View) -> int:
        """The present one; a new one when not elected, or when a witness would not renew the present one.

        It would not if it has stored a higher one for another member whose election failed.
        """
        if self._is_elected and self._highest_token <= self._fencing_token:
            return self._fencing_token
        return max(self._highest_token, view.epoch * FENCING_TOKENS_PER_EPOCH) + 1

    def _granted(self, now: float, attempt: _Attempt) -> None:
        self._attempt = None
        if not self._is_elected:
            self._may_act_at = now + HANDOVER_TERMS * self._term_s if self._another_acted(attempt) else now
            self._state = LeaseState.ELECTED
        self._fencing_token = attempt.fencing_token
        self._expires_at = attempt.asked_at + USABLE_TERM_SHARE * self._term_s
        if attempt.is_acting and self._state is not LeaseState.ACTING:
            self._state = LeaseState.ACTING
            log.info("lease.acquired", lease=self.name, fencing_token=self._fencing_token)
        renewal = attempt.asked_at + self._term_s / RENEWALS_PER_TERM
        if self._state is LeaseState.ACTING:
            self._next_attempt_at = renewal
        else:
            self._next_attempt_at = min(renewal, max(now, self._may_act_at))

    def _another_acted(self, attempt: _Attempt) -> bool:
        """Whether somebody else acted last, as far as a quorum knows."""
        granted = [reply for reply in attempt.replies.values() if reply.granted]
        if any(reply.actor == UNKNOWN for reply in granted):
            return True
        last = max(granted, key=lambda reply: reply.acting_token)
        return last.actor not in (NOBODY, self._member_id)

    def _fail(self, now: float, rank: int) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if self._is_elected:
            self._next_attempt_at = now + self._timing.heartbeat_interval_s
            return
        if not attempt.refused_by_all():
            self._send_release(attempt.view)
        if attempt.only_outdated():
            self._next_attempt_at = now
            return
        stagger = (rank + self._random_source.random()) * self._timing.lease_round_s
        self._next_attempt_at = now + attempt.remaining_refusal_s() + stagger

    def _lose(self, now: float) -> None:
        log.warning("lease.expired", lease=self.name, fencing_token=self._fencing_token)
        self._give_up()
        self._next_attempt_at = now

    def _give_up(self) -> None:
        self._state = LeaseState.NOT_ELECTED
        self._fencing_token = 0
        self._attempt = None

    def _send_release(self, view: View) -> None:
        for member in view.electors:
            self._outbound.send(member, LeaseRelease(self.name, self._highest_token))
