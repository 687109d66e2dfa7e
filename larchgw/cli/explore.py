"""`larchgw explore NAME`: drives a part of the system through faults in virtual time, and checks it."""

from __future__ import annotations

from .command import Command, UsageError, decimal, textual, whole

PARTS = ("replication", "check-ins")


@textual
def explore(name: str, *, seconds: str = "60", seed: str = "1") -> Command:
    """Explores orders of messages, losses, crashes and power losses; the last line counts states and faults.

    Args:
        name: The part: replication, or check-ins (which of runners' calls are acknowledged, and who knows).
        seconds: How long to explore, in real time.
        seed: Of the random runs.
    """
    if name not in PARTS:
        raise UsageError(f"explore: no part {name!r}; there are {', '.join(PARTS)}")
    limit, first = decimal("seconds", seconds, 1.0), whole("seed", seed)
    run = _run_checkins if name == "check-ins" else _run_replication
    return Command(lambda: run(limit, first))


def _run_replication(seconds: float, seed: int) -> int:
    from ..replication.explore import main

    return main(seconds, seed)


def _run_checkins(seconds: float, seed: int) -> int:
    from ..control.explore import main

    return main(seconds, seed)
