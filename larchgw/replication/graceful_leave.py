"""Planned ends: a member that leaves asks the primary to go on without it, and ends once it has agreed.

Nothing acknowledged depends on this: a member that is killed while it leaves is a member that is lost. What
it gives is that the end costs no redundancy that the others could have had before it."""

from __future__ import annotations

from .messages import Leave, Left
from .outbound_messages import Outbox
from .settings import Timing
from .view import View


class Departures:
    """What this member knows of others that leave. Kept in memory, by every member: whoever becomes primary
    next knows it already. A member that stops repeating its wish has ended, or come back."""

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._asked_at: dict[str, float] = {}
        self._spared: set[str] = set()

    def asked(self, now: float, member: str) -> None:
        """The member wants to leave."""
        self._asked_at[member] = now

    def returned(self, member: str) -> None:
        """The member wants to be taken in: it is back."""
        self._asked_at.pop(member, None)
        self._spared.discard(member)

    def leaving(self, now: float) -> frozenset[str]:
        """Who wants to leave now."""
        self._forget(now)
        return frozenset(self._asked_at)

    def spare(self, member: str) -> None:
        """This member, as primary, has agreed to the end of the other."""
        self._spared.add(member)

    def spared(self, now: float) -> frozenset[str]:
        """Whose end was agreed to, and who has not been back since: their votes are not counted on."""
        self._forget(now)
        return frozenset(self._spared)

    def progress(self) -> tuple[object, ...]:
        """What messages have changed, times left out."""
        return (frozenset(self._asked_at), frozenset(self._spared))

    def _forget(self, now: float) -> None:
        for member in [
            member for member, at in self._asked_at.items() if now - at > self._timing.backup_silence
        ]:
            del self._asked_at[member]
            self._spared.discard(member)


class Departure:
    """The end of this member: `begin`, and what is sent again and again until the primary has agreed."""

    def __init__(self, me: str, outbox: Outbox, timing: Timing) -> None:
        self._me = me
        self._outbox = outbox
        self._timing = timing
        self._ask_at = 0.0
        self._agreed_epoch = 0  # the primary of this epoch goes on without this member
        self.has_begun = False

    def begin(self) -> None:
        """The end is wanted; this cannot be taken back."""
        self.has_begun = True

    def ask(self, now: float, view: View | None) -> None:
        """Asks everyone in the view, if it is time: whoever is primary, or is about to be, should know."""
        if view is None or now < self._ask_at:
            return
        self._ask_at = now + self._timing.leave
        for member in view.members:
            if member != self._me:
                self._outbox.send(member, Leave(self._me))

    def agreed(self, left: Left) -> None:
        """A primary goes on without this member."""
        self._agreed_epoch = max(self._agreed_epoch, left.epoch)

    def progress(self) -> tuple[object, ...]:
        """What calls and messages have changed, times left out."""
        return (self.has_begun, self._agreed_epoch)

    def is_over(self, view: View | None) -> bool:
        """Whether nobody counts on this member any more, as far as it knows by the last view it accepted."""
        if not self.has_begun:
            return False
        return view is None or self._agreed_epoch >= view.epoch
