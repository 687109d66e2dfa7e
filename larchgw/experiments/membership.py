"""What membership costs and how soon it notices: processes in virtual time on a lossy network.

`larchgw lab membership` prints the table of docs/membership.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from statistics import median, quantiles

from ..emulator.datagrams import DatagramNetwork, Link
from ..membership.member import MemberState, Role
from .results import Options, Result

SIZES = (30, 100, 300, 500)
LOSS = 0.01  # of all datagrams
SEEDS = 3  # control processes that all others are told of
START_SPREAD = 0.3  # seconds within which all processes start
JOIN_LIMIT = 60.0  # seconds
QUIET_MEMBER_SECONDS = 120_000.0  # of the part without trouble: the larger the fleet, the shorter it is
VICTIMS = 5
BETWEEN_KILLS = 10.0  # seconds
AFTER_KILLS = 45.0  # seconds, longer than the longest suspicion


@dataclass(frozen=True, slots=True)
class Quiet:
    """What the part without trouble showed. Rates are for one member and second."""

    seconds: float
    datagrams: float
    bytes: float
    suspicions: int  # of members that were alive
    deaths: int


def experiment(options: Options, sizes: Sequence[int] = SIZES) -> Result:
    """Plays a fleet of each size. Of the options the seed counts."""
    result = Result("membership")
    for size in sizes:
        _play(result, size, options.seed)
    return result


def _play(result: Result, size: int, seed: int) -> None:
    network = DatagramNetwork(seed, Link(loss=LOSS))
    joined = _join(network, size, seed)
    at_seed = max(network.processes[_address(n)].bytes for n in range(SEEDS))
    quiet = _stay_quiet(network, QUIET_MEMBER_SECONDS / size)
    delays = _kill_some(network, Random(seed))
    ninety_ninth = quantiles(delays, n=100)[98]
    hours = quiet.seconds / 3600.0
    result.rows.append(
        {
            "members": size,
            "all joined s": joined,
            "KB sent by a seed till then": at_seed / 1000.0,
            "datagrams/s": quiet.datagrams,
            "bytes/s": quiet.bytes,
            "quiet s": quiet.seconds,
            "false suspicions/h": quiet.suspicions / hours,
            "false deaths": quiet.deaths,
            "dead noticed median s": median(delays),
            "p99 s": ninety_ninth,
        }
    )
    result.figures |= {
        f"detect_median_{size}": median(delays),
        f"detect_p99_{size}": ninety_ninth,
        f"bytes_{size}": quiet.bytes,
        f"datagrams_{size}": quiet.datagrams,
        f"false_suspicions_{size}": quiet.suspicions / hours,
        f"false_deaths_{size}": quiet.deaths,
    }


def _address(number: int) -> str:
    return f"10.0.{number // 200}.{number % 200 + 1}:7661"


def _join(network: DatagramNetwork, size: int, seed: int) -> float:
    """Seconds until every process knows all."""
    random = Random(seed)
    seeds = [_address(number) for number in range(SEEDS)]
    for number in range(size):
        role: Role = "control" if number < SEEDS else "edge"
        network.start(_address(number), role, seeds, random.uniform(0.0, START_SPREAD))
    started = network.now
    while network.now - started < JOIN_LIMIT:
        network.run(0.5)
        processes = network.processes.values()
        if len(processes) == size and all(len(p.swim.members()) == size for p in processes):
            break
    return network.now - started


def _stay_quiet(network: DatagramNetwork, seconds: float) -> Quiet:
    network.run(10.0)  # until the news of the start have been passed on
    before = _sent(network)
    network.changes.clear()
    network.run(seconds)
    after = _sent(network)
    share = len(network.processes) * seconds
    suspected = {(m.address, m.refutations) for _, _, m in network.changes if m.state is MemberState.SUSPECT}
    dead = {m.address for _, _, m in network.changes if m.state is MemberState.DEAD}
    return Quiet(
        seconds, (after[0] - before[0]) / share, (after[1] - before[1]) / share, len(suspected), len(dead)
    )


def _kill_some(network: DatagramNetwork, random: Random) -> list[float]:
    """Seconds from the end of each victim to its death in the eyes of each other process."""
    killed: dict[str, float] = {}
    network.changes.clear()
    for victim in random.sample(sorted(network.processes), VICTIMS):
        network.kill(victim)
        killed[victim] = network.now
        network.run(BETWEEN_KILLS)
    network.run(AFTER_KILLS)
    return [
        time - killed[member.address]
        for time, who, member in network.changes
        if member.state is MemberState.DEAD and member.address in killed and who not in killed
    ]


def _sent(network: DatagramNetwork) -> tuple[int, int]:
    processes = network.processes.values()
    return sum(p.datagrams for p in processes), sum(p.bytes for p in processes)
