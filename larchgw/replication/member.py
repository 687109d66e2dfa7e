"""One process of the replicated control state: a witness, a replica and the leases behind one interface."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf
from random import Random

import structlog

from .candidate import Candidate
from .compaction import Compaction
from .effects import Effects, NotPrimaryError, PendingCall, Role
from .follower import Follower
from .graceful_leave import GracefulLeave
from .identity import load_or_create_identity
from .lease import Lease
from .lease_acceptor import LeaseAcceptor
from .lease_table import LeaseTable
from .member_addresses import MemberAddresses
from .message_codec import DecodeError, decode
from .messages import (
    Accept,
    Accepted,
    Append,
    AppendReply,
    Envelope,
    Heartbeat,
    HeartbeatReply,
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    LeaveGranted,
    LeaveRequest,
    Message,
    Prepare,
    PreVoteReply,
    PreVoteRequest,
    Promise,
    TakeOver,
)
from .outbound_messages import OutboundMessages
from .pending_calls import PendingCalls
from .ports import Ports
from .replica import Replica
from .settings import MemberSettings
from .view import View
from .view_changes import ViewChanges
from .witness import Witness

log = structlog.get_logger()


class Member:
    """Fed messages and time; every call returns what the caller has to do. Not thread safe.

    `snapshot` gives the caller's state as of the last record that an Effects has handed to it; it is asked at
    the beginning of a tick, when all Effects returned before must have been carried out. Times are seconds on
    a monotonic clock that counts time spent frozen."""

    def __init__(
        self, settings: MemberSettings, ports: Ports, snapshot: Callable[[], bytes], random: Random
    ) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._witness = Witness(ports.witness)
        self._lease_acceptor = LeaseAcceptor(ports.leases, settings.lease_term_s)
        self._identity = load_or_create_identity(
            ports.identity, settings, self._witness, self._lease_acceptor
        )
        self._member_id = self._identity.id
        self._replica = Replica(ports.journal)
        self._outbox = OutboundMessages(self._member_id, settings.address)
        self._addresses = MemberAddresses(self._outbox)
        self._follower = Follower(
            self._member_id, settings.address, self._witness, self._replica, self._outbox, self._timing
        )
        candidate = Candidate(self._member_id, self._outbox, self._timing, random)
        self._views = ViewChanges(
            self._member_id,
            settings,
            self._witness,
            self._lease_acceptor,
            self._replica,
            self._outbox,
            self._addresses,
            self._follower,
            candidate,
            self._fail_pending_calls,
        )
        self._leases = LeaseTable(self._member_id, self._lease_acceptor, settings, self._outbox, random)
        self._compaction = Compaction(self._replica, settings, snapshot)
        self._graceful_leave = GracefulLeave(self._member_id, self._outbox, self._timing)
        self._pending_calls = PendingCalls()
        self._contacts: tuple[str, ...] = settings.seeds
        self._effects = Effects()
        self._role = Role.LEARNER
        self._delivered = 0
        self._last_call_at = 0.0
        self.disk_error: OSError | None = None

    # ---- what is known ----

    @property
    def id(self) -> str:
        """The durable identity of this member."""
        return self._member_id

    @property
    def is_primary(self) -> bool:
        """Whether this member acts as primary and everything it took over is acknowledged. It may have been
        replaced without knowing: only a done call proves anything."""
        return self._views.leading is not None and self._views.leading.is_ready

    @property
    def primary(self) -> str | None:
        """The rpc address of the primary, as far as it is known and was heard lately."""
        if self._views.leading is not None:
            return self._settings.address
        view = self._witness.view
        if (
            view is None
            or view.primary == self._member_id
            or not self._follower.has_recent_primary(self._last_call_at)
        ):
            return None
        return self._outbox.address_of(view.primary)

    @property
    def view(self) -> View | None:
        """The last view that this member has accepted."""
        return self._views.view

    @property
    def committed_index(self) -> int:
        """The newest record known to be acknowledged."""
        return self._replica.committed

    @property
    def last_index(self) -> int:
        """The newest record of the log, acknowledged or not."""
        return self._replica.last_index

    @property
    def has_left(self) -> bool:
        """Whether, after `leave`, no acknowledgement needs this member's copy, it has no role, and the others
        are enough to decide without it."""
        return self._views.leading is None and self._graceful_leave.is_over(self._witness.view)

    @property
    def acting_epoch(self) -> int | None:
        """The epoch in which this member acts as primary; None if it does not."""
        return None if self._views.leading is None else self._views.leading.view.epoch

    @property
    def discarded_snapshots(self) -> int:
        """Snapshots that came whole and did not agree with their checksum."""
        return self._follower.incoming.discarded

    def volatile_state(self) -> tuple[object, ...]:
        """What is kept in memory only, times left out; for explorations that compare states."""
        return (
            self._replica.committed,
            *self._views.volatile_state(),
            *self._graceful_leave.volatile_state(),
        )

    # ---- calls ----

    def start(self, now: float) -> Effects:
        """Once, before any other call. Hands out the snapshot on the disk, if there is one."""
        self._last_call_at = now
        self._follower.start(now)
        index, _, snapshot = self._replica.snapshot()
        if index:
            self._effects.installed = (index, snapshot)
        self._delivered = index
        view = self._witness.view
        if view is not None:
            self._addresses.update_from_view(view)
        if not self._identity.is_new:
            self._lease_acceptor.observe_restart(now)
        elif view is not None and view.primary == self._member_id:
            self._views.lead(now, view)
        return self._finish(now)

    def receive(self, now: float, envelope: Envelope) -> Effects:
        """A message from another member; what cannot be read or is not for this member is dropped."""
        self._observe_time(now)
        if envelope.receiver not in ("", self._member_id) or envelope.sender == self._member_id:
            return self._finish(now)
        try:
            message, address = decode(envelope.kind, envelope.body)
        except DecodeError as error:
            log.warning("replication.message_undecodable", error=str(error))
            return self._finish(now)
        self._addresses.record_sender(envelope.sender, address, self.view)
        return self._guarded(now, lambda: self._handle(now, envelope.sender, message))

    def tick(self, now: float) -> Effects:
        """Timers; at least every 20 ms."""
        self._observe_time(now)
        return self._guarded(now, lambda: self._on_tick(now))

    def propose(self, now: float, record: bytes) -> tuple[PendingCall, Effects]:
        """Appends a record. Raises NotPrimaryError, or OSError of the journal; then nothing is promised.
        Until the call is done the record may or may not become acknowledged."""
        self._observe_time(now)
        if self._views.leading is None or not self._views.leading.is_ready:
            raise NotPrimaryError(
                f"{self._member_id} is not primary; send this to {self.primary or 'another member'}"
            )
        try:
            index = self._replica.append(self._views.leading.view.epoch, record)
        except OSError as error:
            self._handle_disk_error(now, error)
            raise
        call = self._pending_calls.add_proposal(index)
        self._views.leading.replicate(now)
        return call, self._finish(now)

    def confirm(self, now: float) -> tuple[PendingCall, Effects]:
        """Done once it is proven that nobody else has acknowledged anything before this call. Raises
        NotPrimaryError."""
        self._observe_time(now)
        if self._views.leading is None:
            raise NotPrimaryError(
                f"{self._member_id} is not primary; send this to {self.primary or 'another member'}"
            )
        self._views.leading.heartbeat(now)
        call = self._pending_calls.add_read(self._views.leading.round)
        return call, self._finish(now)

    def step_down(self, now: float) -> Effects:
        """Hands the primary's role to a backup, gives up leases, and stands for neither for some seconds.
        What is proposed and not acknowledged fails as possibly taken."""
        self._observe_time(now)
        self._give_up_roles(now, self._timing.step_down_pause_s)
        return self._finish(now)

    def leave(self, now: float) -> Effects:
        """A planned end is ahead: hands over as `step_down` does, for good, and asks to be left out of the
        in-sync set until `has_left`. The vote stays. To be followed by ticks; safe to be cut short."""
        self._observe_time(now)
        self._graceful_leave.begin()
        self._give_up_roles(now, inf)
        self._graceful_leave.request(now, self._witness.view)
        return self._finish(now)

    def lease(self, now: float, name: str) -> Lease | None:
        """The lease, if it is held and may be acted on now; otherwise it is asked for from now on, unless
        this member leaves."""
        if self._graceful_leave.has_begun:
            return None
        return self._leases.lease(now, name)

    def set_contacts(self, addresses: Iterable[str]) -> None:
        """Rpc addresses of other members known from elsewhere, to be asked for admission besides the
        seeds."""
        self._contacts = tuple(dict.fromkeys((*addresses, *self._settings.seeds)))

    # ---- messages ----

    def _handle(self, now: float, sender: str, message: Message) -> None:
        match message:
            case Heartbeat():
                self._follower.heartbeat(now, sender, message)
            case HeartbeatReply():
                self._views.heartbeat_reply(now, sender, message)
            case Append():
                self._follower.append(now, sender, message)
            case InstallSnapshot():
                self._on_install(now, sender, message)
            case InstallSnapshotReply():
                if self._views.leading is not None:
                    self._views.leading.install_reply(now, sender, message)
            case AppendReply():
                if self._views.leading is not None:
                    self._views.leading.append_reply(now, sender, message)
            case PreVoteRequest():
                self._views.receive_pre_vote_request(now, sender, message)
            case PreVoteReply():
                self._views.receive_pre_vote_reply(now, sender, message)
            case Prepare():
                self._views.prepare(sender, message)
            case Promise():
                self._views.promise(now, sender, message)
            case Accept():
                self._views.accept(now, sender, message)
            case Accepted():
                self._views.accepted(sender, message)
            case JoinRequest():
                self._on_join(now, sender, message)
            case LeaveRequest():
                self._views.leave(now, sender, message)
            case LeaveGranted():
                self._graceful_leave.receive_granted(message)
            case TakeOver():
                self._views.take_over(now, message)
            case LeaseRequest():
                self._leases.handle_request(now, sender, message, self._witness.view)
            case LeaseReply():
                if message.view is not None:
                    self._views.adopt(now, message.view)
                self._leases.receive_reply(now, sender, message, self._rank())
            case LeaseRelease():
                self._leases.release(now, sender, message, self._rank())

    def _on_install(self, now: float, sender: str, message: InstallSnapshot) -> None:
        installed = self._follower.install(now, sender, message)
        if installed is not None:
            self._effects.installed = installed
            self._effects.committed = []
            self._delivered = installed[0]

    def _on_join(self, now: float, sender: str, join: JoinRequest) -> None:
        self._addresses.record_sender(join.member, join.address, self.view)
        self._views.join(now, join)
        if self._views.leading is not None:
            return
        if (
            sender == join.member
            and self._follower.has_recent_primary(now)
            and self._witness.view is not None
        ):
            self._outbox.send(self._witness.view.primary, join)

    # ---- time ----

    def _on_tick(self, now: float) -> None:
        leading = self._views.leading
        is_sending = leading is not None and leading.is_sending_snapshot
        self._compaction.tick(now, self._delivered, is_sending)
        self._views.tick(now, self._contacts, self._graceful_leave.has_begun)
        if self._graceful_leave.has_begun:
            self._graceful_leave.request(now, self._witness.view)
        self._leases.tick(now, self._witness.view, self._rank())

    def _rank(self) -> int:
        view = self._witness.view
        if view is None:
            return 0
        return view.in_sync.index(self._member_id) if self._member_id in view.in_sync else len(view.in_sync)

    def _give_up_roles(self, now: float, seconds: float) -> None:
        self._views.step_down(now, seconds)
        self._leases.give_up_all(now, self.view, seconds)

    def _fail_pending_calls(self, reason: str) -> None:
        self._pending_calls.fail(reason, self._effects)

    # ---- after every call ----

    def _finish(self, now: float) -> Effects:
        self._process_own_messages(now)
        self._advance_commit(now)
        self._deliver()
        self._complete_calls()
        self._update_role()
        effects, self._effects = self._effects, Effects()
        effects.messages = self._outbox.drain()
        return effects

    def _process_own_messages(self, now: float) -> None:
        """Own votes, and the ballot as far as it has come."""
        while True:
            own = self._outbox.drain_to_self()
            for message in own:
                self._handle(now, self._member_id, message)
            if not self._views.advance_view_change(now) and not own:
                return

    def _advance_commit(self, now: float) -> None:
        """Counts as acknowledged what has enough copies."""
        leading = self._views.leading
        if leading is None:
            return
        commit = leading.commit_index()
        if commit > self._replica.committed:
            self._replica.committed = commit
            leading.heartbeat(now)

    def _deliver(self) -> None:
        """Hands out acknowledged records, a few at a time where the state is large: the caller needs time for
        each, and heartbeats must go on meanwhile."""
        if self._delivered >= self._replica.committed:
            return
        max_records = max(1, self._settings.deliver_bytes // max(1, self._replica.state_bytes))
        last = min(self._replica.committed, self._delivered + max_records)
        self._effects.committed.extend(self._replica.read(self._delivered + 1, last))
        self._delivered = last

    def _complete_calls(self) -> None:
        """Ends the calls whose records have been handed out, and the reads that are proven."""
        leading = self._views.leading
        if leading is None:
            return
        self._pending_calls.acknowledge(self._delivered, self._effects)
        has_all = leading.is_ready and self._delivered == self._replica.committed
        if self._pending_calls.has_reads and has_all:
            self_granted = self._witness.promised <= leading.view.epoch
            self._pending_calls.confirm(
                leading.proven_round(self_granted), self._replica.committed, self._effects
            )

    def _update_role(self) -> None:
        view = self._witness.view
        if self.is_primary:
            role = Role.PRIMARY
        elif view is not None and self._member_id in view.in_sync:
            role = Role.BACKUP
        else:
            role = Role.LEARNER
        if role is not self._role:
            self._role = self._effects.role = role

    def _guarded(self, now: float, work: Callable[[], None]) -> Effects:
        """Nothing that a failed write was to make durable is sent."""
        try:
            work()
            return self._finish(now)
        except OSError as error:
            self._handle_disk_error(now, error)
        effects, self._effects = self._effects, Effects()
        effects.messages = self._outbox.drain()
        return effects

    def _handle_disk_error(self, now: float, error: OSError) -> None:
        if now >= self._views.no_candidacy_until:
            log.error(
                "disk.write_failed", error=str(error), remedy="free space in data_dir or replace the disk"
            )
        self.disk_error = error
        self._outbox.drain_to_self()
        self._give_up_roles(now, self._timing.step_down_pause_s)
        self._outbox.drain_to_self()

    def _observe_time(self, now: float) -> None:
        """Notes the time. After a pause of the process itself, silence of others means nothing."""
        if self._last_call_at and now - self._last_call_at > self._timing.process_pause_s:
            self._views.reset_silence(now)
        self._last_call_at = now
