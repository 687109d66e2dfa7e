"""Lists of troubles for generated days: entries in the format of a `[[day]]` of a site file, without `at`.

Entries name no service, zone or machine, so that they fit any deployment (ANSWERS_OF_POOLS: any with the
contracts `health` and `pool`). `fleetbench kinds SITE` explains the kinds and the words under `how`.
"""

from __future__ import annotations

LONG_CUT_S = 20.0  # duration of cuts in the group `cut-off`


def variants(entry: str, *rows: object) -> list[str]:
    """Formats the entry once per row, with the values (or the single value) of the row."""
    return [entry.format(*(row if isinstance(row, tuple) else (row,))) for row in rows]


CORE = [
    *variants(
        'kind = "node_kill", on = "core", count = 1, for_s = 3.5, how = "{}"',
        "power leader",
        "power reader meet",
        "seed race drain",
        "leader race drain hard",
        "leader meet",
        "power race hard",
    ),
    *variants(
        'kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "{}"',
        "leader",
        "leader race drain hard",
        "reader meet",
        "seed race drain",
        "leader meet hard",
    ),
    *variants(
        'kind = "core_cut", count = 1, for_s = 5.0, how = "{}"',
        "leader",
        "leader one_way race",
        "leader both",
        "seeds",
        "reset leader meet",
        "refuse leader race hard drain",
        "one_way reader",
        "both race",
        "refuse seed",
        "one_way leader meet drain hard",
    ),
    *variants(
        'kind = "replace_core", x = {}, how = "{}"',
        (1.0, "leader"),
        (2.0, "seed"),
        (1.0, "planned leader"),
        (0.5, "planned seed"),
        (3.0, "reader"),
    ),
    *variants(
        'kind = "after_ack_wipe", for_s = {}, how = "{}"',
        (1.0, ""),
        (3.0, ""),
        (2.0, "power"),
        (2.0, "race drain"),
    ),
    *variants(
        'kind = "after_ack_kill", count = {}, for_s = 2.0, how = "{}"',
        (1, ""),
        (1, "kill"),
        (1, "timed"),
        (1, "taken"),
        (2, "kill"),
        (3, "kill timed"),
    ),
    *variants(
        'kind = "disk_slow", count = {}, x = {}, for_s = 5.0, how = "{}"',
        (1, 30.0, "leader"),
        (1, 100.0, "leader"),
        (2, 30.0, ""),
        (3, 20.0, ""),
    ),
    *variants('kind = "disk_stall", count = {}, for_s = 4.0, how = "{}"', (1, "leader"), (2, ""), (3, "")),
    *variants('kind = "disk_full", count = {}, for_s = 6.0, how = "{}"', (1, "leader"), (2, ""), (3, "")),
    *variants(
        'kind = "clock_step", share = {}, x = {}, for_s = 6.0, how = "{}"',
        (0.3, 2000, "back"),
        (0.5, 60000, "ahead"),
        (1.0, 600000, "back"),
        (0.5, 3600000, "ahead"),
    ),
    *variants(
        'kind = "herd_kill", share = {}, for_s = 1.5, how = "{}"',
        (0.6, ""),
        (0.6, "power"),
        (1.0, ""),
        (1.0, "power"),
    ),
    *variants('kind = "herd_kill", on = "core", share = 1.0, for_s = 1.0, how = "{}"', "", "power", "taken"),
    'kind = "seed_turnover"',
    *variants(
        'kind = "roll_term", on = "core", gap_s = {}, how = "{}"',
        (2.0, "busy"),
        (1.0, ""),
        (4.0, "drain"),
        (3.0, "busy race"),
    ),
    'kind = "node_cut", on = "core", share = 0.4, for_s = 4.0',
    'kind = "node_slow", on = "core", share = 0.4, x = 8, for_s = 5.0',
    'kind = "node_slow", on = "core", share = 1.0, x = 4, for_s = 5.0',
    'kind = "reset_conns", on = "core", share = 1.0, x = 0.8, for_s = 4.0',
    'kind = "hup", on = "core", share = 1.0, gap_s = 2.0',
]
OTHERS = [
    *variants(
        'kind = "srv_crash", share = {}, for_s = 4.0, how = "{}"',
        (0.3, ""),
        (0.3, "dark"),
        (0.2, "gone"),
        (0.3, "dark gone"),
        (0.5, ""),
    ),
    *variants(
        'kind = "release", share = {}, x = {}, gap_s = {}, how = "{}"',
        (0.5, 1, 1.0, ""),
        (1.0, 2, 1.5, ""),
        (1.0, 1, 2.0, "across"),
    ),
    *variants(
        'kind = "scale_in", share = {}, x = {}, how = "{}"',
        (0.3, 2.0, "spot"),
        (0.15, 1.0, "spot"),
        (0.3, 2.0, ""),
        (0.5, 2.0, "spot"),
    ),
    'kind = "scale_out", share = 0.4, gap_s = 2.0',
    *variants('kind = "replace_with_reuse", share = 0.3, how = "{}"', "", "drain", "dark"),
    *variants(
        'kind = "srv_grey", share = {}, x = {}, for_s = 6.0, how = "{}"',
        (0.3, 0.4, "errors"),
        (0.3, 0.6, "shed"),
        (0.3, 0.5, "busy"),
        (0.3, 0.5, "hang"),
        (0.3, 0.5, "reset"),
        (0.3, 0.8, "mute"),
        (0.3, 8.0, "slow"),
        (0.5, 0.5, "errors one_zone"),
        (0.5, 0.5, "hang one_zone"),
        (0.5, 0.5, "mute one_zone"),
        (0.5, 0.5, "reset one_zone"),
    ),
    'kind = "srv_slow", share = 0.4, x = 4, for_s = 6.0',
    *variants(
        'kind = "garble", share = 0.6, x = {}, for_s = 6.0, how = "{}"',
        (0.05, ""),
        (0.1, "extra"),
        (0.1, "extra late"),
        (0.1, "late"),
    ),
    *variants('kind = "answer_lost", share = 0.5, x = 0.08, for_s = 6.0, how = "{}"', "", "reset"),
    'kind = "retry_abuse", share = 0.4, x = 3, for_s = 6.0',
    *variants('kind = "reset_conns", share = {}, x = 0.6, for_s = 5.0', 0.2, 0.6),
    *variants(
        'kind = "node_cut", share = {}, for_s = 5.0, how = "{}"',
        (0.2, ""),
        (0.4, ""),
        (0.3, "servers"),
        (0.4, "servers reset"),
        (0.3, "servers refuse"),
    ),
    *variants('kind = "node_slow", share = {}, x = {}, for_s = 5.0', (0.3, 5), (0.5, 10)),
    'kind = "hup", share = 1.0, gap_s = 2.0',
    *variants('kind = "node_kill", on = "front", share = 0.3, for_s = 3.0, how = "{}"', "", "power"),
    'kind = "node_freeze", on = "front", share = 0.3, for_s = 4.0',
    *variants(
        'kind = "roll_term", on = "front", share = {}, gap_s = {}, x = {}, how = "{}"',
        (1.0, 1.0, 1, "busy"),
        (1.0, 0.5, 2, ""),
        (0.3, 2.0, 1, "remove"),
    ),
    'kind = "burst", x = 2.5, for_s = 5.0',
]
PLANS = [
    *variants('kind = "config_change", how = "{}"', "route", "weights", "timeout", "tenant", "quota", "idle"),
    *variants(
        'kind = "config_storm", for_s = {}, gap_s = {}, how = "{}"',
        (25.0, 0.5, ""),
        (25.0, 0.25, "route"),
        (30.0, 1.0, "weights"),
        (20.0, 0.3, "idle"),
        (30.0, 0.7, "timeout"),
    ),
    *variants('kind = "config_race", count = {}, gap_s = {}', (12, 2.0), (20, 1.0)),
    *variants(
        'kind = "bad_config", count = 8, gap_s = 2.0, how = "{}"',
        "cut_short",
        "unknown_service",
        "same_place",
        "no_weight",
        "no_timeout",
        "old_version",
        "same_version",
        "stale_match",
        "shared_key",
    ),
    'kind = "ack_lost", for_s = 30.0, x = 0.8',
    'kind = "big_config", count = 300',
    'kind = "model_shift", count = 2, for_s = 6.0',
    'kind = "model_shift", count = 5, for_s = 20.0',
]
CLOSINGS = [
    *(
        f'kind = "{kind}", down_s = {down}, how = "{how}"'
        for kind in ("power_off_all", "wipe_after_ack", "kill_all")
        for down, how in ((0.8, ""), (1.5, "timed"), (0.5, "taken"), (3.0, "aimed"))
    ),
]
CLOSINGS_OF_THE_OLDEST = [
    *(
        f'kind = "wipe_after_ack", down_s = {down}, how = "{how}"'
        for down, how in ((0.8, "oldest"), (1.5, "oldest timed"), (3.0, "oldest"))
    ),
]
CHANGES = 'kind = "config_storm", for_s = 36.0, gap_s = 1.2'  # on every day, for each trouble to overlap

