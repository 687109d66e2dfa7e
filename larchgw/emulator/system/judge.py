"""Finds broken rules in the records of a trial. Pure: no clock, no processes.

Each checker takes the records and gives a `Breach` for everything that must not have happened.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ...configuration.settings import TimeLimits
from . import judge_answers, judge_configuration, judge_contact, judge_placement, judge_retries
from .breach import Breach, Case
from .records import Records

Checker = Callable[[Case], Iterator[Breach]]
CHECKERS: tuple[Checker, ...] = (
    judge_answers.mixed,
    judge_answers.unasked,
    judge_answers.order,
    judge_answers.lost,
    judge_retries.twice,
    judge_retries.refused,
    judge_retries.tries,
    judge_retries.budget,
    judge_retries.drain,
    judge_configuration.routes,
    judge_configuration.own_refusals,
    judge_configuration.downgrades,
    judge_configuration.acknowledgements,
    judge_configuration.read_back,
    judge_contact.cut_off,
    judge_contact.unproven,
    judge_contact.stale,
    judge_contact.unsent,
    judge_placement.one,
    judge_placement.limit,
    judge_placement.ceiling,
)


def judge(records: Records, limits: TimeLimits) -> list[Breach]:
    """Every broken rule, in order of time."""
    case = Case(records, limits)
    return sorted((breach for checker in CHECKERS for breach in checker(case)), key=lambda one: one.at)
