"""What must hold in every explored run, whatever happens to messages, processes and disks."""

from __future__ import annotations

from ...replication.lease_actions import ACTION_DELIVERY_S
from ..errors import InvariantError


class InvariantChecker:
    """Watches a run from outside: it sees what members hand to their callers, never their internal state.

    Each method is called when what it is named after happens; it raises InvariantError if that must not be.

    Attributes:
        lease_action_count: How many acts under leases were seen.
    """

    def __init__(self, lease_term_s: float) -> None:
        """Takes the term of leases."""
        self._lease_term_s = lease_term_s
        self._committed: dict[int, bytes] = {}  # index -> the record that some replica handed out
        self._acknowledged: dict[int, bytes] = {}
        self._acknowledged_by_base: dict[int, bytes] = {}  # version -> the acknowledged change of it
        self._primaries: dict[int, str] = {}  # epoch -> who acted in it
        self._highest_fencing_token = 0
        self._holder_of: dict[int, str] = {}  # fencing token -> holder
        self._promised: dict[str, int] = {}  # identity -> the highest epoch it promised to another
        self._snapshots: dict[bytes, int] = {}  # content -> version
        self._action_starts: dict[str, dict[str, float]] = {}  # target -> holder -> when it last began to act
        self.lease_action_count = 0

    @property
    def newest_acknowledged(self) -> int:
        """The highest acknowledged index; 0 if there is none."""
        return max(self._acknowledged, default=0)

    def committed(self, member: str, index: int, record: bytes) -> None:
        """A replica hands out a record as acknowledged."""
        known = self._committed.setdefault(index, record)
        if known != record:
            raise InvariantError(
                f"{member} hands out {record!r} at {index}, where another handed out {known!r}"
            )

    def acknowledged(self, index: int, version: int, record: bytes) -> None:
        """A proposal built on `version` is done."""
        there = self._committed.get(index)
        if there != record:
            raise InvariantError(f"{record!r} was acknowledged at {index}, where there is {there!r}")
        other = self._acknowledged_by_base.setdefault(version, record)
        if other != record:
            raise InvariantError(
                f"{record!r} and {other!r} were both acknowledged on top of version {version}"
            )
        self._acknowledged[index] = record

    def read(self, member: str, acknowledged_before: int, index: int) -> None:
        """A read that began when `acknowledged_before` was the newest is confirmed as of `index`."""
        if index < acknowledged_before:
            raise InvariantError(
                f"{member} confirmed a read as of {index}; {acknowledged_before} was acknowledged"
            )

    def made_snapshot(self, version: int, content: bytes) -> None:
        """A replica gives its state for a snapshot."""
        self._snapshots.setdefault(content, version)

    def installed(self, member: str, index: int, content: bytes) -> int:
        """A replica takes a snapshot for its state; the version it stands for."""
        version = self._snapshots.get(content)
        if version is None:
            raise InvariantError(
                f"{member} takes {content!r} for its state, which nobody gave for a snapshot"
            )
        if version != index:
            raise InvariantError(f"{member} takes the state of {version} for that of {index}")
        return version

    def promised(self, member: str, epoch: int) -> None:
        """A member has told another that it accepts nothing below `epoch`."""
        self._promised[member] = max(self._promised.get(member, 0), epoch)

    def accepted(self, member: str, epoch: int) -> None:
        """A member has told another that it has accepted the view of `epoch`."""
        if epoch < self._promised.get(member, 0):
            raise InvariantError(
                f"{member} has accepted view {epoch} after it promised {self._promised[member]}"
            )

    def becomes_primary(self, member: str, epoch: int) -> None:
        """A member becomes primary of `epoch`."""
        if epoch < self._promised.get(member, 0):
            raise InvariantError(f"{member} leads view {epoch} after it promised {self._promised[member]}")

    def acts(self, member: str, epoch: int) -> None:
        """A member acts as primary in this epoch. `member` names one incarnation of its process."""
        first = self._primaries.setdefault(epoch, member)
        if first != member:
            raise InvariantError(f"{member} and {first} both act as primary of epoch {epoch}")

    def holds_lease(self, holder: str, fencing_token: int) -> None:
        """A member holds a lease."""
        if fencing_token < self._highest_fencing_token:
            raise InvariantError(
                f"{holder} holds token {fencing_token} after {self._highest_fencing_token} was in use"
            )
        if self._holder_of.setdefault(fencing_token, holder) != holder:
            raise InvariantError(
                f"{holder} holds token {fencing_token}, which is {self._holder_of[fencing_token]}'s"
            )
        self._highest_fencing_token = fencing_token

    def starts_action_under_lease(self, now: float, holder: str, target: str) -> None:
        """A member begins an act on `target` under a lease.

        It may arrive as late as `ACTION_DELIVERY_S` from now.
        """
        acted_by = self._action_starts.setdefault(target, {})
        for other, at in acted_by.items():
            if other != holder and now - at < self._lease_term_s + ACTION_DELIVERY_S:
                raise InvariantError(
                    f"{holder} acts on {target} {now - at:.3f} s after {other} began to; the term is "
                    f"{self._lease_term_s} s, an act may arrive {ACTION_DELIVERY_S} s later"
                )
        acted_by[holder] = now
        self.lease_action_count += 1
