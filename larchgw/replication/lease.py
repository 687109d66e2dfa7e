"""The holder's side of a singleton role's lease, elected and renewed over the witnesses of the view."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import structlog

from .lease_acceptor import NOBODY, UNKNOWN
from .messages import LeaseRelease, LeaseReply, LeaseRequest
from .outbound_messages import OutboundMessages
from .settings import MemberSettings
from .view import View

log = structlog.get_logger()

USABLE_TERM_SHARE = 0.7  # of a term counted from before it was asked for: the rest covers clocks that differ
RENEWALS_PER_TERM = 5
HANDOVER_TERMS = 1.05  # of a term: how long a new holder waits before it acts
FENCING_TOKENS_PER_EPOCH = 1 << 16  # fences of a later view's witnesses are above all of an earlier one's


@dataclass(frozen=True, slots=True)
class Lease:
    """Held until `expires_at`, in seconds on the caller's clock; every act carries `fencing_token`."""

    name: str
    fencing_token: int
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
        """Whether all answered, and those that refused did so for a fence or a view that is not the
        newest."""
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
    """Stands for one lease. It acts only after a quorum knows that it does, and, if another acted last or may
    have, only after a whole term has passed since its election."""

    def __init__(
        self, name: str, member_id: str, settings: MemberSettings, outbox: OutboundMessages, random: Random
    ) -> None:
        self.name = name
        self._member_id = member_id
        self._term_s = settings.lease_term_s
        self._timing = settings.timing
        self._outbox = outbox
        self._random = random
        self._attempt: _Attempt | None = None
        self._attempts = 0
        self._fencing_token = 0  # elected under this fence; 0: not elected
        self._expires_at = 0.0
        self._may_act_at = 0.0
        self._known = False  # a quorum has stored that this holder acts under `_fencing_token`
        self._next_attempt_at: float | None = None
        self._highest_token = 0
        self._no_candidacy_until = 0.0

    def lease(self, now: float) -> Lease | None:
        """The lease, if it is held and may be acted on now."""
        if self._fencing_token and self._known and now < self._expires_at:
            return Lease(self.name, self._fencing_token, self._expires_at)
        return None

    def release(self, now: float, view: View | None, pause_s: float) -> None:
        """Gives the lease up and does not stand for it for a while."""
        if view is not None and (self._fencing_token or self._attempt is not None):
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
        if self._fencing_token and now >= self._expires_at:
            self._lose(now)
        if self._next_attempt_at is None:
            self._next_attempt_at = now + rank * self._timing.lease_round_s
        if self._attempt is None and now >= self._next_attempt_at:
            self._begin_attempt(now, view)

    def observe_release(self, now: float, rank: int) -> None:
        """Its holder, or a candidate without success, has given the lease up."""
        if self._fencing_token or self._attempt is not None or self._next_attempt_at is None:
            return
        stagger = (rank + self._random.random()) * self._timing.lease_round_s
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
        is_acting = bool(self._fencing_token) and now >= self._may_act_at
        self._attempt = _Attempt(
            self._attempts, self._next_token(view), is_acting, view, now, now + self._timing.lease_round_s, {}
        )
        self._highest_token = max(self._highest_token, self._attempt.fencing_token)
        is_renewal = self._attempt.fencing_token == self._fencing_token
        request = LeaseRequest(
            self.name, self._attempt.fencing_token, is_renewal, view.epoch, self._attempts, is_acting
        )
        for member in view.electors:
            self._outbox.send(member, request)

    def _next_token(self, view: View) -> int:
        """The present one; a new one when not elected, or when a witness has stored a higher one for another
        who failed: it would not renew this one."""
        if self._fencing_token and self._highest_token <= self._fencing_token:
            return self._fencing_token
        return max(self._highest_token, view.epoch * FENCING_TOKENS_PER_EPOCH) + 1

    def _granted(self, now: float, attempt: _Attempt) -> None:
        self._attempt = None
        if not self._fencing_token:
            self._may_act_at = now + HANDOVER_TERMS * self._term_s if self._another_acted(attempt) else now
            self._known = False
        self._fencing_token = attempt.fencing_token
        self._expires_at = attempt.asked_at + USABLE_TERM_SHARE * self._term_s
        if attempt.is_acting and not self._known:
            self._known = True
            log.info("lease.acquired", lease=self.name, fencing_token=self._fencing_token)
        renewal = attempt.asked_at + self._term_s / RENEWALS_PER_TERM
        self._next_attempt_at = renewal if self._known else min(renewal, max(now, self._may_act_at))

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
        if self._fencing_token:
            self._next_attempt_at = now + self._timing.heartbeat_interval_s
            return
        if not attempt.refused_by_all():
            self._send_release(attempt.view)
        if attempt.only_outdated():
            self._next_attempt_at = now
            return
        stagger = (rank + self._random.random()) * self._timing.lease_round_s
        self._next_attempt_at = now + attempt.remaining_refusal_s() + stagger

    def _lose(self, now: float) -> None:
        log.warning("lease.expired", lease=self.name, fencing_token=self._fencing_token)
        self._give_up()
        self._next_attempt_at = now

    def _give_up(self) -> None:
        self._fencing_token = 0
        self._known = False
        self._attempt = None

    def _send_release(self, view: View) -> None:
        for member in view.electors:
            self._outbox.send(member, LeaseRelease(self.name, self._highest_token))
