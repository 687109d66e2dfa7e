"""The holder's side of the lease of a singleton role, which the witnesses of the view grant and renew."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from random import Random
from typing import Protocol

import structlog

from ..identifiers import FencingToken
from .effects import PendingCall
from .lease_acceptor import GRANT_SHARE
from .lease_actions import (
    ACTION_START_WINDOW_S,
    ActionAnnouncement,
    ActionHistory,
    PredecessorActions,
    separation_s,
)
from .messages import LeaseRelease, LeaseReply, LeaseRequest
from .outbound_messages import OutboundMessages
from .settings import MemberSettings
from .view import View

log = structlog.get_logger()

USABLE_GRANT_SHARE = 0.9  # counted from the request; the rest allows for different clock rates
RENEWALS_PER_GRANT = 5
FENCING_TOKENS_PER_EPOCH = 1 << 16  # every token of a later view is above those of an earlier view


class LeaseState(Enum):
    """The state of one lease at this member."""

    NOT_ELECTED = auto()
    """No quorum of witnesses has granted the lease to this member."""

    ELECTED = auto()
    """A quorum has granted the lease but has not stored yet that this member acts: it must not act."""

    ACTING = auto()
    """A quorum has stored that this member acts under its token: it holds the lease until it expires."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Held until `expires_at`, in seconds on the caller's clock; every action carries `fencing_token`."""

    name: str
    fencing_token: FencingToken
    expires_at: float


class AnnouncementCalls(Protocol):
    """Creates and completes the calls that announce actions; implemented by `EffectsCollector`."""

    def add_announcement(self) -> PendingCall:
        """Creates a call, to be ended by one of the two methods below."""

    def complete_announcements(self, calls: list[PendingCall]) -> None:
        """Completes the calls: a quorum of witnesses remembers their actions."""

    def fail_announcements(self, calls: list[PendingCall], reason: str) -> None:
        """Fails the calls: their actions must not be started."""


@dataclass(slots=True)
class _Attempt:
    """One round of requests to the witnesses."""

    number: int
    fencing_token: int
    is_acting: bool
    targets: tuple[str, ...]
    calls: list[PendingCall]
    view: View
    asked_at: float
    ends_at: float
    replies: dict[str, LeaseReply]

    def granted(self) -> bool:
        """Whether a quorum has granted."""
        return self.view.has_quorum([member for member, reply in self.replies.items() if reply.granted])

    def only_outdated(self) -> bool:
        """Whether all have answered, and each refusal was due to an outdated fencing token or view."""
        refused = [reply for reply in self.replies.values() if not reply.granted]
        return len(self.replies) == len(self.view.all_witnesses) and all(
            reply.remaining_s <= 0.0 and (reply.fencing_token >= self.fencing_token or reply.view is not None)
            for reply in refused
        )

    def refused_by_all(self) -> bool:
        """Whether all witnesses have refused."""
        refused = [reply for reply in self.replies.values() if not reply.granted]
        return len(refused) == len(self.view.all_witnesses)

    def remaining_refusal_s(self) -> float:
        """The longest time for which another member may still hold the lease."""
        return max((reply.remaining_s for reply in self.replies.values() if not reply.granted), default=0.0)


