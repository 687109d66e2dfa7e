"""Dispatches each message to the component of a member that handles it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .member_parts import MemberParts
from .messages import (
    Accept,
    Accepted,
    Append,
    AppendReply,
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

Handler = Callable[[float, str, Any], None]  # time, sender, and a message of the type it is registered for


class MessageRouter:
    """Dispatches messages by their type."""

    def __init__(self, member_id: str, parts: MemberParts) -> None:
        """Registers one handler for each type of message.

        Args:
            member_id: The identity of this member.
            parts: The components of the member.
        """
        self._member_id = member_id
        self._parts = parts
        self._handlers: dict[type[Message], Handler] = {
            Heartbeat: parts.follower.heartbeat,
            HeartbeatReply: parts.views.heartbeat_reply,
            Append: parts.follower.append,
            AppendReply: self._append_reply,
            InstallSnapshot: self._install_snapshot,
            InstallSnapshotReply: self._install_snapshot_reply,
            PreVoteRequest: parts.voter.receive_pre_vote_request,
            PreVoteReply: parts.views.pre_vote_reply,
            Prepare: parts.voter.prepare,
            Promise: parts.views.promise,
            Accept: parts.voter.accept,
            Accepted: parts.views.accepted,
            TakeOver: parts.views.take_over,
            JoinRequest: self._join,
            LeaveRequest: parts.role.leave,
            LeaveGranted: self._leave_granted,
            LeaseRequest: self._lease_request,
            LeaseReply: self._lease_reply,
            LeaseRelease: self._lease_release,
        }

    def handle(self, now: float, sender: str, message: Message) -> None:
        """Handles one message.

        Raises:
            OSError: The change that it requests cannot be made durable.
        """
        self._handlers[type(message)](now, sender, message)

    @property
    def lease_rank(self) -> int:
        """The order in which members try to acquire leases: the view's primary first, then its backups."""
        view = self._parts.witness.view
        if view is None:
            return 0
        in_sync = view.in_sync
        return in_sync.index(self._member_id) if self._member_id in in_sync else len(in_sync)

    # ---- the log ----

    def _append_reply(self, now: float, sender: str, reply: AppendReply) -> None:
        if self._parts.role.leadership is not None:
            self._parts.role.leadership.append_reply(now, sender, reply)

    def _install_snapshot(self, now: float, sender: str, message: InstallSnapshot) -> None:
        installed = self._parts.follower.install(now, sender, message)
        if installed is not None:
            self._parts.effects.install(installed)

    def _install_snapshot_reply(self, now: float, sender: str, reply: InstallSnapshotReply) -> None:
        if self._parts.role.leadership is not None:
            self._parts.role.leadership.install_reply(now, sender, reply)

    # ---- joining and leaving ----

    def _join(self, now: float, sender: str, join: JoinRequest) -> None:
        parts = self._parts
        parts.addresses.record_sender(join.member, join.address, parts.views.view)
        parts.role.join(now, join)
        if parts.role.leadership is not None:
            return
        view = parts.witness.view
        if sender == join.member and parts.follower.has_recent_primary(now) and view is not None:
            parts.outbound.send(view.primary, join)

    def _leave_granted(self, now: float, sender: str, message: LeaveGranted) -> None:
        self._parts.graceful_leave.receive_granted(message)

    # ---- leases ----

    def _lease_request(self, now: float, sender: str, request: LeaseRequest) -> None:
        self._parts.leases.handle_request(now, sender, request, self._parts.witness.view)

    def _lease_reply(self, now: float, sender: str, reply: LeaseReply) -> None:
        if reply.view is not None:
            self._parts.voter.adopt(now, reply.view)
        self._parts.leases.receive_reply(now, sender, reply, self.lease_rank)

    def _lease_release(self, now: float, sender: str, release: LeaseRelease) -> None:
        self._parts.leases.release(now, sender, release, self.lease_rank)
