"""Rules about what a control process says without knowing what the others know: CUT and STALE."""

from __future__ import annotations

from collections.abc import Iterator

from .breach import Breach, Case
from .records import Acknowledgement, ReadSeen, Try

NOT_FOUND = 404


def cut_off(case: Case) -> Iterator[Breach]:
    """A process that reached no other one answered clearly what was sent to it meanwhile."""
    records = case.records
    for answer in records.operator_answers:
        if _was_cut_off(case, answer.control, answer.sent_at, answer.at):
            yield Breach(
                "CUT",
                answer.at,
                f"{answer.control} answered the operator {answer.status} while it was cut off",
            )
    for ending in records.acknowledgements:
        if _was_cut_off(case, ending.control, ending.sent_at, ending.at) and not _is_known(case, ending):
            yield Breach(
                "CUT",
                ending.at,
                f"{ending.control} acknowledged the end of {ending.runner} while it was cut off",
            )
    for checkin in records.checkins:
        if _was_cut_off(case, checkin.control, checkin.sent_at, checkin.at, case.limits.contact_ms / 1000.0):
            yield Breach(
                "CUT",
                checkin.at,
                f"{checkin.control} kept {checkin.runner} though it had been cut "
                f"off for over {case.limits.contact_ms:g} ms",
            )


def _was_cut_off(case: Case, machine: str, begin: float, end: float, after_s: float = 0.0) -> bool:
    """Whether the machine was cut off from `begin` to `end`, and for `after_s` before."""
    return any(
        trouble.cut_off
        and trouble.machine == machine
        and trouble.at + after_s < begin
        and end <= trouble.until
        for trouble in case.records.troubles
    )


def _is_known(case: Case, ending: Acknowledgement) -> bool:
    """Whether another process had acknowledged the runner's end before."""
    return any(
        one.runner == ending.runner and one.control != ending.control and one.at <= ending.sent_at
        for one in case.records.acknowledgements
    )


def unproven(case: Case) -> Iterator[Breach]:
    """An edge that started while it reached only a partitioned process answers by a route, or denies one.

    It may do neither before a control process in contact has answered it.
    """
    for one in case.records.tries.values():
        answered = one.status == NOT_FOUND or 200 <= one.status < 300
        if answered and _started_cut_off(case, one):
            yield Breach(
                "CUT",
                one.ended_at,
                f"{one.edge} answered {one.id} with {one.status}, though it had started cut off",
            )


def _started_cut_off(case: Case, one: Try) -> bool:
    """Whether its edge began its life, and ended the answer, within one and the same cut."""
    troubles = [trouble for trouble in case.records.troubles if trouble.machine == one.edge]
    return any(
        cut.at <= start.at and start.until < one.sent_at and one.ended_at <= cut.until
        for cut in troubles
        if cut.cut_off
        for start in troubles
        if start.ends_life
    )


def stale(case: Case) -> Iterator[Breach]:
    """A read that began after a version was acknowledged, or read, and told an older one."""
    calls = case.records.configurations
    known = [(call.acknowledged_at, call.version) for call in calls if call.configuration is not None]
    known += [(read.at, read.version) for read in case.records.reads]
    known.sort()
    newest, place = 0, 0
    for read in sorted(case.records.reads, key=lambda one: one.sent_at):
        while place < len(known) and known[place][0] < read.sent_at:
            newest = max(newest, known[place][1])
            place += 1
        if read.version < newest:
            yield Breach(
                "STALE",
                read.at,
                f"{read.control} told version {read.version}, after version {newest} was known",
            )


def unsent(case: Case) -> Iterator[Breach]:
    """A read that told what nobody sent, or what had been refused."""
    for read in case.records.reads:
        if read.version and not _was_sent(case, read):
            yield Breach(
                "CONFIG",
                read.at,
                f"{read.control} told a version {read.version} that was not sent, or had been refused",
            )


def _was_sent(case: Case, read: ReadSeen) -> bool:
    return any(
        call.version == read.version and not call.refused and call.configuration == read.configuration
        for call in case.records.configurations
    )
