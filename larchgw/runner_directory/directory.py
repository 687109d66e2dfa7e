"""The runner directory of a control process: publishes check-ins of runners as registry entries.

It does no I/O other than reading its clock.

Stages
    The registry orders the entries that control processes publish for one runner by the runner's own
    `call_count` (major), then by stage (minor). The entry of the later check-in wins, and of two entries for
    the same check-in, the one with the later stage. Later check-ins do not end DRAINING. GONE is published
    with a major version above every count, so that a runner that has left never comes back. Only READY
    changes to SILENT, since a draining runner gets no requests whether it checks in or not.

        READY <-> SILENT    no check-in within the silence time-out; the next check-in
        READY, SILENT -> DRAINING    a check-in with the state "draining"
        READY, SILENT, DRAINING -> GONE    Leave

Ownership
    The owner of a record is the process that acknowledged the runner's last check-in. It publishes SILENT
    when no check-in was received for SILENCE_TIMEOUT_HEARTBEATS heartbeat intervals. If a runner checks in at
    another process, that process publishes a record with itself as owner, and the former owner stops
    monitoring the runner. If a process receives a record of an earlier check-in than the last one that it has
    received itself, it publishes its own. When an owner is lost, all other processes wait for another silence
    time-out, in which its runners can check in elsewhere, and then publish them as SILENT. A process that was
    restarted is itself responsible for the runners of its earlier incarnations. They could check in since it
    began to accept check-ins, so it counts their silence from then on, even if their records reach it later:
    after a restart of all control processes, dispatchers hand them back.

    Time in which this process was paused (frozen) does not count towards the time-outs. Neither does time in
    which it is cut off from the majority, since it then rejects check-ins, which other processes receive.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from ..distribution.keys import RUNNER_PREFIX
from ..distribution.registry import Registry
from ..identifiers import RunnerId
from ..rpc.generated.ttypes import Entry
from .runner_record import RunnerRecord, Stage

log = structlog.get_logger()
SILENCE_TIMEOUT_HEARTBEATS = 3.2  # tolerates two lost check-ins and a late third one
TOMBSTONE_RETENTION_S = 300.0  # for runners that are not ready; longer than a process may be cut off
EXPIRY_INTERVAL_S = 10.0  # between two searches for expired tombstones
GONE_MAJOR = 2**62  # above every call_count


@dataclass(frozen=True, slots=True)
class CheckInOutcome:
    """Result of a check-in or Leave.

    Attributes:
        is_published: Whether an entry was published.
        needs_replication: Whether a majority of the control processes must have the record before the call
            is acknowledged. True if the runner is draining or gone, until `RunnerDirectory.mark_replicated`
            is called for that stage.
    """

    is_published: bool
    needs_replication: bool


@dataclass(slots=True)
class _Heartbeat:
    """The last check-in that this process received from a runner that it monitors."""

    record: RunnerRecord
    received_at: float


def has_same_content(old: RunnerRecord, new: RunnerRecord) -> bool:
    """Returns whether the records differ only in values that need no publication.

    These are the call count, and remaining times as long as they have not run out.
    """
    normalised = replace(
        new, call_count=old.call_count, warm_up_left_ms=old.warm_up_left_ms, time_left_ms=old.time_left_ms
    )
    return (
        normalised == old
        and (new.warm_up_left_ms > 0.0) == (old.warm_up_left_ms > 0.0)
        and (new.time_left_ms >= 0.0) == (old.time_left_ms >= 0.0)
    )


class RunnerDirectory:
    """All known runners, and the heartbeats of those that this control process monitors.

    Attributes:
        owner: Name of this incarnation of the process in the records of the runners that it monitors.
    """

    def __init__(
        self,
        registry: Registry,
        clock: Callable[[], float],
        heartbeat_interval_s: float,
        owner: str,
        is_owner_alive: Callable[[str], bool] = lambda owner: True,
        is_earlier_incarnation: Callable[[str], bool] = lambda owner: False,
    ) -> None:
        """Reads the runners in the registry, and subscribes to its changes.

        Args:
            registry: The registry that records are read from and published to.
            clock: Returns monotonic time in seconds.
            heartbeat_interval_s: Seconds between two check-ins of a runner.
            owner: Name of this incarnation of the process.
            is_owner_alive: Returns whether the owner named in a record still monitors its runners. It must
                return True while this process is cut off from the majority, since it cannot know.
            is_earlier_incarnation: Returns whether the owner named in a record is this process before its
                last restart.
        """
        self.owner = owner
        self._registry = registry
        self._clock = clock
        self._heartbeat_interval_s = heartbeat_interval_s
        self._is_owner_alive = is_owner_alive
        self._is_earlier_incarnation = is_earlier_incarnation
        self._accepts_check_ins_since = clock()
        self._records: dict[str, RunnerRecord] = {}
        self._changed_at: dict[str, float] = {}
        self._ids_by_owner: dict[str, set[str]] = {}
        self._heartbeats: dict[str, _Heartbeat] = {}  # the one received longest ago first
        self._replicated_stages: dict[str, Stage] = {}
        self._owner_lost_since: dict[str, float] = {}
        self._last_tick_at = clock()
        self._last_expiry_at = self._last_tick_at
        for entry in registry.items(RUNNER_PREFIX):
            self._update(entry)
        registry.watch(RUNNER_PREFIX, self._update)
        registry.watch_removals(RUNNER_PREFIX, self._handle_removal)

    @property
    def silence_timeout_s(self) -> float:
        """Seconds without a check-in after which a runner is published as silent."""
        return SILENCE_TIMEOUT_HEARTBEATS * self._heartbeat_interval_s

    def get(self, runner_id: str) -> RunnerRecord | None:
        """Returns the record of a runner in any stage; None if it is unknown."""
        return self._records.get(runner_id)

    def runners(self, service: str | None = None) -> list[RunnerRecord]:
        """Returns all runners that are not gone, optionally only those of one service."""
        return [
            record
            for record in self._records.values()
            if record.stage is not Stage.GONE and service in (None, record.service)
        ]

    def check_in(self, record: RunnerRecord) -> CheckInOutcome:
        """Processes a check-in that was parsed by `parse_check_in`.

        A check-in that arrives after a later one, or after the runner's Leave, changes nothing.
        """
        known = self._records.get(record.id)
        is_gone = known is not None and known.stage is Stage.GONE
        if is_gone or record.call_count < self._highest_count(record.id):
            return self._outcome(record.id, is_published=False)
        self._observe_heartbeat(record)
        new = replace(record, stage=_later_stage(record, known), owner=self.owner)
        if known is not None and has_same_content(known, new):
            return self._outcome(record.id, is_published=False)
        return self._outcome(record.id, self._publish(new))

    def leave(self, runner_id: str) -> CheckInOutcome:
        """Processes a Leave: the runner shuts down.

        It is published for an unknown runner too, since its record may arrive later.
        """
        known = self._records.get(runner_id)
        if known is not None and known.stage is Stage.GONE:
            return self._outcome(runner_id, is_published=False)
        record = known or RunnerRecord(RunnerId(runner_id), service="", address="", zone="")
        tombstone = replace(record, stage=Stage.GONE, models=(), owner=self.owner)
        return self._outcome(runner_id, self._publish(tombstone))

    def mark_replicated(self, runner_id: str, stage: Stage) -> None:
        """Records that a majority of the control processes has the runner's record with `stage`.

        Further calls with this stage need no replication. A later stage, which the runner may have reached in
        the meantime, still needs it.
        """
        if runner_id in self._records:
            self._replicated_stages[runner_id] = stage

    def tick(self, now: float, isolated: bool = False) -> None:
        """Publishes silent runners and removes expired tombstones.

        To be called several times in each heartbeat interval.

        Args:
            now: Current time on `clock`.
            isolated: Whether this process is cut off from the majority and therefore rejects check-ins.
        """
        pause_s = now - self._last_tick_at
        self._last_tick_at = now
        if isolated or pause_s > self._heartbeat_interval_s:
            self._extend_timeouts(pause_s)
        self._publish_silent_runners(now)
        self._publish_runners_of_lost_owners(now)
        if now - self._last_expiry_at >= EXPIRY_INTERVAL_S:
            self._last_expiry_at = now
            self._remove_expired(now)

    def validate_state(self) -> None:
        """Raises AssertionError if the indexes are inconsistent with the records; for tests."""
        assert self._changed_at.keys() == self._records.keys()
        owned = {(owner, id) for owner, ids in self._ids_by_owner.items() for id in ids}
        assert owned == {(record.owner, id) for id, record in self._records.items()}
        assert all(self._ids_by_owner.values())
        assert self._heartbeats.keys() <= self._records.keys()
        assert self._replicated_stages.keys() <= self._records.keys()

    def _outcome(self, runner_id: str, is_published: bool) -> CheckInOutcome:
        record = self._records.get(runner_id)
        stage = record.stage if record is not None else Stage.READY
        needs_replication = stage >= Stage.DRAINING and self._replicated_stages.get(runner_id) is not stage
        return CheckInOutcome(is_published, needs_replication)

    def _highest_count(self, runner_id: str) -> int:
        """Returns the highest known call_count of the runner; -1 if it is unknown."""
        heartbeat, known = self._heartbeats.get(runner_id), self._records.get(runner_id)
        return max(heartbeat.record.call_count if heartbeat else -1, known.call_count if known else -1)

    def _observe_heartbeat(self, record: RunnerRecord) -> None:
        self._heartbeats.pop(record.id, None)
        self._heartbeats[record.id] = _Heartbeat(record, self._clock())

    def _publish(self, record: RunnerRecord) -> bool:
        major = GONE_MAJOR if record.stage is Stage.GONE else record.call_count
        return self._registry.put(RUNNER_PREFIX + record.id, record.encode(), major, int(record.stage))

    def _update(self, entry: Entry) -> None:
        """Processes a new registry entry, which this or another process has published."""
        record = RunnerRecord.decode(entry.value)
        self._index(record)
        heartbeat = self._heartbeats.get(record.id)
        if heartbeat is None or (record.owner == self.owner and record.stage is not Stage.GONE):
            return
        if record.stage is Stage.GONE or record.call_count >= heartbeat.record.call_count:
            del self._heartbeats[record.id]
            return
        stage = _later_stage(heartbeat.record, record)
        self._publish(replace(heartbeat.record, stage=stage, owner=self.owner))

    def _index(self, record: RunnerRecord) -> None:
        self._remove_from_index(record.id)
        self._records[record.id] = record
        self._changed_at[record.id] = self._clock()
        self._ids_by_owner.setdefault(record.owner, set()).add(record.id)

    def _remove_from_index(self, runner_id: str) -> None:
        old = self._records.pop(runner_id, None)
        self._changed_at.pop(runner_id, None)
        if old is None:
            return
        self._ids_by_owner[old.owner].discard(runner_id)
        if not self._ids_by_owner[old.owner]:
            del self._ids_by_owner[old.owner]

    def _extend_timeouts(self, seconds: float) -> None:
        """Extends all silence time-outs by the time in which this process was paused or isolated."""
        self._accepts_check_ins_since += seconds
        for heartbeat in self._heartbeats.values():
            heartbeat.received_at += seconds
        self._owner_lost_since = {owner: at + seconds for owner, at in self._owner_lost_since.items()}

    def _publish_silent_runners(self, now: float) -> None:
        overdue = []
        for runner_id, heartbeat in self._heartbeats.items():
            if now - heartbeat.received_at < self.silence_timeout_s:
                break
            overdue.append(runner_id)
        for runner_id in overdue:
            heartbeat = self._heartbeats.pop(runner_id)
            self._publish_silent(runner_id, heartbeat.record.call_count)

    def _publish_silent(self, runner_id: str, call_count: int) -> None:
        known = self._records.get(runner_id)
        if known is not None and known.stage is Stage.READY:
            log.warning("runner.heartbeat_lost", runner=runner_id, address=known.address)
            self._publish(replace(known, stage=Stage.SILENT, call_count=call_count, owner=self.owner))

    def _publish_runners_of_lost_owners(self, now: float) -> None:
        others = [owner for owner in self._ids_by_owner if owner != self.owner]
        self._owner_lost_since = {
            owner: self._owner_lost_since.get(owner, self._newly_lost_since(owner, now))
            for owner in others
            if not self._is_owner_alive(owner)
        }
        for owner, lost_since in self._owner_lost_since.items():
            if now - lost_since >= self.silence_timeout_s:
                for runner_id in list(self._ids_by_owner.get(owner, ())):
                    self._publish_silent(runner_id, self._records[runner_id].call_count)

    def _newly_lost_since(self, owner: str, now: float) -> float:
        """Returns since when a lost owner's runners could have checked in elsewhere."""
        return self._accepts_check_ins_since if self._is_earlier_incarnation(owner) else now

    def _remove_expired(self, now: float) -> None:
        expired = {
            runner_id
            for runner_id, record in self._records.items()
            if record.stage is not Stage.READY
            and runner_id not in self._heartbeats
            and now - self._changed_at[runner_id] >= TOMBSTONE_RETENTION_S
        }
        if not expired:
            return
        self._registry.remove_if(
            RUNNER_PREFIX, lambda entry: entry.key.removeprefix(RUNNER_PREFIX) in expired
        )

    def _handle_removal(self, entry: Entry) -> None:
        runner_id = entry.key.removeprefix(RUNNER_PREFIX)
        self._remove_from_index(runner_id)
        self._replicated_stages.pop(runner_id, None)


def _later_stage(checked_in: RunnerRecord, known: RunnerRecord | None) -> Stage:
    """Returns the stage after a check-in, which ends SILENT but no later stage."""
    if known is None or known.stage is Stage.SILENT:
        return checked_in.stage
    return max(checked_in.stage, known.stage)
