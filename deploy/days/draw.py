"""Writes days for `fleetbench run SITE FILE`: every kind of trouble and variant, in groups that overlap.

    python3 deploy/days/draw.py SEED FOLDER

The troubles are shuffled with the seed and dealt out: a day has five troubles of the core and five of the
runners that begin in the same seconds, two kinds of planned work and a final fault. No service, zone or
machine is named, so that a day fits any deployment.
"""

from __future__ import annotations

import random
import sys
from pathlib import Path

LENGTH_S = 40.0  # of a day
STARTS = (3.0, 9.0, 15.0, 21.0, 27.0)  # seconds at which a trouble of the core and one of the runners begin
JITTER_S = 2.0  # later than that by at most this


def variants(entry: str, *rows: object) -> list[str]:
    """The entry once for each row, whose values (or value) fill its places."""
    return [entry.format(*(row if isinstance(row, tuple) else (row,))) for row in rows]


CORE = [
    *variants('kind = "node_kill", on = "core", count = 1, for_s = 3.5, how = "{}"',
              "power leader", "power reader meet", "seed race drain", "leader race drain hard",
              "leader meet", "power race hard"),
    *variants('kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "{}"',
              "leader", "leader race drain hard", "reader meet", "seed race drain", "leader meet hard"),
    *variants('kind = "core_cut", count = 1, for_s = 5.0, how = "{}"',
              "leader", "leader one_way race", "leader both", "seeds", "reset leader meet",
              "refuse leader race hard drain", "one_way reader", "both race", "refuse seed",
              "one_way leader meet drain hard"),
    *variants('kind = "replace_core", x = {}, how = "{}"',
              (1.0, "leader"), (2.0, "seed"), (1.0, "planned leader"), (0.5, "planned seed"),
              (3.0, "reader")),
    *variants('kind = "after_ack_wipe", for_s = {}, how = "{}"',
              (1.0, ""), (3.0, ""), (2.0, "power"), (2.0, "race drain")),
    *variants('kind = "after_ack_kill", count = {}, for_s = 2.0, how = "{}"',
              (1, ""), (1, "kill"), (1, "timed"), (1, "taken"), (2, "kill"), (3, "kill timed")),
    *variants('kind = "disk_slow", count = {}, x = {}, for_s = 5.0, how = "{}"',
              (1, 30.0, "leader"), (1, 100.0, "leader"), (2, 30.0, ""), (3, 20.0, "")),
    *variants('kind = "disk_stall", count = {}, for_s = 4.0, how = "{}"',
              (1, "leader"), (2, ""), (3, "")),
    *variants('kind = "disk_full", count = {}, for_s = 6.0, how = "{}"',
              (1, "leader"), (2, ""), (3, "")),
    *variants('kind = "clock_step", share = {}, x = {}, for_s = 6.0, how = "{}"',
              (0.3, 2000, "back"), (0.5, 60000, "ahead"), (1.0, 600000, "back"), (0.5, 3600000, "ahead")),
    *variants('kind = "herd_kill", share = {}, for_s = 1.5, how = "{}"',
              (0.6, ""), (0.6, "power"), (1.0, ""), (1.0, "power")),
    *variants('kind = "herd_kill", on = "core", share = 1.0, for_s = 1.0, how = "{}"',
              "", "power", "taken"),
    'kind = "seed_turnover"',
    *variants('kind = "roll_term", on = "core", gap_s = {}, how = "{}"',
              (2.0, "busy"), (1.0, ""), (4.0, "drain"), (3.0, "busy race")),
    'kind = "node_cut", on = "core", share = 0.4, for_s = 4.0',
    'kind = "node_slow", on = "core", share = 0.4, x = 8, for_s = 5.0',
    'kind = "node_slow", on = "core", share = 1.0, x = 4, for_s = 5.0',
    'kind = "reset_conns", on = "core", share = 1.0, x = 0.8, for_s = 4.0',
    'kind = "hup", on = "core", share = 1.0, gap_s = 2.0',
]
OTHERS = [
    *variants('kind = "srv_crash", share = {}, for_s = 4.0, how = "{}"',
              (0.3, ""), (0.3, "dark"), (0.2, "gone"), (0.3, "dark gone"), (0.5, "")),
    *variants('kind = "release", share = {}, x = {}, gap_s = {}, how = "{}"',
              (0.5, 1, 1.0, ""), (1.0, 2, 1.5, ""), (1.0, 1, 2.0, "across")),
    *variants('kind = "scale_in", share = {}, x = {}, how = "{}"',
              (0.3, 2.0, "spot"), (0.15, 1.0, "spot"), (0.3, 2.0, ""), (0.5, 2.0, "spot")),
    'kind = "scale_out", share = 0.4, gap_s = 2.0',
    *variants('kind = "replace_with_reuse", share = 0.3, how = "{}"',
              "", "drain", "dark"),
    *variants('kind = "srv_grey", share = {}, x = {}, for_s = 6.0, how = "{}"',
              (0.3, 0.4, "errors"), (0.3, 0.6, "shed"), (0.3, 0.5, "busy"), (0.3, 0.5, "hang"),
              (0.3, 0.5, "reset"), (0.3, 0.8, "mute"), (0.3, 8.0, "slow"), (0.5, 0.5, "errors one_zone"),
              (0.5, 0.5, "hang one_zone"), (0.5, 0.5, "mute one_zone"), (0.5, 0.5, "reset one_zone")),
    'kind = "srv_slow", share = 0.4, x = 4, for_s = 6.0',
    *variants('kind = "garble", share = 0.6, x = {}, for_s = 6.0, how = "{}"',
              (0.05, ""), (0.1, "extra"), (0.1, "extra late"), (0.1, "late")),
    *variants('kind = "answer_lost", share = 0.5, x = 0.08, for_s = 6.0, how = "{}"',
              "", "reset"),
    'kind = "retry_abuse", share = 0.4, x = 3, for_s = 6.0',
    *variants('kind = "reset_conns", share = {}, x = 0.6, for_s = 5.0', 0.2, 0.6),
    *variants('kind = "node_cut", share = {}, for_s = 5.0, how = "{}"',
              (0.2, ""), (0.4, ""), (0.3, "servers"), (0.4, "servers reset"), (0.3, "servers refuse")),
    *variants('kind = "node_slow", share = {}, x = {}, for_s = 5.0',
              (0.3, 5), (0.5, 10)),
    'kind = "hup", share = 1.0, gap_s = 2.0',
    *variants('kind = "node_kill", on = "front", share = 0.3, for_s = 3.0, how = "{}"',
              "", "power"),
    'kind = "node_freeze", on = "front", share = 0.3, for_s = 4.0',
    *variants('kind = "roll_term", on = "front", share = {}, gap_s = {}, x = {}, how = "{}"',
              (1.0, 1.0, 1, "busy"), (1.0, 0.5, 2, ""), (0.3, 2.0, 1, "remove")),
    'kind = "burst", x = 2.5, for_s = 5.0',
]
PLANS = [
    *variants('kind = "config_change", how = "{}"',
              "route", "weights", "timeout", "tenant", "quota", "idle"),
    *variants('kind = "config_storm", for_s = {}, gap_s = {}, how = "{}"',
              (25.0, 0.5, ""), (25.0, 0.25, "route"), (30.0, 1.0, "weights"), (20.0, 0.3, "idle"),
              (30.0, 0.7, "timeout")),
    *variants('kind = "config_race", count = {}, gap_s = {}',
              (12, 2.0), (20, 1.0)),
    *variants('kind = "bad_config", count = 8, gap_s = 2.0, how = "{}"',
              "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
              "same_version", "stale_match", "shared_key"),
    'kind = "ack_lost", for_s = 30.0, x = 0.8',
    'kind = "big_config", count = 300',
    'kind = "model_shift", count = 2, for_s = 6.0',
    'kind = "model_shift", count = 5, for_s = 20.0',
]
CLOSINGS = [
    *(f'kind = "{kind}", down_s = {down}, how = "{how}"'
      for kind in ("power_off_all", "wipe_after_ack", "kill_all")
      for down, how in ((0.8, ""), (1.5, "timed"), (0.5, "taken"), (3.0, "aimed"))),
]
FAULT_PLANS = ("ack_lost", "bad_config")  # entries of PLANS that stand under `faults`
PLANNED = ("release", "roll_term", "hup", "seed_turnover", "scale_out")  # entries that stand under `plan`
CHANGES = 'kind = "config_storm", for_s = 36.0, gap_s = 1.2'  # on each day, so that each trouble meets some