# Group `cut-off`: core processes are isolated for twenty seconds while runners, clients and the operator
# continue to call them.
CUT_OFF = [
    *variants(
        f'kind = "core_cut", count = {{}}, for_s = {LONG_CUT_S}, how = "{{}}"',
        (1, "all lure race"),
        (1, "all leader lure"),
        (1, "all turn drain"),
        (1, "all reader meet"),
        (1, "near leader race"),
        (1, "near oldest lure"),
        (1, "near seed drain"),
        (1, "one_way leader race drain"),
        (1, "one_way reader lure"),
        (1, "one_way lure seed meet"),
        (1, "oldest meet"),
        (1, "seeds lure"),
        (1, "seeds race"),
        (1, "both leader race"),
        (1, "both oldest"),
        (1, "turn race meet"),
        (1, "leader race drain hard"),
        (1, "reset leader lure race"),
        (1, "refuse leader race drain"),
        (2, "leader"),
        (2, "all lure"),
    ),
    *variants(
        f'kind = "node_freeze", on = "core", count = 1, for_s = {LONG_CUT_S}, how = "{{}}"',
        "leader",
        "leader race drain",
        "turn race",
        "reader meet",
    ),
    f'kind = "disk_slow", count = 1, x = 100.0, for_s = {LONG_CUT_S}, how = "leader"',
    f'kind = "disk_stall", count = 1, for_s = {LONG_CUT_S}, how = "leader"',
    f'kind = "clock_step", share = 0.5, x = 60000, for_s = {LONG_CUT_S}, how = "back"',
]
BESIDE_CUTS = [
    *variants(
        'kind = "srv_cut", share = {}, x = {}, for_s = 10.0, how = "{}"',
        (0.2, 0.3, ""),
        (0.3, 0.3, "fronts"),
        (0.3, 0.3, "one_way"),
        (0.4, 0.5, "reset"),
        (0.3, 0.5, "fronts one_way"),
        (0.3, 0.5, "fronts reset"),
    ),
    *variants('kind = "scale_in", share = {}, x = 2.0, how = "{}"', (0.3, ""), (0.3, "spot")),
    *variants('kind = "release", share = 0.5, x = 1, gap_s = {}, how = "{}"', (1.0, ""), (2.0, "across")),
    *variants('kind = "srv_crash", share = 0.3, for_s = 6.0, how = "{}"', "dark", "dark gone"),
    *variants('kind = "replace_with_reuse", share = 0.3, how = "{}"', "drain", "dark"),
    'kind = "scale_out", share = 0.4, gap_s = 2.0',
    'kind = "add_nodes"',
    'kind = "node_cut", share = 0.3, for_s = 10.0, how = "all"',
    'kind = "roll_term", on = "front", share = 1.0, gap_s = 1.0, x = 1, how = "busy"',
    'kind = "model_shift", count = 3, for_s = 10.0',
    'kind = "burst", x = 2.5, for_s = 10.0',
]

