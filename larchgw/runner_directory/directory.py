"""A control process's part in knowing the runners: from check-ins to registry entries.

Pure but for its clock.

Stages
    The registry orders what control processes say of one runner by the runner's own `call_count` (major),
    then by stage (minor): whoever heard the later check-in is right, and of two that heard the same one the
    later stage stands. DRAINING is kept on by every later check-in. GONE is published above every count, so
    nothing brings a runner back that has said that it leaves. Only READY turns to SILENT: a draining runner
    gets no requests whether it checks in or not.

        READY <-> SILENT    no check-in for the silence time-out; the next check-in
        READY, SILENT -> DRAINING    a check-in that says so
        READY, SILENT, DRAINING -> GONE    Leave

Who watches whom
    A record names as its owner the process that acknowledged the runner's last check-in. The owner publishes
    SILENT when no check-in has come for SILENCE_TIMEOUT_HEARTBEATS heartbeat intervals. A runner that takes
    its check-ins elsewhere is published by the new owner, since its owner is part of its content, and the
    former stops watching. Should a record of an earlier check-in than the last one heard here come in, this
    process publishes what it heard. When an owner is lost, every other process gives its runners as long
    again to check in elsewhere, then publishes them as SILENT.

    A pause of this process itself (freeze) is no silence of the runners: clocks stand still over it. Neither
    is a time in which it is cut off from the majority, since the runners that it turns away then are heard by
    others.
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
SILENCE_TIMEOUT_HEARTBEATS = 3.2  # two check-ins may be lost on their way, and the third be late
TOMBSTONE_RETENTION_S = 300.0  # of runners that are gone or silent; longer than a process may be cut off
EXPIRY_INTERVAL_S = 10.0  # between two looks for tombstones that have expired
GONE_MAJOR = 2**62  # above every call_count


@dataclass(frozen=True, slots=True)
class CheckInOutcome:
    """What a check-in or Leave changed.

    Attributes:
        is_published: An entry was published for it.
        needs_replication: The runner drains or is gone, and `RunnerDirectory.mark_replicated` has not been
            called for that yet: a majority of the control processes must have it before it is acknowledged.
    """

    is_published: bool
    needs_replication: bool


@dataclass(slots=True)
class _Heartbeat:
    """The last check-in heard here of a runner that this process watches."""

    record: RunnerRecord
    heard_at: float


def has_same_content(old: RunnerRecord, new: RunnerRecord) -> bool:
    """Returns whether the difference is nothing that others need to know.

    That is: counts, and the times that run down by themselves until they come to an end.
    """
    alike = replace(
        new, call_count=old.call_count, warm_up_left_ms=old.warm_up_left_ms, time_left_ms=old.time_left_ms
    )
    return (
        alike == old
        and (new.warm_up_left_ms > 0.0) == (old.warm_up_left_ms > 0.0)
        and (new.time_left_ms >= 0.0) == (old.time_left_ms >= 0.0)
    )


class RunnerDirectory:
    """The runners that this control process knows, and those that it watches.

    Attributes:
        owner: Names this incarnation of the process in the records of the runners that it watches.
    """

    def __init__(
        self,
        registry: Registry,
        clock: Callable[[], float],
        heartbeat_interval_s: float,
        owner: str,
        is_owner_alive: Callable[[str], bool] = lambda owner: True,
    ) -> None:
        """Reads the runners that the registry knows, and follows it from now on.

        Args:
            registry: Where records are published and come from.
            clock: Seconds, monotonic.
            heartbeat_interval_s: Seconds between two check-ins of a runner.
            owner: Names this incarnation of the process.
            is_owner_alive: Whether a process still answers for the runners of the incarnation that a record
                names as its owner. While this process is itself cut off from the majority it must say True,
                since it cannot know.
        """
        self.owner = owner
        self._registry = registry
        self._clock = clock
        self._heartbeat_interval_s = heartbeat_interval_s
        self._is_owner_alive = is_owner_alive
        self._records: dict[str, RunnerRecord] = {}
        self._changed_at: dict[str, float] = {}
        self._ids_by_owner: dict[str, set[str]] = {}
        self._heartbeats: dict[str, _Heartbeat] = {}  # the one heard longest ago first
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
        """Seconds without a check-in after which a runner counts as silent."""
        return SILENCE_TIMEOUT_HEARTBEATS * self._heartbeat_interval_s

    def get(self, runner_id: str) -> RunnerRecord | None:
        """Returns the record of a runner, whatever its stage."""
        return self._records.get(runner_id)

    def runners(self, service: str | None = None) -> list[RunnerRecord]:
        """Returns all that are not gone, or those of one service."""
        return [
            record
            for record in self._records.values()
            if record.stage is not Stage.GONE and service in (None, record.service)
        ]

    def check_in(self, record: RunnerRecord) -> CheckInOutcome:
        """Takes a check-in as `parse_check_in` read it.

        One that is overtaken by a later one, or by the runner's Leave, changes nothing.
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
        """Takes a Leave: the runner ends.

        Also published for a runner that is not known here: its record may yet come.
        """
        known = self._records.get(runner_id)
        if known is not None and known.stage is Stage.GONE:
            return self._outcome(runner_id, is_published=False)
        record = known or RunnerRecord(RunnerId(runner_id), service="", address="", zone="")
        gone = replace(record, stage=Stage.GONE, models=(), owner=self.owner)
        return self._outcome(runner_id, self._publish(gone))

    def mark_replicated(self, runner_id: str, stage: Stage) -> None:
        """Notes that a majority of the control processes knows that the runner has come to `stage`.

        Saying it again then needs no replication. A later stage may have come meanwhile, and still needs it.
        """
        if runner_id in self._records:
            self._replicated_stages[runner_id] = stage

    def tick(self, now: float, isolated: bool = False) -> None:
        """Publishes runners as silent and removes tombstones; call it several times a heartbeat interval.

        Args:
            now: The time by `clock`.
            isolated: Whether this process is cut off from the majority and turns runners away now.
        """
        pause_s = now - self._last_tick_at
        self._last_tick_at = now
        if isolated or pause_s > self._heartbeat_interval_s:
            self._shift_clocks(pause_s)
        self._publish_silent_runners(now)
        self._publish_runners_of_lost_owners(now)
        if now - self._last_expiry_at >= EXPIRY_INTERVAL_S:
            self._last_expiry_at = now
            self._remove_expired(now)

    def validate_state(self) -> None:
        """Raises AssertionError if the indexes disagree with the records; for tests."""
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
        """Returns the highest call_count known of the runner; -1 if it is not known."""
        heartbeat, known = self._heartbeats.get(runner_id), self._records.get(runner_id)
        return max(heartbeat.record.call_count if heartbeat else -1, known.call_count if known else -1)

    def _observe_heartbeat(self, record: RunnerRecord) -> None:
        self._heartbeats.pop(record.id, None)
        self._heartbeats[record.id] = _Heartbeat(record, self._clock())

    def _publish(self, record: RunnerRecord) -> bool:
        major = GONE_MAJOR if record.stage is Stage.GONE else record.call_count
        return self._registry.put(RUNNER_PREFIX + record.id, record.encode(), major, int(record.stage))

    def _update(self, entry: Entry) -> None:
        """Follows the entry of a runner that is new in the registry, made here or elsewhere."""
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

    def _shift_clocks(self, seconds: float) -> None:
        """This process did not run, or turned runners away, for that long: their silence means nothing."""
        for heartbeat in self._heartbeats.values():
            heartbeat.heard_at += seconds
        self._owner_lost_since = {owner: at + seconds for owner, at in self._owner_lost_since.items()}

    def _publish_silent_runners(self, now: float) -> None:
        overdue = []
        for runner_id, heartbeat in self._heartbeats.items():
            if now - heartbeat.heard_at < self.silence_timeout_s:
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
            owner: self._owner_lost_since.get(owner, now)
            for owner in others
            if not self._is_owner_alive(owner)
        }
        for owner, lost_since in self._owner_lost_since.items():
            if now - lost_since >= self.silence_timeout_s:
                for runner_id in list(self._ids_by_owner.get(owner, ())):
                    self._publish_silent(runner_id, self._records[runner_id].call_count)

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
    """Returns the stage after a check-in, which ends a silence and nothing else that was said before."""
    if known is None or known.stage is Stage.SILENT:
        return checked_in.stage
    return max(checked_in.stage, known.stage)
