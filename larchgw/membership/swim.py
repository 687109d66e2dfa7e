"""The membership protocol of one process: SWIM with Lifeguard's extensions, without sockets or clocks.

Its components, one per module: `failure_detector` probes members in turn and suspects those that do not
answer; `member_states` merges updates, refutes suspicions of this process, and declares suspects dead if they
do not refute the suspicion in time (`suspicion`); `dissemination` piggybacks updates on all datagrams;
`table_synchronisation` compares whole tables with seeds and other members; `verification_pings` pings a
member before its death is accepted, and pings dead members to detect that they are back.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002); Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2018). `docs/membership.md` lists what goes beyond both.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import structlog

from .codec import decode
from .errors import DatagramDecodeError
from .failure_detector import FailureDetector
from .local_health import LocalHealth
from .member import Member, MemberState, Role, check_member
from .member_states import MemberStates
from .messages import Ack, Message, Nack, Page, Ping, PingRequest, Pull, Update
from .outbound_datagrams import Datagram, OutboundDatagrams
from .settings import SwimSettings
from .table_synchronisation import TableSynchronisation
from .verification_pings import DeadMemberPings, SuspectPings

__all__ = ["Datagram", "Swim"]

log = structlog.get_logger()

MAX_LEAVE_NOTIFICATIONS = 8  # members that are notified of a graceful leave and disseminate it


class Swim:
    """The protocol state of one process: dispatches messages and ticks to its components.

    `receive` and `tick` return the datagrams to send; `tick` must be called every 0.1 s. Times are seconds on
    a monotonic clock that continues while the process is paused.
    """

    def __init__(self, local_member: Member, settings: SwimSettings, random_source: Random) -> None:
        """Starts with this process as the only known member.

        Args:
            local_member: The member record of this process.
            settings: Periods and limits.
            random_source: Chooses the members to contact, and adds jitter to timers.

        Raises:
            InvalidMemberError: If `local_member` cannot be encoded in a datagram.
        """
        check_member(local_member)
        self._settings = settings
        self._local_health = LocalHealth(settings.max_local_health_score)
        self._states = MemberStates(local_member, settings, random_source, self._local_health)
        self._outbound = OutboundDatagrams(self._states, first_sequence=random_source.getrandbits(32))
        self._failure_detector = FailureDetector(
            settings, random_source, self._states, self._local_health, self._outbound
        )
        self._suspect_pings = SuspectPings(settings, self._states, self._outbound)
        self._dead_member_pings = DeadMemberPings(settings, random_source, self._states, self._outbound)
        self._synchronisation = TableSynchronisation(settings, random_source, self._states, self._outbound)
        self._last_ran_at: float | None = None
        self._next_gossip_at = 0.0

    @property
    def local_member(self) -> Member:
        """The member record of this process, including its refutations so far."""
        return self._states.local_member

    @property
    def on_change(self) -> Callable[[Member], None] | None:
        """Called with each member whose state changed; for a new incarnation at an address, with both."""
        return self._states.on_change

    @on_change.setter
    def on_change(self, callback: Callable[[Member], None] | None) -> None:
        self._states.on_change = callback

    @property
    def health_score(self) -> int:
        """Lifeguard's local health score: 0 (healthy) up to the limit in the settings."""
        return self._local_health.score

    def members(self, role: Role | None = None) -> list[Member]:
        """Returns the alive and suspect members, including this process."""
        return self._states.table.present(role)

    def count(self, role: Role) -> int:
        """Returns the number of alive and suspect members of that role, including this process."""
        return self._states.table.count(role)

    def dead(self, role: Role | None = None) -> list[Member]:
        """Returns the members that ended without leaving, until they are forgotten after some minutes."""
        return [member for member in self._states.dead() if role is None or member.role == role]

    def join(self, addresses: Sequence[str]) -> None:
        """Replaces the seeds, given as membership addresses. They are contacted in the following ticks."""
        self._synchronisation.replace_seeds(addresses)

    def leave(self, now: float) -> list[Datagram]:
        """Notifies some members that this process leaves gracefully. Nothing is sent after that."""
        self._states.leave()
        for address in self._states.sample_peers(MAX_LEAVE_NOTIFICATIONS):
            self._outbound.add_gossip(address)
        return self._outbound.take()

    def receive(self, now: float, address: str, data: bytes) -> list[Datagram]:
        """Handles a datagram from `address`. Bytes that are not a datagram of this protocol are ignored."""
        if self.local_member.state is MemberState.LEFT:
            return []
        try:
            message = decode(data)
        except DatagramDecodeError as error:
            log.debug(
                "membership.datagram_undecodable", size_bytes=len(data), address=address, error=str(error)
            )
            return []
        self._detect_pause(now)
        if not self._is_from_own_address(message):
            self._receive_updates(now, message)
            self._handle(now, address, message)
        return self._outbound.take()

    def tick(self, now: float) -> list[Datagram]:
        """Advances all timers."""
        if self.local_member.state is MemberState.LEFT:
            return []
        self._detect_pause(now)
        self._states.tick(now)
        self._failure_detector.tick(now)
        self._suspect_pings.tick(now)
        self._synchronisation.tick(now)
        self._dead_member_pings.tick(now)
        self._gossip(now)
        return self._outbound.take()

    def validate(self) -> None:
        """Checks the invariants of the member states.

        Raises:
            AssertionError: If an invariant is violated; the message names it.
        """
        self._states.validate()

    def _is_from_own_address(self, message: Message) -> bool:
        """Whether this process, or an earlier incarnation at its address, sent the message."""
        sender, local_member = message.sender, self.local_member
        return sender.address == local_member.address and sender.incarnation <= local_member.incarnation

    def _receive_updates(self, now: float, message: Message) -> None:
        source = message.sender.address
        self._states.receive_gossip(now, Update(message.sender), source)
        if isinstance(message, Page):  # its updates are records of a table
            return
        for update in message.updates:
            self._states.receive_gossip(now, update, source)

    def _handle(self, now: float, address: str, message: Message) -> None:
        match message:
            case Ping():
                self._handle_ping(now, address, message)
            case Ack():
                self._handle_ack(now, address, message)
            case PingRequest():
                self._failure_detector.receive_ping_request(now, address, message)
            case Nack():
                self._failure_detector.receive_nack(message.sequence)
            case Pull():
                self._synchronisation.receive_pull(address, message)
            case Page():
                self._synchronisation.receive_page(now, address, message)

    def _handle_ping(self, now: float, address: str, ping: Ping) -> None:
        sender = self._states.table.get(ping.sender.address)
        self._outbound.add_ack(address, ping.sequence, about=sender)
        self._synchronisation.observe_digest(now, address, ping.digest)

    def _handle_ack(self, now: float, address: str, ack: Ack) -> None:
        self._failure_detector.receive_ack(now, ack.sequence)
        self._synchronisation.observe_digest(now, address, ack.digest)

    def _gossip(self, now: float) -> None:
        if now < self._next_gossip_at or not self._states.dissemination:
            return
        self._next_gossip_at = now + self._settings.gossip_period_s
        for address in self._states.sample_peers(1):
            self._outbound.add_gossip(address)

    def _detect_pause(self, now: float) -> None:
        """Detects that this process was paused, so that lost answers are not blamed on other members."""
        pause_s = 0.0 if self._last_ran_at is None else now - self._last_ran_at
        self._last_ran_at = now
        if pause_s <= self._settings.pause_threshold_s:
            return
        log.info("membership.process_paused", pause_s=round(pause_s, 1))
        self._failure_detector.abandon_probes()
        self._local_health.record_pause(now, self._settings.pause_recovery_s)
        self._states.suspicions.extend(pause_s)
