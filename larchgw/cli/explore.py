"""`larchgw explore NAME`: checks a component under injected faults in virtual time."""

from __future__ import annotations

from importlib import import_module

from .command import Command, decimal, integer, string_arguments
from .errors import UsageError

EXPLORATIONS = {  # name -> module whose `main` runs the exploration
    "replication": "larchgw.model_checking.replication.main",
    "redundancy": "larchgw.model_checking.replication.redundancy",
    "check-ins": "larchgw.model_checking.check_ins.main",
    "placement-lease": "larchgw.model_checking.placement_lease.main",
    "operator-calls": "larchgw.model_checking.operator_calls.main",
}


@string_arguments
def explore(name: str, *, seconds: str = "60", seed: str = "1") -> Command:
    """Explores orders of messages, losses, crashes and power losses; the last line counts states and faults.

    Args:
        name: The part: replication, redundancy (how soon the next loss may come), operator-calls, check-ins
            (which calls of runners are acknowledged, and who knows), or placement-lease (orders of one placer
            after the other, and how soon the next one orders).
        seconds: How long to explore, in real time.
        seed: Of the random runs.
    """
    if name not in EXPLORATIONS:
        raise UsageError(f"explore: no part {name!r}; there are {', '.join(EXPLORATIONS)}")
    limit, first = decimal("seconds", seconds, 1.0), integer("seed", seed)
    return Command(lambda: _run(EXPLORATIONS[name], limit, first))


def _run(module: str, seconds: float, seed: int) -> int:
    status: int = import_module(module).main(seconds, seed)
    return status
