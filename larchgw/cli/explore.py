"""`larchgw explore NAME`: checks a component under injected faults in virtual time."""

from __future__ import annotations

from importlib import import_module

from .command import Command, decimal, integer, string_arguments
from .errors import UsageError

EXPLORATIONS = {  # name -> module whose `main` runs the exploration
    "replication": "larchgw.model_checking.replication.main",
    "redundancy": "larchgw.model_checking.replication.redundancy",
    "attempts": "larchgw.model_checking.attempts.main",
    "check-ins": "larchgw.model_checking.check_ins.main",
    "placement-lease": "larchgw.model_checking.placement_lease.main",
    "operator-calls": "larchgw.model_checking.operator_calls.main",
}


@string_arguments
def explore(name: str, *, seconds: str = "60", seed: str = "1") -> Command:
    """Checks a component under varied message orders, message losses, crashes and power failures.

    The last line of the output gives the numbers of states and faults.

    Args:
        name: Component or property: replication, redundancy (time until another loss is tolerated),
            operator-calls, check-ins (which calls of runners are acknowledged, and which processes know of
            them), or placement-lease (orders of successive placers, and the time until the next one issues
            orders), attempts (an edge's requests at runners that reject, repeat, break off and restart).
        seconds: Time limit in seconds of real time.
        seed: Seed of the random runs.
    """
    if name not in EXPLORATIONS:
        raise UsageError(f"explore: no part {name!r}; there are {', '.join(EXPLORATIONS)}")
    limit, first = decimal("seconds", seconds, 1.0), integer("seed", seed)
    return Command(lambda: _run(EXPLORATIONS[name], limit, first))


def _run(module: str, seconds: float, seed: int) -> int:
    status: int = import_module(module).main(seconds, seed)
    return status