# Group `races`: operators' calls whose responses are lost, that are forwarded twice, or during which a
# process ends.
RACES = [
    *variants(
        'kind = "after_ack_kill", count = {}, for_s = 2.0, how = "{}"',
        (1, ""),
        (1, "kill"),
        (1, "timed"),
        (1, "kill timed"),
        (2, ""),
        (2, "kill timed"),
        (3, "timed"),
    ),
    *variants(
        'kind = "node_kill", on = "core", count = 1, for_s = 2.5, how = "{}"',
        "leader race",
        "power leader race meet",
        "leader race drain hard",
        "turn race meet",
    ),
    *variants(
        'kind = "node_freeze", on = "core", count = 1, for_s = 3.0, how = "{}"',
        "leader race",
        "leader race meet hard",
        "turn race",
    ),
    *variants(
        'kind = "core_cut", count = 1, for_s = 4.0, how = "{}"',
        "leader race",
        "one_way leader race meet",
        "both race",
        "reset leader race meet",
        "refuse leader race hard",
        "near leader race",
        "oldest race meet",
        "all leader race",
    ),
    *variants('kind = "roll_term", on = "core", gap_s = {}, how = "{}"', (1.0, "busy race"), (2.0, "race")),
    'kind = "herd_kill", on = "core", share = 1.0, for_s = 0.8',
    'kind = "replace_core", x = 1.0, how = "planned leader"',
    'kind = "reset_conns", on = "core", share = 1.0, x = 0.8, for_s = 4.0',
    'kind = "disk_slow", count = 1, x = 100.0, for_s = 4.0, how = "leader"',
]
RACE_PLANS = [
    *variants(
        'kind = "bad_config", count = 12, gap_s = 2.5, how = "{}"',
        "cut_short",
        "unknown_service",
        "same_place",
        "no_weight",
        "no_timeout",
        "old_version",
        "same_version",
        "stale_match",
        "shared_key",
    ),
    *variants(
        'kind = "config_storm", for_s = 36.0, gap_s = {}, how = "{}"',
        (0.25, "route"),
        (0.5, "weights"),
        (0.4, "idle"),
        (0.6, ""),
    ),
]

