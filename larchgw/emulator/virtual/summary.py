"""Figures of a run in virtual time."""

from __future__ import annotations

from .world import World


def summary(world: World) -> dict[str, float]:
    """Figures of a run, by name: worth in time over worth asked, by class, and the shares of large jobs."""
    classes = world.scenario.load.classes
    asked: dict[str, float] = {}
    served: dict[str, float] = {}
    counts: dict[str, list[int]] = {}
    waits: dict[str, float] = {}
    for job in world.jobs:
        cls = classes[job.job_class]
        worth = cls.worth * (job.work * job.slots if world.scenario.by_work else 1.0)
        for name in ("all", cls.name):
            asked[name] = asked.get(name, 0.0) + worth
            served[name] = served.get(name, 0.0) + worth * job.in_time()
        for name in (
            cls.name,
            f"{cls.name}_{'large' if job.slots > 1 else 'small'}",
            "large" if job.slots > 1 else "small",
        ):
            tally = counts.setdefault(name, [0, 0])
            tally[0] += 1
            tally[1] += job.in_time()
        if job.began_at:
            waits[cls.name] = max(waits.get(cls.name, 0.0), job.began_at - job.due)
    figures = {f"worth_{n}": served[n] / a for n, a in asked.items() if a}
    figures |= {f"in_time_{n}": good / total for n, (total, good) in counts.items()}
    figures |= {f"longest_wait_{n}": w for n, w in waits.items()}
    figures["given_up"] = float(sum(job.ended == "gave up" for job in world.jobs))
    figures["refused"] = float(sum(job.ended == "refused" for job in world.jobs))
    figures["failed"] = float(sum(job.ended == "failed" for job in world.jobs))
    figures["jobs"] = float(len(world.jobs))
    figures["events"] = float(world.time.events)
    return figures
