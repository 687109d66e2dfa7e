"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """Times are seconds. The defaults cost a member two small datagrams a second while nothing changes."""

    probe_period: float = 1.0
    probe_timeout: float = 0.4  # until other members are asked to probe; covers a late turn on a busy machine
    indirect_probes: int = 3
    nack_delay: float = 0.3  # after which a helper says that its probe has no answer yet

    suspicion_factor: float = 4.0  # probe periods, times log10 of the members: the shortest suspicion
    suspicion_spread: float = 3.0  # the longest suspicion, in shortest ones
    suspicion_confirmations: int = 3  # independent accusers that bring it down to the shortest
    last_call: float = 1.0  # before a suspicion ends, the member is pinged once more
    ask_period: float = 0.25  # between such pings, and between those after reports of a death

    retransmit_factor: int = 4  # sends of one update by one member: this times log10 of the members
    gossip_period: float = 0.25  # between datagrams that carry only updates, while there are any
    queued_updates: int = 64  # more are left to synchronisation
    news_rate: float = 1200.0  # bytes of updates a second that a member sends, however much happens at once
    news_burst: float = 4800.0  # bytes; four full datagrams

    freeze_gap: float = 0.5  # a longer pause between ticks (0.1 s) means that this process did not run
    doubt_after_freeze: float = 2.0  # for so long failed probes are held to be this process's own fault
    health_limit: int = 8  # the most that probe times are stretched by, less one

    page_timeout: float = 1.0  # a page of a synchronisation not received by then is given up
    pull_period_min: float = 1.0  # between synchronisations that bring news
    pull_period_max: float = 30.0

    join_period_min: float = 0.2  # between attempts at seeds while nobody is known
    join_period_max: float = 3.0
    seed_period: float = 10.0  # between attempts at seeds that are not members
    dead_probe_period: float = 10.0  # between probes of dead members, which heal a partition
    reconnect_period: float = 0.5  # between probes of dead members that another member holds to be alive
    dead_retention: float = 300.0
