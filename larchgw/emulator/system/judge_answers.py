"""Rules about what clients receive: MIXED, UNASKED, ORDER and, for requests, LOST."""

from __future__ import annotations

import re
from collections.abc import Iterator

from .breach import Breach, Case
from .records import Arrival, Trouble, Try

_EVENT_END = re.compile(rb"\n\n")
_EVENT_ID = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)
END_SLACK_S = 1.0  # after the time for an orderly end, for the process to be gone
DEADLINE_SLACK_S = 0.1  # before a client's deadline, in which an edge may give a request up


def split_events(data: bytes) -> tuple[list[bytes], bytes]:
    """The whole events, and what is left behind them."""
    *events, rest = _EVENT_END.split(data)
    return [event + b"\n\n" for event in events], rest


def event_number(event: bytes) -> int:
    """The id of an event; 0 without one."""
    found = _EVENT_ID.search(event)
    return int(found.group(1)) if found else 0


def _success(status: int) -> bool:
    return 200 <= status < 300


def mixed(case: Case) -> Iterator[Breach]:
    """Answers that are not the runner's own, whole and for this request."""
    for edge, at in case.records.strays:
        yield Breach("MIXED", at, f"{edge} sent bytes where no request waited")
    for one in case.records.tries.values():
        wrong = _wrong_answer(one, case.arrivals.get(one.id, []))
        if wrong:
            yield Breach("MIXED", one.ended_at, f"{one.id} at {one.edge}: {wrong}")


def _wrong_answer(one: Try, arrivals: list[Arrival]) -> str:
    if one.answer_id and one.answer_id != one.id:
        return f"was given the answer to {one.answer_id}"
    sealed = [arrival for arrival in arrivals if arrival.seal and arrival.seal == one.seal]
    if one.seal and not sealed:
        return f"its seal {one.seal} is of no runner that had it"
    if sealed and sealed[0].status != one.status:
        return f"the runner answered {sealed[0].status}, the client got {one.status}"
    if not _success(one.status):
        return ""
    if not one.seal:
        return "a success without seal"
    if any(arrival.last_event for arrival in arrivals):
        return _wrong_events(one, arrivals)
    if one.whole and one.answer != sealed[0].answer:
        return f"{len(one.answer)} bytes of a body, the runner's has {len(sealed[0].answer)}"
    if one.whole and not sealed[0].whole:
        return "an answer that its runner broke off looks whole"
    return ""


def _wrong_events(one: Try, arrivals: list[Arrival]) -> str:
    made = {event for arrival in arrivals for event in split_events(arrival.answer)[0]}
    events, rest = split_events(one.answer)
    for event in events:
        if event not in made:
            return f"an event that no runner made: {event[:60]!r}"
    return "ends as whole within an event" if rest and one.whole else ""


def unasked(case: Case) -> Iterator[Breach]:
    """Runs of what no client sent, or sent otherwise."""
    for arrival in case.records.arrivals:
        if not arrival.ran:
            continue
        one = case.records.tries.get(arrival.id)
        if one is None:
            yield Breach("UNASKED", arrival.at, f"{arrival.runner} ran {arrival.id}, which nobody sent")
        elif (one.method, one.target) != (arrival.method, arrival.target) or (
            arrival.body_whole and one.body != arrival.body
        ):
            yield Breach("UNASKED", arrival.at, f"{arrival.id} reached {arrival.runner} changed")


def order(case: Case) -> Iterator[Breach]:
    """Streams with gaps, repetitions, or an end that looks like one too early."""
    for one in case.records.tries.values():
        runs = [arrival for arrival in case.runs(one.id) if arrival.last_event]
        if not runs or not _success(one.status):
            continue
        numbers = [event_number(event) for event in split_events(one.answer)[0]]
        if numbers != list(range(1, len(numbers) + 1)):
            yield Breach("ORDER", one.ended_at, f"{one.id} got events {_shown(numbers)}")
        elif one.whole and len(numbers) != runs[-1].last_event:
            yield Breach(
                "ORDER",
                one.ended_at,
                f"{one.id} ends as whole after {len(numbers)} of {runs[-1].last_event} events",
            )
        if not one.resumable and numbers and len({arrival.seal for arrival in runs}) > 1:
            yield Breach("ORDER", one.ended_at, f"{one.id} joins runs though it may not be resumed")


def _shown(numbers: list[int]) -> str:
    for place, number in enumerate(numbers):
        if number != place + 1:
            return f"... {numbers[max(place - 1, 0) : place + 2]} at place {place + 1}"
    return "in order"


def lost(case: Case) -> Iterator[Breach]:
    """Requests that a machine read and dropped while it ended in good order, and nothing else was wrong."""
    for one in case.records.tries.values():
        if one.whole or one.gave_up or not one.read or one.ended_at >= one.deadline_at - DEADLINE_SLACK_S:
            continue
        arrivals = case.arrivals.get(one.id, [])
        if any(arrival.broke_off for arrival in arrivals):
            continue
        if not arrivals and one.ended_at < one.sent_at + case.limits.loss_slack_ms / 1000.0:
            continue
        if case.touch.unplanned(one.sent_at, one.ended_at):
            continue
        if any(_ending(case, trouble, one) for trouble in case.records.troubles):
            lasted_s = one.ended_at - one.sent_at
            got = f"status {one.status}, {len(one.answer)} bytes after {lasted_s:.2f} s"
            if one.closed_before:
                got += ", sent after its edge had closed the connection,"
            yield Breach(
                "LOST",
                one.ended_at,
                f"{one.id} ({one.kind}) got {got} from an edge that was ending; {case.history(one)}",
            )


def _ending(case: Case, trouble: Trouble, one: Try) -> bool:
    """Whether the request ended within an orderly end of its machine that left its runner time enough."""
    grace = case.limits.grace_period_s
    if not trouble.planned or trouble.machine != one.edge:
        return False
    if not trouble.at <= one.ended_at <= trouble.at + grace + END_SLACK_S:
        return False
    half = trouble.at + grace / 2
    return not any(arrival.ran and arrival.ended_at > half for arrival in case.arrivals.get(one.id, ()))