# Group `second-loss`: another machine, disk or process fails soon after the previous one was repaired.
SECOND_LOSS = [
    *variants(
        'kind = "replace_core", x = {}, how = "{}"',
        (0.5, "oldest"),
        (1.0, "oldest"),
        (2.0, "oldest"),
        (1.0, "leader"),
        (3.0, "leader"),
        (0.5, "seed"),
        (2.0, "seed"),
        (1.0, "planned leader"),
        (0.5, "planned seed"),
        (0.5, "planned oldest"),
        (1.0, "turn"),
    ),
    *variants(
        'kind = "after_ack_wipe", for_s = {}, how = "{}"',
        (0.8, "oldest"),
        (1.0, "oldest"),
        (2.0, "oldest"),
        (1.0, ""),
        (3.0, "power"),
        (2.0, "race drain"),
    ),
    *variants(
        'kind = "node_kill", on = "core", count = 1, for_s = {}, how = "{}"',
        (1.0, "power leader"),
        (2.0, "power seed meet"),
    ),
    *variants('kind = "herd_kill", on = "core", share = 1.0, for_s = 0.8, how = "{}"', "power", "taken"),
    *variants('kind = "roll_term", on = "core", gap_s = {}, how = "{}"', (0.5, ""), (2.0, "busy race")),
    'kind = "after_ack_kill", count = 1, for_s = 1.0, how = "taken gone"',
    'kind = "core_cut", count = 1, for_s = 3.0, how = "oldest"',
    'kind = "seed_turnover"',
    'kind = "disk_full", count = 1, for_s = 4.0, how = "leader"',
]

# Group `pairs`: two machines fail at once, and others soon after. Where the deployment tolerates only one
# failure, one machine fails.
PAIRS = [
    *variants(
        'kind = "node_kill", on = "core", count = 2, for_s = {}, how = "{}"',
        (1.0, "power leader"),
        (3.0, "power seed meet"),
        (2.0, "leader race drain hard"),
        (2.0, "power turn race"),
    ),
    *variants(
        'kind = "node_freeze", on = "core", count = 2, for_s = 5.0, how = "{}"',
        "leader race drain",
        "reader meet",
    ),
    *variants(
        'kind = "core_cut", count = 2, for_s = {}, how = "{}"',
        (6.0, "leader race"),
        (6.0, "oldest lure"),
        (5.0, "one_way leader race"),
        (5.0, "both leader"),
        (8.0, "all leader race"),
        (6.0, "seeds"),
        (12.0, "near leader lure"),
        (5.0, "reset leader meet"),
    ),
    *variants(
        'kind = "replace_core", x = {}, how = "{}"',
        (0.5, "oldest"),
        (0.5, "leader"),
        (1.0, "oldest"),
        (1.0, "planned leader"),
        (2.0, "seed"),
    ),
    *variants(
        'kind = "after_ack_wipe", for_s = {}, how = "{}"',
        (0.8, ""),
        (0.8, "oldest"),
        (2.0, "power"),
        (1.0, "oldest"),
        (1.0, "race drain"),
    ),
    *variants(
        'kind = "after_ack_kill", count = {}, for_s = 1.0, how = "{}"',
        (2, "timed"),
        (3, "kill timed"),
        (2, ""),
    ),
    *variants('kind = "disk_full", count = 2, for_s = 5.0, how = "{}"', "", "leader"),
    'kind = "disk_stall", count = 2, for_s = 4.0, how = "leader"',
    'kind = "disk_slow", count = 3, x = 30.0, for_s = 5.0, how = "leader"',
    'kind = "seed_turnover"',
    'kind = "herd_kill", on = "core", share = 1.0, for_s = 0.8, how = "power"',
]

