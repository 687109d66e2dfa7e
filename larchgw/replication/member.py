"""One process of the replicated control state: a witness, a replica and the leases behind one interface."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from math import inf
from random import Random

import structlog

from ..identifiers import MemberId
from .effects import Effects, PendingCall, Role
from .errors import MessageDecodeError, NotPrimaryError
from .leadership import Leadership
from .lease import Lease
from .lease_actions import ActionHistory
from .member_parts import assemble
from .message_codec import decode
from .message_router import MessageRouter
from .messages import Envelope
from .ports import Ports
from .settings import MemberSettings
from .view import View

log = structlog.get_logger()


class Member:
    """A member of the replicated control state: fed messages and time, it returns what the caller has to do.

    The state is a log of records, replicated from a primary to its backups. At any time each member plays
    three parts that are independent of one another:

    - A replica, as the last accepted view says: primary (appends, sends and acknowledges records), backup (in
      sync: holds every acknowledged record) or learner (behind, or without data; asks to join).
    - A witness, if the view names it as one: it promises epochs, accepts views and grants leases. A majority
      of the witnesses is a quorum.
    - A candidate, while it tries to form a view: as a backup that misses the primary, or as the primary that
      changes its backups or witnesses.

    What happens in order:

    1. A record is appended at the primary, synced, and sent to the backups. It is acknowledged once it is
       durable at the primary and at every backup of the view, `tolerated_failures` + 1 copies at least. So
       every member of the in-sync set holds every acknowledged record, and whichever of them becomes primary
       next has lost nothing.
    2. A backup that is silent is left out by a new view, and one that has caught up is taken in by a new
       view.
    3. A primary that is silent is replaced: a backup asks a quorum whether they miss it too (pre-vote), and
       then forms a view in two phases (`view_changes.ViewChanges`).
    4. A read is confirmed by a heartbeat that a quorum grants after the read began: had another view been
       formed before, a witness of that quorum would have promised its epoch and refused.

    Every call is followed by the same steps: the member's own votes are counted, records that have enough
    copies count as acknowledged, acknowledged records are handed out, and calls that wait for them end.
    Nothing that a failed write was to make durable is ever sent.

    Not thread safe. Times are seconds on a monotonic clock that counts time spent frozen.

    Source: Viewstamped Replication Revisited (Liskov and Cowling, 2012); Paxos Made Simple (Lamport, 2001)
    for the choice of views; Leases (Gray and Cheriton, 1989).

    Attributes:
        disk_error: The last write that the disk refused; None if none was.
    """

    def __init__(
        self, settings: MemberSettings, ports: Ports, snapshot: Callable[[], bytes], random_source: Random
    ) -> None:
        """Reads the disk; a member without an identity is given one.

        Args:
            settings: Settings of the member.
            ports: Its durable storage.
            snapshot: Gives the caller's state as of the last record that an Effects has handed to it; asked
                at the beginning of a tick, when all Effects returned before must have been carried out.
            random_source: Staggers candidates.

        Raises:
            OSError: The disk refuses the first identity.
        """
        self._settings = settings
        self._timing = settings.timing
        self._parts = assemble(settings, ports, snapshot, random_source)
        self._member_id = self._parts.identity.id
        self._router = MessageRouter(self._member_id, self._parts)
        self._contacts: tuple[str, ...] = settings.seeds
        self._last_call_at = 0.0
        self.disk_error: OSError | None = None

    # ---- what is known ----

    @property
    def id(self) -> MemberId:
        """The durable identity of this member."""
        return self._member_id

    @property
    def is_primary(self) -> bool:
        """Whether this member acts as primary and everything it took over is acknowledged.

        It may have been replaced without knowing: only a call that is done proves anything.
        """
        leading = self._parts.role.leading
        return leading is not None and leading.is_ready

    @property
    def primary(self) -> str | None:
        """The rpc address of the primary, as far as it is known and was heard lately."""
        if self._parts.role.leading is not None:
            return self._settings.address
        view = self._parts.witness.view
        if view is None or view.primary == self._member_id:
            return None
        if not self._parts.follower.has_recent_primary(self._last_call_at):
            return None
        return self._parts.outbound.address_of(view.primary)

    @property
    def view(self) -> View | None:
        """The view that this member acts in as primary, or else the last that it has accepted."""
        return self._parts.views.view

    @property
    def committed_index(self) -> int:
        """The newest record known to be acknowledged."""
        return self._parts.replica.committed

    @property
    def last_index(self) -> int:
        """The newest record of the log, acknowledged or not."""
        return self._parts.replica.last_index

    @property
    def has_left(self) -> bool:
        """Whether this member may end, after `leave`.

        No acknowledgement needs its copy, it has no role, and the others are enough to decide without it.
        """
        return self._parts.role.leading is None and self._parts.graceful_leave.is_complete(
            self._parts.witness.view
        )

    @property
    def acting_epoch(self) -> int | None:
        """The epoch in which this member acts as primary; None if it does not."""
        leading = self._parts.role.leading
        return None if leading is None else leading.view.epoch

    @property
    def discarded_snapshots(self) -> int:
        """Snapshots that came to their end and did not agree with their checksum."""
        return self._parts.follower.incoming.discarded

    def volatile_state(self) -> tuple[object, ...]:
        """What is kept in memory only, times left out; for explorations that compare states."""
        return (
            self._parts.replica.committed,
            *self._parts.views.volatile_state(),
            *self._parts.graceful_leave.volatile_state(),
        )

    def validate_state(self) -> None:
        """Checks what must hold between any two calls. Cheap; tests call it, production does not.

        Raises:
            AssertionError: An invariant does not hold; the message names it.
        """
        parts = self._parts
        view, replica, leading = parts.witness.view, parts.replica, parts.role.leading
        assert view is None or view.epoch <= parts.witness.promised, "a view above the promise is accepted"
        assert replica.committed <= replica.last_index, "an acknowledged record is not in the log"
        assert parts.effects.delivered <= replica.committed, "an unacknowledged record was handed out"
        assert replica.first_index <= replica.committed + 1, "an unacknowledged record was compacted"
        if leading is not None:
            assert leading.view.primary == self._member_id, "it leads a view of another primary"
            assert leading.takeover_index <= replica.last_index, "records that it took over are gone"

    # ---- calls ----

    def start(self, now: float) -> Effects:
        """Begins; once, before any other call. Hands out the snapshot on the disk, if there is one."""
        parts = self._parts
        self._last_call_at = now
        parts.follower.start(now)
        index, _, snapshot = parts.replica.snapshot()
        parts.effects.start_from(index, snapshot)
        view = parts.witness.view
        if view is not None:
            parts.addresses.update_from_view(view)
        if not parts.identity.is_new:
            parts.lease_acceptor.observe_restart(now)
        elif view is not None and view.primary == self._member_id:
            parts.role.lead(now, view)
        return self._finish(now)

    def receive(self, now: float, envelope: Envelope) -> Effects:
        """Takes a message from another member; what cannot be read or is not for this member is dropped."""
        self._observe_time(now)
        if envelope.receiver not in ("", self._member_id) or envelope.sender == self._member_id:
            return self._finish(now)
        try:
            message, address = decode(envelope.kind, envelope.body)
        except MessageDecodeError as error:
            log.warning("replication.message_undecodable", error=str(error))
            return self._finish(now)
        self._parts.addresses.record_sender(envelope.sender, address, self.view)
        return self._guarded(now, lambda: self._router.handle(now, envelope.sender, message))

    def tick(self, now: float) -> Effects:
        """Runs timers; to be called at least every 20 ms."""
        self._observe_time(now)
        return self._guarded(now, lambda: self._run_timers(now))

    def propose(self, now: float, record: bytes) -> tuple[PendingCall, Effects]:
        """Appends a record. Until the call is done the record may or may not become acknowledged.

        Raises:
            NotPrimaryError: This member is not primary, or has not yet acknowledged what it took over.
            OSError: The disk refuses the record; then nothing is promised.
        """
        self._observe_time(now)
        leading = self._parts.role.leading
        if leading is None or not leading.is_ready:
            raise NotPrimaryError(self._member_id, self.primary)
        try:
            index = self._parts.replica.append(leading.view.epoch, record)
        except OSError as error:
            self._handle_disk_error(now, error)
            raise
        call = self._parts.effects.add_proposal(index)
        leading.replicate(now)
        return call, self._finish_call(now)

    def confirm(self, now: float) -> tuple[PendingCall, Effects]:
        """Begins a read: done once it is proven that nobody else has acknowledged anything before this call.

        Raises:
            NotPrimaryError: This member is not primary.
            OSError: The disk refuses one of this member's own votes; then nothing is proven.
        """
        self._observe_time(now)
        leading = self._parts.role.leading
        if leading is None:
            raise NotPrimaryError(self._member_id, self.primary)
        leading.heartbeat(now)
        call = self._parts.effects.add_read(leading.round)
        return call, self._finish_call(now)

    def step_down(self, now: float) -> Effects:
        """Hands the primary's role to a backup, gives up leases, and tries for neither for some seconds.

        What is proposed and not acknowledged fails as possibly committed.
        """
        self._observe_time(now)
        return self._guarded(now, lambda: self._give_up_roles(now, self._timing.step_down_pause_s))

    def leave(self, now: float) -> Effects:
        """Prepares a planned end, to be followed by ticks until `has_left`; safe to be cut short.

        Hands over as `step_down` does, for good, and asks to be left out of the in-sync set. The vote stays.
        """
        self._observe_time(now)
        self._parts.graceful_leave.begin()
        return self._guarded(now, lambda: self._begin_leaving(now))

    def lease(self, now: float, name: str) -> Lease | None:
        """The lease, if it is held and may be acted on now.

        Otherwise it is asked for from now on, unless this member leaves.
        """
        if self._parts.graceful_leave.has_begun:
            return None
        return self._parts.leases.lease(now, name)

    def announce(self, now: float, name: str, targets: Sequence[str]) -> tuple[PendingCall, Effects]:
        """Announces an action on `targets` under the lease `name`.

        Once the call is done, `action_permitted_until` returns until when the action may be started. The call
        fails if the lease is not held or no quorum of witnesses answers.

        Raises:
            OSError: The disk of this member, as one of the witnesses, refuses to store the lease.
        """
        self._observe_time(now)
        call = self._parts.leases.announce(now, name, targets, self._parts.witness.view)
        return call, self._finish_call(now)

    def action_permitted_until(self, now: float, name: str, target: str) -> float:
        """Until when an act on `target` may be begun; minus infinity if it may not. Read before each act."""
        return self._parts.leases.action_permitted_until(now, name, target)

    def target_free_at(self, name: str, target: str) -> float:
        """From when on this member, as holder of the lease, may act on `target`, where others did lately."""
        return self._parts.leases.target_free_at(name, target)

    def action_history(self, name: str) -> ActionHistory:
        """The acts under the lease before this member held it, as far as witnesses remember them."""
        return self._parts.leases.action_history(name)

    def set_contacts(self, addresses: Iterable[str]) -> None:
        """Sets rpc addresses of members known from elsewhere, to be asked for admission besides the seeds."""
        self._contacts = tuple(dict.fromkeys((*addresses, *self._settings.seeds)))

    # ---- time ----

    def _run_timers(self, now: float) -> None:
        parts = self._parts
        leading = parts.role.leading
        is_sending_snapshot = leading is not None and leading.is_sending_snapshot
        parts.compaction.tick(now, parts.effects.delivered, is_sending_snapshot)
        parts.views.tick(now, self._contacts, parts.graceful_leave.has_begun)
        if parts.graceful_leave.has_begun:
            parts.graceful_leave.request(now, parts.witness.view)
        parts.leases.tick(now, parts.witness.view, self._router.lease_rank)

    def _observe_time(self, now: float) -> None:
        """Notes the time. After a pause of the process itself, silence of others means nothing."""
        if self._last_call_at and now - self._last_call_at > self._timing.process_pause_s:
            self._parts.views.reset_silence(now)
        self._last_call_at = now

    def _begin_leaving(self, now: float) -> None:
        self._give_up_roles(now, inf)
        self._parts.graceful_leave.request(now, self._parts.witness.view)

    def _give_up_roles(self, now: float, pause_s: float) -> None:
        self._parts.role.step_down(now, pause_s)
        self._parts.leases.give_up_all(now, self.view, pause_s)

    # ---- after every call ----

    def _finish(self, now: float) -> Effects:
        parts = self._parts
        self._process_own_messages(now)
        leading = parts.role.leading
        if leading is not None:
            self._advance_commit(now, leading)
        parts.effects.deliver()
        if leading is not None:
            parts.effects.complete_calls(leading, parts.witness.promised <= leading.view.epoch)
        parts.effects.update_role(self._current_role())
        return parts.effects.take(parts.outbound)

    def _finish_call(self, now: float) -> Effects:
        """As `_finish`, for a call that raises what the disk refuses."""
        try:
            return self._finish(now)
        except OSError as error:
            self._handle_disk_error(now, error)
            raise

    def _process_own_messages(self, now: float) -> None:
        """Counts this member's own votes, and takes its view change as far as it comes."""
        while True:
            own_messages = self._parts.outbound.drain_to_self()
            for message in own_messages:
                self._router.handle(now, self._member_id, message)
            if not self._parts.views.advance(now) and not own_messages:
                return

    def _advance_commit(self, now: float, leading: Leadership) -> None:
        """Counts as acknowledged what has enough copies, and lets the backups know."""
        index = leading.commit_index()
        if index > self._parts.replica.committed:
            self._parts.replica.committed = index
            leading.heartbeat(now)

    def _current_role(self) -> Role:
        if self.is_primary:
            return Role.PRIMARY
        view = self._parts.witness.view
        if view is not None and self._member_id in view.in_sync:
            return Role.BACKUP
        return Role.LEARNER

    def _guarded(self, now: float, work: Callable[[], None]) -> Effects:
        """Nothing that a failed write was to make durable is sent."""
        try:
            work()
            return self._finish(now)
        except OSError as error:
            self._handle_disk_error(now, error)
        return self._parts.effects.take(self._parts.outbound)

    def _handle_disk_error(self, now: float, error: OSError) -> None:
        if now >= self._parts.role.no_candidacy_until:
            log.error(
                "disk.write_failed", error=str(error), remedy="free space in data_dir or replace the disk"
            )
        self.disk_error = error
        self._parts.outbound.drain_to_self()
        self._give_up_roles(now, self._timing.step_down_pause_s)
        self._parts.outbound.drain_to_self()