class Deck:
    """Deals out what it holds in shuffled order, again and again."""

    def __init__(self, entries: list[str], chance: random.Random) -> None:
        self.entries = entries
        self.chance = chance
        self.left: list[str] = []

    def deal(self) -> str:
        if not self.left:
            self.left = self.chance.sample(self.entries, len(self.entries))
        return self.left.pop()


def is_planned(entry: str) -> bool:
    kind = entry.split('"')[1]
    if kind == "scale_in":
        return "spot" not in entry
    return kind in PLANNED


def lines(name: str, entries: list[tuple[float, str]]) -> list[str]:
    return [f"{name} = [", *(f"  {{ at = {at:.2f}, {entry} }}," for at, entry in sorted(entries)), "]"]


def day(name: str, decks: dict[str, Deck], chance: random.Random) -> str:
    """The text of one day."""
    troubles = [(start + chance.uniform(0.0, JITTER_S), decks[deck].deal())
                for start in STARTS for deck in ("core", "others")]
    work = [(chance.uniform(1.0, 6.0), decks["plans"].deal()) for _ in range(2)]
    work.append((1.0, CHANGES))
    plan = [item for item in troubles if is_planned(item[1])]
    plan += [item for item in work if item[1].split('"')[1] not in FAULT_PLANS]
    faults = [item for item in troubles + work if item not in plan]
    return "\n".join([
        "[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {chance.randrange(1, 1 << 28)}",
        f"length_s = {LENGTH_S}", f"closing = {{ {decks['closings'].deal()} }}",
        *lines("plan", plan), *lines("faults", faults)]) + "\n"


def main(seed: int, folder: Path) -> None:
    chance = random.Random(seed)
    decks = {name: Deck(entries, chance) for name, entries in (
        ("core", CORE), ("others", OTHERS), ("plans", PLANS), ("closings", CLOSINGS))}
    for number in range(-(-len(CORE) // len(STARTS))):
        name = f"d{seed}-{number:02}"
        (folder / f"{name}.toml").write_text(day(name, decks, chance))


if __name__ == "__main__":
    main(int(sys.argv[1]), Path(sys.argv[2]))
