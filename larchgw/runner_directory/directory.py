"""A control process's part in knowing the runners: from check-ins to registry entries. Pure but for its
clock.

Stages
    The registry orders what control processes say of one runner by the runner's own `call_count` (major),
    then by stage (minor): whoever heard the later check-in is right, and of two that heard the same one the
    later stage stands. DRAINING is kept on by every later check-in. GONE is published above every count, so
    nothing brings a runner back that has said that it leaves. Only READY turns to SILENT: a draining runner
    gets no requests whether it beats or not.

Who watches whom
    A record names as its owner the process that acknowledged the runner's last check-in. The owner publishes
    SILENT when no check-in has come for SILENCE_TIMEOUT_HEARTBEATS beats. A runner that takes its check-ins
    elsewhere is published by the new owner, since its owner is part of its content, and the former stops
    watching. Should a record of an earlier check-in than the last one heard here come in, this process
    publishes what it heard. When an owner is lost, every other process gives its runners as long again to
    check in elsewhere, then publishes them as SILENT.

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
from ..rpc.generated.ttypes import Entry
from .runner_record import RunnerRecord, Stage

log = structlog.get_logger()
SILENCE_TIMEOUT_HEARTBEATS = 3.2  # two check-ins may be lost on their way, and the third be late
TOMBSTONE_RETENTION_S = 300.0  # of runners that are gone or silent; longer than a process may be cut off
FORGET_EVERY_S = 10.0  # how often old ones are looked for
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
class _Beat:
    """The last check-in heard here of a runner that this process watches."""

    record: RunnerRecord
    heard_at: float


def same_content(old: RunnerRecord, new: RunnerRecord) -> bool:
    """Whether the difference is nothing that others need to know: counts and the times that run down by
    themselves.
    """
    alike = replace(new, call_count=old.call_count, cold_left_ms=old.cold_left_ms, left_ms=old.left_ms)
    return (
        alike == old
        and (new.cold_left_ms > 0.0) == (old.cold_left_ms > 0.0)
        and (new.left_ms >= 0.0) == (old.left_ms >= 0.0)
    )


class RunnerDirectory:
    """The runners that this control process knows, and those that it watches.

    `owner` names this life of the process. `alive` tells whether a process still answers for the runners of
    the life that a record names as its owner; while this process is itself cut off from the majority it must
    answer True, since it cannot know.
    """

    def __init__(
        self,
        registry: Registry,
        clock: Callable[[], float],
        heartbeat_interval_s: float,
        owner: str,
        is_owner_alive: Callable[[str], bool] = lambda owner: True,
    ) -> None:
        self.owner = owner
        self._registry = registry
        self._clock = clock
        self._beat_s = heartbeat_interval_s
        self._alive = is_owner_alive
        self._records: dict[str, RunnerRecord] = {}
        self._changed_at: dict[str, float] = {}
        self._by_owner: dict[str, set[str]] = {}
        self._beats: dict[str, _Beat] = {}  # the one heard longest ago first
        self._replicated: dict[str, Stage] = {}
        self._lost: dict[str, float] = {}  # owner -> since when it is known to be lost
        self._last_tick = clock()
        self._forgot_at = self._last_tick
        for entry in registry.items(RUNNER_PREFIX):
            self._learn(entry)
        registry.watch(RUNNER_PREFIX, self._learn)
        registry.watch_removals(RUNNER_PREFIX, self._forgotten)

    @property
    def silence_timeout_s(self) -> float:
        """Seconds without a check-in after which a runner counts as silent."""
        return SILENCE_TIMEOUT_HEARTBEATS * self._beat_s

    def get(self, id: str) -> RunnerRecord | None:
        """The record of a runner, whatever its stage."""
        return self._records.get(id)

    def runners(self, service: str | None = None) -> list[RunnerRecord]:
        """All that are not gone, or those of one service."""
        return [
            record
            for record in self._records.values()
            if record.stage is not Stage.GONE and service in (None, record.service)
        ]

    def check_in(self, record: RunnerRecord) -> CheckInOutcome:
        """A check-in as `parse_check_in` read it. One that is overtaken by a later one changes nothing."""
        standing = self._records.get(record.id)
        gone = standing is not None and standing.stage is Stage.GONE
        if gone or record.call_count < self._last_count(record.id):
            return self._outcome(record.id, is_published=False)
        self._heard(record)
        new = replace(record, stage=_later_stage(record, standing), owner=self.owner)
        if standing is not None and same_content(standing, new):
            return self._outcome(record.id, is_published=False)
        return self._outcome(record.id, self._publish(new))

    def leave(self, id: str) -> CheckInOutcome:
        """The runner ends. Also published for a runner that is not known here: its record may yet come."""
        standing = self._records.get(id)
        if standing is not None and standing.stage is Stage.GONE:
            return self._outcome(id, is_published=False)
        record = standing or RunnerRecord(id, service="", address="", zone="")
        gone = replace(record, stage=Stage.GONE, models=(), owner=self.owner)
        return self._outcome(id, self._publish(gone))

    def mark_replicated(self, id: str, stage: Stage) -> None:
        """A majority of the control processes knows that the runner has come to `stage`; saying it again is
        not urgent. A later stage may have come meanwhile, and still is.
        """
        if id in self._records:
            self._replicated[id] = stage

    def tick(self, now: float, isolated: bool = False) -> None:
        """Publishes runners as silent and forgets old ones; to be called several times a beat. `isolated`:
        this process turns runners away now.
        """
        pause = now - self._last_tick
        self._last_tick = now
        if isolated or pause > self._beat_s:
            self._stand_still(pause)
        self._mark_silent(now)
        self._watch_owners(now)
        if now - self._forgot_at >= FORGET_EVERY_S:
            self._forgot_at = now
            self._forget(now)

    def _outcome(self, id: str, is_published: bool) -> CheckInOutcome:
        record = self._records.get(id)
        stage = record.stage if record is not None else Stage.READY
        return CheckInOutcome(is_published, stage >= Stage.DRAINING and self._replicated.get(id) is not stage)

    def _last_count(self, id: str) -> int:
        """The highest call_count known of the runner."""
        beat, standing = self._beats.get(id), self._records.get(id)
        return max(beat.record.call_count if beat else -1, standing.call_count if standing else -1)

    def _heard(self, record: RunnerRecord) -> None:
        self._beats.pop(record.id, None)
        self._beats[record.id] = _Beat(record, self._clock())

    def _publish(self, record: RunnerRecord) -> bool:
        major = GONE_MAJOR if record.stage is Stage.GONE else record.call_count
        return self._registry.put(RUNNER_PREFIX + record.id, record.encode(), major, int(record.stage))

    def _learn(self, entry: Entry) -> None:
        """An entry of a runner is news, made here or elsewhere."""
        record = RunnerRecord.decode(entry.value)
        self._note(record)
        beat = self._beats.get(record.id)
        if beat is None or (record.owner == self.owner and record.stage is not Stage.GONE):
            return
        if record.stage is Stage.GONE or record.call_count >= beat.record.call_count:
            del self._beats[record.id]
            return
        self._publish(replace(beat.record, stage=_later_stage(beat.record, record), owner=self.owner))

    def _note(self, record: RunnerRecord) -> None:
        self._unnote(record.id)
        self._records[record.id] = record
        self._changed_at[record.id] = self._clock()
        self._by_owner.setdefault(record.owner, set()).add(record.id)

    def _unnote(self, id: str) -> None:
        old = self._records.pop(id, None)
        self._changed_at.pop(id, None)
        if old is None:
            return
        self._by_owner[old.owner].discard(id)
        if not self._by_owner[old.owner]:
            del self._by_owner[old.owner]

    def _stand_still(self, seconds: float) -> None:
        """This process did not run, or turned runners away, for that long: their silence means nothing."""
        for beat in self._beats.values():
            beat.heard_at += seconds
        self._lost = {owner: since + seconds for owner, since in self._lost.items()}

    def _mark_silent(self, now: float) -> None:
        overdue = []
        for id, beat in self._beats.items():
            if now - beat.heard_at < self.silence_timeout_s:
                break
            overdue.append(id)
        for id in overdue:
            beat = self._beats.pop(id)
            self._publish_silent(id, beat.record.call_count)

    def _publish_silent(self, id: str, call_count: int) -> None:
        standing = self._records.get(id)
        if standing is not None and standing.stage is Stage.READY:
            log.warning("runner.heartbeat_lost", runner=id, address=standing.address)
            self._publish(replace(standing, stage=Stage.SILENT, call_count=call_count, owner=self.owner))

    def _watch_owners(self, now: float) -> None:
        others = [owner for owner in self._by_owner if owner != self.owner]
        self._lost = {owner: self._lost.get(owner, now) for owner in others if not self._alive(owner)}
        for owner, since in self._lost.items():
            if now - since >= self.silence_timeout_s:
                for id in list(self._by_owner.get(owner, ())):
                    self._publish_silent(id, self._records[id].call_count)

    def _forget(self, now: float) -> None:
        old = {
            id
            for id, record in self._records.items()
            if record.stage is not Stage.READY
            and id not in self._beats
            and now - self._changed_at[id] >= TOMBSTONE_RETENTION_S
        }
        if not old:
            return
        self._registry.remove_if(RUNNER_PREFIX, lambda entry: entry.key.removeprefix(RUNNER_PREFIX) in old)

    def _forgotten(self, entry: Entry) -> None:
        id = entry.key.removeprefix(RUNNER_PREFIX)
        self._unnote(id)
        self._replicated.pop(id, None)


def _later_stage(checked_in: RunnerRecord, standing: RunnerRecord | None) -> Stage:
    """A check-in ends a silence, and nothing else that was said of the runner."""
    if standing is None or standing.stage is Stage.SILENT:
        return checked_in.stage
    return max(checked_in.stage, standing.stage)
