"""`larchgw losses FILE...`: attributes lost request value to causes, from dispatchers' debug logs."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path

from ..experiments.losses import EndedRequest, Group, count, read_requests
from ..experiments.results import table
from .command import Command, string_arguments
from .errors import UsageError

MAX_CAUSES = 4  # listed per row of a route, zone or time window


@string_arguments
def losses(*files: str) -> Command:
    """Prints the request value lost to each cause, in total and by route, zone and two-second window.

    Args:
        files: Logs of dispatchers that ran with LARCHGW_LOG=DEBUG; lines of other kinds are ignored.
    """
    if not files:
        raise UsageError("losses: name at least one log file")
    paths = [Path(name) for name in files]
    missing = [path for path in paths if not path.is_file()]
    if missing:
        raise UsageError(f"losses: no such file: {missing[0]}")
    return Command(lambda: _print_losses(paths))


def _print_losses(paths: Sequence[Path]) -> int:
    counted = count(_requests(paths))
    total = counted.total
    if not total.requests:
        print("no request.ended events found: were the dispatchers run with LARCHGW_LOG=DEBUG?")
        return 1
    for line in table(_cause_rows(total)):
        print(line)
    print()
    for title, groups in (
        ("route", counted.by_route),
        ("zone", counted.by_zone),
        ("from second", counted.by_window),
    ):
        for line in table(_group_rows(title, groups)):
            print(line)
        print()
    print(f"losses: requests={total.requests} owed={total.owed:.4g} earned={total.earned_share:.4f}")
    return 0


def _requests(paths: Sequence[Path]) -> Iterator[EndedRequest]:
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            yield from read_requests(lines)


def _cause_rows(total: Group) -> list[dict[str, object]]:
    return [
        {"cause": cause, "requests": total.counts[cause], "lost": lost, "share": lost / total.owed}
        for cause, lost in total.lost.most_common()
    ]


def _group_rows(title: str, groups: Mapping[str, Group] | Mapping[float, Group]) -> list[dict[str, object]]:
    return [
        {
            title: name,
            "requests": group.requests,
            "earned": group.earned_share,
            "largest losses": "; ".join(
                f"{cause} {lost / group.owed:.3f}" for cause, lost in group.lost.most_common(MAX_CAUSES)
            ),
        }
        for name, group in sorted(groups.items())
    ]
