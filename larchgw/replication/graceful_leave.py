"""Graceful leave: a member asks the primary to continue without it, and shuts down once the primary agrees.

No acknowledged record depends on this: a member that is killed while it leaves is treated as lost. Graceful
leave only ensures that the shutdown does not reduce redundancy that the other members could have kept.
"""

from __future__ import annotations

from .messages import LeaveGranted, LeaveRequest
from .outbound_messages import OutboundMessages
from .settings import Timing
from .view import View


class LeavingMembers:
    """The other members that are leaving, as far as this member knows.

    Every member tracks them in memory, so that the next primary already knows them. A member that stops
    repeating its request has shut down or has come back.
    """

    def __init__(self, timing: Timing) -> None:
        """Begins without leaving members.

        Args:
            timing: Time-outs.
        """
        self._timing = timing
        self._requested_at: dict[str, float] = {}
        self._released: set[str] = set()

    def observe_request(self, now: float, member: str) -> None:
        """Records a request to leave."""
        self._requested_at[member] = now

    def observe_return(self, member: str) -> None:
        """Forgets the request of a member that asks to join again."""
        self._requested_at.pop(member, None)
        self._released.discard(member)

    def leaving(self, now: float) -> frozenset[str]:
        """The members that are leaving now."""
        self._drop_silent(now)
        return frozenset(self._requested_at)

    def release(self, member: str) -> None:
        """Records that this member, as primary, has granted the request of `member`."""
        self._released.add(member)

    def released(self, now: float) -> frozenset[str]:
        """Members whose request was granted and that have not come back; their votes do not count."""
        self._drop_silent(now)
        return frozenset(self._released)

    def volatile_state(self) -> tuple[object, ...]:
        """All state that messages have changed, without times."""
        return (frozenset(self._requested_at), frozenset(self._released))

    def _drop_silent(self, now: float) -> None:
        for member in [
            member for member, at in self._requested_at.items() if now - at > self._timing.backup_timeout_s
        ]:
            del self._requested_at[member]
            self._released.discard(member)


class GracefulLeave:
    """The graceful leave of this member, requested repeatedly until the primary agrees.

    Attributes:
        has_begun: Whether this member is leaving.
    """

    def __init__(self, member_id: str, outbound: OutboundMessages, timing: Timing) -> None:
        """Creates the state of a member that is not leaving.

        Args:
            member_id: The identity of this member.
            outbound: Receives the requests.
            timing: Time-outs.
        """
        self._member_id = member_id
        self._outbound = outbound
        self._timing = timing
        self._next_request_at = 0.0
        self._granted_epoch = 0  # the newest epoch whose primary continues without this member
        self.has_begun = False

    def begin(self) -> None:
        """Starts to leave; this cannot be revoked."""
        self.has_begun = True

    def request(self, now: float, view: View | None) -> None:
        """Sends the request, if it is due, to all members of the view: one may be the next primary."""
        if view is None or now < self._next_request_at:
            return
        self._next_request_at = now + self._timing.leave_interval_s
        for member in view.members:
            if member != self._member_id:
                self._outbound.send(member, LeaveRequest(self._member_id))

    def receive_granted(self, message: LeaveGranted) -> None:
        """Records that a primary continues without this member."""
        self._granted_epoch = max(self._granted_epoch, message.epoch)

    def volatile_state(self) -> tuple[object, ...]:
        """All state that calls and messages have changed, without times."""
        return (self.has_begun, self._granted_epoch)

    def is_complete(self, view: View | None) -> bool:
        """Whether no member relies on this one any more, judging by `view`, the last that it accepted."""
        if not self.has_begun:
            return False
        return view is None or self._granted_epoch >= view.epoch
