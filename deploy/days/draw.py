"""Writes days for `fleetbench run SITE FILE`: every trouble and variant of a group, in shuffled order.

    python3 deploy/days/draw.py SEED FOLDER [GROUP...]

`mixed`, the group if none is named, deals out everything; each other one brings about one of the failures on
docs/control-state.md again and again. The troubles are shuffled with the seed and dealt out: at each of its
starts a day has one of the main troubles of its group and one beside it that begin in the same seconds; there
are two kinds of planned work, changes of the configuration all the time, and a final fault, too.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass
from pathlib import Path

import troubles

JITTER_S = 2.0  # a trouble begins later than its start by at most this
WORK_KINDS = 2  # kinds of planned work a day
FAULT_PLANS = ("ack_lost", "bad_config")  # entries of plans that stand under `faults`
PLANNED = ("release", "roll_term", "hup", "seed_turnover", "scale_out", "add_nodes")  # stand under `plan`


@dataclass(frozen=True)
class Group:
    """What the days of a group are drawn from."""

    main: list[str]
    beside: list[str]
    starts: tuple[float, ...]  # seconds at which a main trouble and one beside it begin
    length_s: float
    plans: list[str]
    always: tuple[str, ...]  # on each day, from its first second
    closings: list[str]

    @property
    def days(self) -> int:
        """As many as deal out each trouble at least once."""
        return -(-max(len(self.main), len(self.beside)) // len(self.starts))


def starts(first: float, gap_s: float, last: float) -> tuple[float, ...]:
    """Returns the times from `first` to at most `last`, `gap_s` apart; all in seconds of the day."""
    count = int((last - first) / gap_s) + 1
    return tuple(first + number * gap_s for number in range(count))


def storm(for_s: float, gap_s: float) -> str:
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
        always=(storm(70.0, 0.8),),
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
        always=(storm(38.0, 0.6),),
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
        always=('kind = "config_race", count = 30, gap_s = 1.2', storm(38.0, 0.5)),
    ),
    "long": Group(
        main=troubles.LONG,
        beside=troubles.OTHERS,
        starts=starts(5.0, 14.0, 285.0),
        length_s=300.0,
        plans=troubles.LONG_PLANS,
        always=(storm(295.0, 0.25),),
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


class Deck:
    """Deals out what it holds in shuffled order, again and again."""

    def __init__(self, entries: list[str], chance: random.Random) -> None:
        """Holds these entries and shuffles them with `chance`."""
        self.entries = entries
        self.chance = chance
        self.left: list[str] = []

    def deal(self) -> str:
        """Returns the next entry; shuffles anew once all have been dealt out."""
        if not self.left:
            self.left = self.chance.sample(self.entries, len(self.entries))
        return self.left.pop()


def is_planned(entry: str) -> bool:
    """Whether the entry is planned work, which stands under `plan` and not under `faults`."""
    kind = entry.split('"')[1]
    if kind == "scale_in":
        return "spot" not in entry
    return kind in PLANNED


def lines(name: str, entries: list[tuple[float, str]]) -> list[str]:
    """Returns the lines of a TOML list of entries, each with its time in seconds, in order of time."""
    return [f"{name} = [", *(f"  {{ at = {at:.2f}, {entry} }}," for at, entry in sorted(entries)), "]"]


def day(name: str, group: Group, decks: dict[str, Deck], chance: random.Random) -> str:
    """The text of one day."""
    faced = [
        (start + chance.uniform(0.0, JITTER_S), decks[deck].deal())
        for start in group.starts
        for deck in ("main", "beside")
    ]
    work = [(chance.uniform(1.0, 6.0), decks["plans"].deal()) for _ in range(WORK_KINDS)]
    work += [(1.0, entry) for entry in group.always]
    plan = [item for item in faced if is_planned(item[1])]
    plan += [item for item in work if item[1].split('"')[1] not in FAULT_PLANS]
    faults = [item for item in faced + work if item not in plan]
    return (
        "\n".join(
            [
                "[[day]]",
                f'name = "{name}"',
                'slot = "trouble"',
                f"seed = {chance.randrange(1, 1 << 28)}",
                f"length_s = {group.length_s}",
                f"closing = {{ {decks['closings'].deal()} }}",
                *lines("plan", plan),
                *lines("faults", faults),
            ]
        )
        + "\n"
    )


def main(seed: int, folder: Path, name: str = "mixed") -> None:
    """Writes the days of one group into the folder."""
    group = GROUPS[name]
    chance = random.Random(seed)
    decks = {
        deck: Deck(entries, chance)
        for deck, entries in (
            ("main", group.main),
            ("beside", group.beside),
            ("plans", group.plans),
            ("closings", group.closings),
        )
    }
    prefix = "d" if name == "mixed" else f"{name}-"
    for number in range(group.days):
        title = f"{prefix}{seed}-{number:02}"
        (folder / f"{title}.toml").write_text(day(title, group, decks, chance))


if __name__ == "__main__":
    for wanted in sys.argv[3:] or ["mixed"]:
        main(int(sys.argv[1]), Path(sys.argv[2]), wanted)
