"""`larchgw explore NAME`: drives a part of the system through faults in virtual time, and checks it."""

from __future__ import annotations

from .command import Command, UsageError, decimal, textual, whole

PARTS = ("replication",)


@textual
def explore(name: str, *, seconds: str = "60", seed: str = "1") -> Command:
    """Explores orders of messages, losses, crashes and power losses; the last line counts states and faults.

    Args:
        name: The part: replication.
        seconds: How long to explore, in real time.
        seed: Of the random runs.
    """
    if name not in PARTS:
        raise UsageError(f"explore: no part {name!r}; there are {', '.join(PARTS)}")
    limit, first = decimal("seconds", seconds, 1.0), whole("seed", seed)
    return Command(lambda: _run(limit, first))


def _run(seconds: float, seed: int) -> int:
    from ..replication.explore import main

    return main(seconds, seed)