class LeaseHolder:
    """One member's side of one lease: requests it from the witnesses of the view, renews it, and releases it.

    Transitions:

    - NOT_ELECTED to ELECTED: a quorum of witnesses grants a new fencing token. Each witness grants to one
      holder at a time, for `GRANT_SHARE` of a term, so that a lost holder is replaced soon.
    - ELECTED to ACTING: a quorum has stored that this member acts under its token. If no quorum knows all
      recent announcements, the member requests this only once all actions of other holders are a term old.
    - ACTING to ACTING: the grant is renewed `RENEWALS_PER_GRANT` times in its duration. It is used for
      `USABLE_GRANT_SHARE` of its duration, counted from the request, so never longer than a witness keeps it.
    - ACTING to ELECTED: a quorum has granted a higher token to this member; another member may have acted in
      between.
    - Any state to NOT_ELECTED: the grant has expired, or the lease is released.

    The holder announces the target of each action (`announce`) and starts the action before
    `action_permitted_until`. It does not act before `target_free_at` on a target on which another holder
    acted recently. `lease_actions` explains why actions of two holders on one target are then at least a term
    apart. Every action carries the fencing token, so that its receiver rejects a late action of an earlier
    holder.

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
        calls: AnnouncementCalls,
    ) -> None:
        """Begins without the lease.

        Args:
            name: The name of the lease.
            member_id: The identity of this member.
            settings: The term and time-outs.
            outbound: Receives the requests to the witnesses.
            random_source: Source of the random delays that keep candidates from colliding.
            calls: Creates and completes the calls that announce actions.
        """
        self.name = name
        self._member_id = member_id
        self._grant_s = settings.lease_term_s * GRANT_SHARE
        self._separation_s = separation_s(settings.lease_term_s)
        self._timing = settings.timing
        self._outbound = outbound
        self._random_source = random_source
        self._calls = calls
        self._attempt: _Attempt | None = None
        self._attempts = 0
        self._state = LeaseState.NOT_ELECTED
        self._fencing_token = 0  # under which it was elected; 0 while NOT_ELECTED
        self._elected_by_attempt = 0  # number of the first attempt with that token
        self._elected_view: View | None = None  # the view whose quorum granted the lease last
        self._expires_at = 0.0
        self._predecessors = PredecessorActions(self._separation_s)
        self._permitted_until: dict[str, float] = {}  # by announced target
        self._to_announce: list[tuple[tuple[str, ...], PendingCall]] = []
        self._next_attempt_at: float | None = None
        self._highest_token = 0
        self._no_candidacy_until = 0.0

    @property
    def _is_elected(self) -> bool:
        return self._state is not LeaseState.NOT_ELECTED

    def lease(self, now: float) -> Lease | None:
        """The lease, if it is held and actions under it are allowed now."""
        if self._state is LeaseState.ACTING and now < self._expires_at:
            return Lease(self.name, FencingToken(self._fencing_token), self._expires_at)
        return None

    def announce(self, now: float, targets: Sequence[str], view: View | None) -> PendingCall:
        """Announces an action on `targets`.

        Once the call is done, `action_permitted_until` returns until when the action may be started.
        """
        call = self._calls.add_announcement()
        if self.lease(now) is None or view is None:
            self._calls.fail_announcements([call], "the lease is not held")
            return call
        self._to_announce.append((tuple(targets), call))
        if self._attempt is None:
            self._begin_attempt(now, view)
        return call

    def action_permitted_until(self, now: float, target: str) -> float:
        """Until when an action on `target` may be started; minus infinity if it may not."""
        if self.lease(now) is None or now < self.target_free_at(target):
            return -inf
        return self._permitted_until.get(target, -inf)

    def target_free_at(self, target: str) -> float:
        """When actions of other holders on `target` are a term old; infinite while not elected."""
        return self._predecessors.free_at(target) if self._is_elected else inf

    def action_history(self) -> ActionHistory:
        """The actions before this member was elected, as far as witnesses remember them."""
        return self._predecessors.history() if self._is_elected else ActionHistory(inf, {})

    def release(self, now: float, view: View | None, pause_s: float) -> None:
        """Releases the lease, and does not request it again for `pause_s`."""
        if view is not None and (self._is_elected or self._attempt is not None):
            self._send_release(view)
        self._give_up()
        self._no_candidacy_until = max(self._no_candidacy_until, now + pause_s)
        self._next_attempt_at = None

    def tick(self, now: float, view: View | None, rank: int) -> None:
        """Starts the next round of requests if it is due. `rank` staggers candidates."""
        if view is None or now < self._no_candidacy_until:
            return
        if self._attempt is not None and now >= self._attempt.ends_at:
            self._fail(now, rank)
        if self._is_elected and now >= self._expires_at:
            self._expire(now)
        if self._next_attempt_at is None:
            self._next_attempt_at = now + rank * self._timing.lease_stagger_s
        if self._attempt is None and now >= self._next_attempt_at:
            self._begin_attempt(now, view)

    def observe_release(self, now: float, rank: int) -> None:
        """Handles the release of the lease by its holder, or by an unsuccessful candidate."""
        if self._is_elected or self._attempt is not None or self._next_attempt_at is None:
            return
        self._next_attempt_at = min(
            self._next_attempt_at, max(now, self._no_candidacy_until) + self._stagger_s(rank)
        )

    def receive_reply(self, now: float, sender: str, reply: LeaseReply, rank: int) -> None:
        """Handles the reply of a witness."""
        attempt = self._attempt
        self._highest_token = max(self._highest_token, reply.fencing_token)
        if attempt is None or reply.attempt != attempt.number:
            self._receive_late_reply(now, sender, reply)
            return
        attempt.replies[sender] = reply
        if attempt.granted():
            self._granted(now, attempt)
        elif len(attempt.replies) >= len(attempt.view.all_witnesses):
            self._fail(now, rank)

    def _receive_late_reply(self, now: float, sender: str, reply: LeaseReply) -> None:
        """Handles a reply that came after a quorum had granted; its witness may know more than the quorum."""
        if self._elected_view is None or reply.attempt < self._elected_by_attempt:
            return
        if reply.granted and reply.known_actions is not None:
            self._predecessors.observe(now, sender, reply.known_actions)
            self._predecessors.evaluate(self._elected_view)
            self._schedule_acting_request(now)

    def _begin_attempt(self, now: float, view: View) -> None:
        self._attempts += 1
        token = self._next_token(view)
        is_renewal = token == self._fencing_token
        is_acting = is_renewal and self._is_elected and now >= self._predecessors.unreported_targets_free_at
        announced, self._to_announce = (self._to_announce, []) if is_acting else ([], self._to_announce)
        targets = tuple(
            dict.fromkeys(target for announced_targets, _ in announced for target in announced_targets)
        )
        self._attempt = _Attempt(
            number=self._attempts,
            fencing_token=token,
            is_acting=is_acting,
            targets=targets,
            calls=[call for _, call in announced],
            view=view,
            asked_at=now,
            ends_at=now + self._timing.lease_round_timeout_s,
            replies={},
        )
        self._highest_token = max(self._highest_token, token)
        announcement = ActionAnnouncement(
            targets, is_acting and now >= self._predecessors.all_targets_free_at
        )
        request = LeaseRequest(
            self.name, token, is_renewal, view.epoch, self._attempts, is_acting, announcement
        )
        for member in view.all_witnesses:
            self._outbound.send(member, request)

    def _next_token(self, view: View) -> int:
        """The current token; a new one if not elected, or if a witness would not renew the current token.

        A witness would not if it has stored a higher token for another member whose election failed.
        """
        if self._is_elected and self._highest_token <= self._fencing_token:
            return self._fencing_token
        return max(self._highest_token, view.epoch * FENCING_TOKENS_PER_EPOCH) + 1

    def _granted(self, now: float, attempt: _Attempt) -> None:
        self._attempt = None
        if attempt.fencing_token != self._fencing_token:
            self._elect(attempt)
        self._elected_view = attempt.view
        self._expires_at = attempt.asked_at + USABLE_GRANT_SHARE * self._grant_s
        for witness, reply in attempt.replies.items():
            if reply.granted and reply.known_actions is not None:
                self._predecessors.observe(now, witness, reply.known_actions)
        self._predecessors.evaluate(attempt.view)
        if attempt.is_acting and self._state is not LeaseState.ACTING:
            self._state = LeaseState.ACTING
            log.info("lease.acquired", lease=self.name, fencing_token=self._fencing_token)
        self._permit_actions(attempt)
        self._next_attempt_at = attempt.asked_at + self._grant_s / RENEWALS_PER_GRANT
        if self._to_announce:
            self._next_attempt_at = now
        self._schedule_acting_request(now)

    def _elect(self, attempt: _Attempt) -> None:
        """Becomes elected under a new token. The grants report what other holders announced before."""
        self._state = LeaseState.ELECTED
        self._fencing_token = attempt.fencing_token
        self._elected_by_attempt = attempt.number
        self._predecessors = PredecessorActions(self._separation_s)
        self._permitted_until = {}

    def _permit_actions(self, attempt: _Attempt) -> None:
        """Permits the actions that the attempt announced, which a quorum now remembers."""
        until = attempt.asked_at + ACTION_START_WINDOW_S
        self._permitted_until = {
            target: end for target, end in self._permitted_until.items() if end > attempt.asked_at
        }
        self._permitted_until.update(dict.fromkeys(attempt.targets, until))
        self._calls.complete_announcements(attempt.calls)

    def _schedule_acting_request(self, now: float) -> None:
        """While ELECTED, schedules the next attempt for when actions of other holders are old enough."""
        if self._state is LeaseState.ELECTED and self._next_attempt_at is not None:
            self._next_attempt_at = min(
                self._next_attempt_at, max(now, self._predecessors.unreported_targets_free_at)
            )

    def _fail(self, now: float, rank: int) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        self._calls.fail_announcements(attempt.calls, "no quorum of witnesses granted the request in time")
        if self._is_elected:
            self._next_attempt_at = now + self._timing.heartbeat_interval_s
            return
        if not attempt.refused_by_all():
            self._send_release(attempt.view)
        if attempt.only_outdated():
            self._next_attempt_at = now
            return
        self._next_attempt_at = now + attempt.remaining_refusal_s() + self._stagger_s(rank)

    def _stagger_s(self, rank: int) -> float:
        return (rank + self._random_source.random()) * self._timing.lease_stagger_s

    def _expire(self, now: float) -> None:
        log.warning("lease.expired", lease=self.name, fencing_token=self._fencing_token)
        self._give_up()
        self._next_attempt_at = now

    def _give_up(self) -> None:
        calls = [call for _, call in self._to_announce]
        if self._attempt is not None:
            calls += self._attempt.calls
        self._calls.fail_announcements(calls, "the lease was released or has expired")
        self._state = LeaseState.NOT_ELECTED
        self._fencing_token = 0
        self._elected_view = None
        self._attempt = None
        self._to_announce = []
        self._permitted_until = {}

    def _send_release(self, view: View) -> None:
        for member in view.all_witnesses:
            self._outbound.send(member, LeaseRelease(self.name, self._highest_token))
