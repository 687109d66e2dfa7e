"""Writes days for `fleetbench run SITE FILE`: every trouble and variant of a group, in shuffled order.

    python3 deploy/days/draw.py SEED FOLDER [GROUP...]

The default group, `mixed`, covers all troubles; each other group repeats one kind of failure described in
docs/control-state.md. The troubles are shuffled with the seed. At each start time, a day combines one main
trouble of its group with a secondary one that begins within the same seconds. Each day also has two kinds of
planned work, continuous configuration changes, and a final fault.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass
from pathlib import Path

import troubles

JITTER_S = 2.0  # maximum random delay of a trouble after its start time
WORK_KINDS = 2  # kinds of planned work per day
FAULT_PLANS = ("ack_lost", "bad_config")  # entries of `plans` that are written under `faults`
PLANNED = (
    "release",
    "roll_term",
    "hup",
    "seed_turnover",
    "scale_out",
    "add_nodes",
)  # kinds that are written under `plan`


@dataclass(frozen=True)
class Group:
    """Parameters from which the days of a group are generated."""

    main: list[str]
    beside: list[str]
    starts: tuple[float, ...]  # times, in seconds, at which a main and a secondary trouble begin
    length_s: float
    plans: list[str]
    always: tuple[str, ...]  # entries of every day, from second 1 on
    closings: list[str]

    @property
    def days(self) -> int:
        """Number of days needed to use each trouble at least once."""
        return -(-max(len(self.main), len(self.beside)) // len(self.starts))


def starts(first: float, gap_s: float, last: float) -> tuple[float, ...]:
    """Returns the times from `first` to at most `last`, `gap_s` apart; all in seconds of the day."""
    count = int((last - first) / gap_s) + 1
    return tuple(first + number * gap_s for number in range(count))


def config_changes(for_s: float, gap_s: float) -> str:
    """Returns an entry that changes the configuration every `gap_s` seconds for `for_s` seconds."""
    return f'kind = "config_storm", for_s = {for_s}, gap_s = {gap_s}'


CLOSINGS = troubles.CLOSINGS + troubles.CLOSINGS_OF_THE_OLDEST
GROUPS = {
    "mixed": Group(
        main=troubles.CORE,
        beside=troubles.OTHERS,
        starts=starts(3.0, 6.0, 27.0),
        length_s=40.0,
        plans=troubles.PLANS,
        always=(troubles.CHANGES,),
        closings=troubles.CLOSINGS,
    ),
    "cut-off": Group(
        main=troubles.CUT_OFF,
        beside=troubles.BESIDE_CUTS,
        starts=starts(2.0, 23.0, 48.0),
        length_s=74.0,
        plans=troubles.PLANS,
        always=(config_changes(70.0, 0.8),),
        closings=CLOSINGS,
    ),
    "races": Group(
        main=troubles.RACES,
        beside=troubles.OTHERS,
        starts=starts(2.0, 6.0, 32.0),
        length_s=42.0,
        plans=troubles.RACE_PLANS,
        closings=CLOSINGS,
        always=('kind = "config_race", count = 36, gap_s = 1.0', 'kind = "ack_lost", for_s = 38.0, x = 0.9'),
    ),
    "second-loss": Group(
        main=troubles.SECOND_LOSS,
        beside=troubles.BESIDE_CUTS,
        starts=starts(2.0, 7.0, 30.0),
        length_s=42.0,
        plans=troubles.PLANS,
        always=(config_changes(38.0, 0.6),),
        closings=CLOSINGS,
    ),
    "dense": Group(
        main=troubles.RACES + troubles.SECOND_LOSS,
        beside=troubles.BESIDE_ANSWERS,
        starts=starts(1.0, 2.5, 38.5),
        length_s=42.0,
        plans=troubles.RACE_PLANS,
        closings=CLOSINGS,
        always=('kind = "config_race", count = 60, gap_s = 0.6', 'kind = "ack_lost", for_s = 38.0, x = 0.5'),
    ),
    "pairs": Group(
        main=troubles.PAIRS,
        beside=troubles.BESIDE_ANSWERS,
        starts=starts(1.0, 4.0, 37.0),
        length_s=42.0,
        plans=troubles.RACE_PLANS,
        closings=CLOSINGS,
        always=('kind = "config_race", count = 30, gap_s = 1.2', config_changes(38.0, 0.5)),
    ),
    "long": Group(
        main=troubles.LONG,
        beside=troubles.OTHERS,
        starts=starts(5.0, 14.0, 285.0),
        length_s=300.0,
        plans=troubles.LONG_PLANS,
        always=(config_changes(295.0, 0.25),),
        closings=CLOSINGS,
    ),
    "answers": Group(
        main=troubles.ANSWERS,
        beside=troubles.BESIDE_ANSWERS,
        starts=starts(2.0, 6.0, 26.0),
        length_s=40.0,
        plans=troubles.PLANS,
        always=(troubles.CHANGES,),
        closings=CLOSINGS,
    ),
    "answers-of-pools": Group(
        main=troubles.ANSWERS + troubles.ANSWERS_OF_POOLS,
        beside=troubles.BESIDE_ANSWERS,
        starts=starts(2.0, 6.0, 26.0),
        length_s=40.0,
        plans=troubles.PLANS,
        always=(troubles.CHANGES,),
        closings=CLOSINGS,
    ),
}


class ShuffleBag:
    """Returns its entries in random order; repeats an entry only after all others were returned."""

    def __init__(self, entries: list[str], random_source: random.Random) -> None:
        """Sets the entries, and the random source for shuffling."""
        self.entries = entries
        self.random_source = random_source
        self.remaining: list[str] = []

    def next_entry(self) -> str:
        """Returns the next entry; reshuffles once all have been returned."""
        if not self.remaining:
            self.remaining = self.random_source.sample(self.entries, len(self.entries))
        return self.remaining.pop()


def is_planned(entry: str) -> bool:
    """Whether the entry is planned work, which is written under `plan` instead of `faults`."""
    kind = entry.split('"')[1]
    if kind == "scale_in":
        return "spot" not in entry
    return kind in PLANNED


def lines(name: str, entries: list[tuple[float, str]]) -> list[str]:
    """Returns the lines of a TOML list of (time in seconds, entry) pairs, sorted by time."""
    return [f"{name} = [", *(f"  {{ at = {at:.2f}, {entry} }}," for at, entry in sorted(entries)), "]"]


def day(name: str, group: Group, bags: dict[str, ShuffleBag], random_source: random.Random) -> str:
    """Returns the TOML text of one day."""
    incidents = [
        (start + random_source.uniform(0.0, JITTER_S), bags[role].next_entry())
        for start in group.starts
        for role in ("main", "beside")
    ]
    work = [(random_source.uniform(1.0, 6.0), bags["plans"].next_entry()) for _ in range(WORK_KINDS)]
    work += [(1.0, entry) for entry in group.always]
    plan = [item for item in incidents if is_planned(item[1])]
    plan += [item for item in work if item[1].split('"')[1] not in FAULT_PLANS]
    faults = [item for item in incidents + work if item not in plan]
    return (
        "\n".join(
            [
                "[[day]]",
                f'name = "{name}"',
                'slot = "trouble"',
                f"seed = {random_source.randrange(1, 1 << 28)}",
                f"length_s = {group.length_s}",
                f"closing = {{ {bags['closings'].next_entry()} }}",
                *lines("plan", plan),
                *lines("faults", faults),
            ]
        )
        + "\n"
    )


def main(seed: int, folder: Path, name: str = "mixed") -> None:
    """Writes the days of one group into the folder."""
    group = GROUPS[name]
    random_source = random.Random(seed)
    bags = {
        role: ShuffleBag(entries, random_source)
        for role, entries in (
            ("main", group.main),
            ("beside", group.beside),
            ("plans", group.plans),
            ("closings", group.closings),
        )
    }
    prefix = "d" if name == "mixed" else f"{name}-"
    for number in range(group.days):
        title = f"{prefix}{seed}-{number:02}"
        (folder / f"{title}.toml").write_text(day(title, group, bags, random_source))


if __name__ == "__main__":
    for wanted in sys.argv[3:] or ["mixed"]:
        main(int(sys.argv[1]), Path(sys.argv[2]), wanted)
