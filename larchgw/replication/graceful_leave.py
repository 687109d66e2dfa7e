"""Graceful leave: a member that will end asks the primary to go on without it, and ends once it has agreed.

Nothing acknowledged depends on this: a member that is killed while it leaves is a member that is lost. What
it gives is that the end costs no redundancy that the others could have had before it.
"""

from __future__ import annotations

from .messages import LeaveGranted, LeaveRequest
from .outbound_messages import OutboundMessages
from .settings import Timing
from .view import View


class LeavingMembers:
    """What this member knows of others that leave.

    Kept in memory, by every member: whoever becomes primary next knows it already. A member that stops
    repeating its wish has ended, or come back.
    """

    def __init__(self, timing: Timing) -> None:
        """Begins with nobody leaving.

        Args:
            timing: Time-outs.
        """
        self._timing = timing
        self._requested_at: dict[str, float] = {}
        self._released: set[str] = set()

    def observe_request(self, now: float, member: str) -> None:
        """The member wants to leave."""
        self._requested_at[member] = now

    def observe_return(self, member: str) -> None:
        """The member wants to be taken in: it is back."""
        self._requested_at.pop(member, None)
        self._released.discard(member)

    def leaving(self, now: float) -> frozenset[str]:
        """Who wants to leave now."""
        self._drop_silent(now)
        return frozenset(self._requested_at)

    def release(self, member: str) -> None:
        """This member, as primary, has agreed to the end of the other."""
        self._released.add(member)

    def released(self, now: float) -> frozenset[str]:
        """Whose end was agreed to, and who has not been back since: their votes are not counted on."""
        self._drop_silent(now)
        return frozenset(self._released)

    def volatile_state(self) -> tuple[object, ...]:
        """What messages have changed, times left out."""
        return (frozenset(self._requested_at), frozenset(self._released))

    def _drop_silent(self, now: float) -> None:
        for member in [
            member for member, at in self._requested_at.items() if now - at > self._timing.backup_silence_s
        ]:
            del self._requested_at[member]
            self._released.discard(member)


class GracefulLeave:
    """The graceful leave of this member: begun once, and requested again and again until the primary agrees.

    Attributes:
        has_begun: Whether the end is wanted.
    """

    def __init__(self, member_id: str, outbound: OutboundMessages, timing: Timing) -> None:
        """Begins without the wish to leave.

        Args:
            member_id: The identity of this member.
            outbound: Takes the requests.
            timing: Time-outs.
        """
        self._member_id = member_id
        self._outbound = outbound
        self._timing = timing
        self._next_request_at = 0.0
        self._granted_epoch = 0  # the primary of this epoch goes on without this member
        self.has_begun = False

    def begin(self) -> None:
        """The end is wanted; this cannot be taken back."""
        self.has_begun = True

    def request(self, now: float, view: View | None) -> None:
        """Asks everyone in the view, if it is time: whoever is primary, or is about to be, should know."""
        if view is None or now < self._next_request_at:
            return
        self._next_request_at = now + self._timing.leave_interval_s
        for member in view.members:
            if member != self._member_id:
                self._outbound.send(member, LeaveRequest(self._member_id))

    def receive_granted(self, message: LeaveGranted) -> None:
        """A primary goes on without this member."""
        self._granted_epoch = max(self._granted_epoch, message.epoch)

    def volatile_state(self) -> tuple[object, ...]:
        """What calls and messages have changed, times left out."""
        return (self.has_begun, self._granted_epoch)

    def is_complete(self, view: View | None) -> bool:
        """Whether nobody counts on this member any more, as far as it knows by the last view it accepted."""
        if not self.has_begun:
            return False
        return view is None or self._granted_epoch >= view.epoch