# Group `long`: hundreds of configuration changes while machines restart, and disks are lost or become full.
LONG = [
    *variants('kind = "roll_term", on = "core", gap_s = {}, how = "{}"', (2.0, ""), (3.0, "busy race")),
    *variants('kind = "after_ack_wipe", for_s = {}, how = "{}"', (1.0, ""), (2.0, "oldest"), (3.0, "power")),
    *variants('kind = "disk_full", count = {}, for_s = 6.0, how = "{}"', (1, "leader"), (2, "")),
    *variants('kind = "disk_stall", count = 1, for_s = 4.0, how = "{}"', "leader", ""),
    *variants(
        'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "{}"',
        "power leader",
        "leader race",
        "power seed meet",
    ),
    *variants('kind = "replace_core", x = 1.0, how = "{}"', "leader", "planned seed", "oldest"),
    *variants('kind = "herd_kill", on = "core", share = 1.0, for_s = 1.0, how = "{}"', "", "power"),
    'kind = "node_freeze", on = "core", count = 1, for_s = 5.0, how = "leader"',
    'kind = "core_cut", count = 1, for_s = 6.0, how = "leader race"',
    'kind = "disk_slow", count = 1, x = 30.0, for_s = 6.0, how = "leader"',
    'kind = "clock_step", share = 0.5, x = 60000, for_s = 6.0, how = "back"',
]
LONG_PLANS = [
    'kind = "big_config", count = 300',
    *variants('kind = "config_race", count = 100, gap_s = {}', 2.5, 2.9),
    'kind = "ack_lost", for_s = 280.0, x = 0.4',
]

# Group `answers`: responses of runners are late, duplicated, truncated, without length or for another client.
ANSWERS = [
    *variants(
        'kind = "garble", share = 0.6, x = {}, for_s = 6.0, how = "{}"',
        (0.1, ""),
        (0.1, "extra"),
        (0.1, "extra late"),
        (0.1, "late"),
        (0.15, "unframed"),
        (0.15, "early"),
        (0.1, "extra early"),
        (0.1, "unframed late"),
        (0.1, "extra unframed early"),
    ),
    *variants('kind = "answer_lost", share = 0.6, x = 0.1, for_s = 6.0, how = "{}"', "", "reset"),
    *variants('kind = "give_up", share = {}, x = {}, for_s = 6.0', (0.2, 50), (0.4, 300), (0.3, 1500)),
    *variants(
        'kind = "srv_grey", share = 0.3, x = {}, for_s = 6.0, how = "{}"',
        (0.5, "errors"),
        (0.5, "shed"),
        (0.5, "busy"),
        (0.5, "hang"),
        (0.5, "reset"),
        (0.5, "mute"),
        (8.0, "slow"),
        (0.5, "reset one_zone"),
        (0.5, "mute one_zone"),
    ),
    *variants('kind = "herd_kill", on = "core", share = 1.0, for_s = 1.0, how = "{}"', "taken", "taken all"),
    *variants('kind = "after_ack_kill", count = 1, for_s = 2.0, how = "{}"', "taken", "taken gone"),
    *variants('kind = "reset_conns", share = {}, x = 0.6, for_s = 6.0', 0.3, 1.0),
]
# Group `answers-of-pools`: in addition to ANSWERS, for deployments with persistent connections to runners and
# health checks of runners.
ANSWERS_OF_POOLS = [
    *variants('kind = "idle_race", share = 0.6, x = {}, for_s = 6.0', 50, 300, 1000),
    *variants(
        'kind = "srv_lying_health", share = 0.2, for_s = 6.0, how = "{}"', "errors", "hang", "reset", "bad"
    ),
    *variants('kind = "srv_flap", share = 0.2, gap_s = {}, for_s = 8.0', 0.7, 1.4),
]
BESIDE_ANSWERS = [
    *variants('kind = "srv_crash", share = 0.3, for_s = 4.0, how = "{}"', "", "dark", "gone"),
    *variants(
        'kind = "release", share = {}, x = {}, gap_s = 1.0, how = "{}"', (0.5, 1, ""), (1.0, 2, "across")
    ),
    *variants('kind = "scale_in", share = 0.3, x = {}, how = "{}"', (2.0, "spot"), (1.0, "spot"), (2.0, "")),
    *variants('kind = "replace_with_reuse", share = 0.3, how = "{}"', "", "drain", "dark"),
    *variants('kind = "roll_term", on = "front", share = 1.0, gap_s = 1.0, x = 1, how = "{}"', "busy", ""),
    *variants('kind = "srv_cut", share = 0.3, x = 0.3, for_s = 5.0, how = "{}"', "", "fronts", "reset"),
    'kind = "retry_abuse", share = 0.4, x = 3, for_s = 6.0',
    'kind = "srv_slow", share = 0.4, x = 4, for_s = 6.0',
    'kind = "node_slow", share = 0.3, x = 8, for_s = 6.0',
    'kind = "node_freeze", on = "front", share = 0.3, for_s = 4.0',
    'kind = "node_kill", on = "front", share = 0.3, for_s = 3.0, how = "power"',
    'kind = "burst", x = 2.5, for_s = 5.0',
]
