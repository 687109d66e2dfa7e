"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """Periods, time-outs and limits of SWIM with Lifeguard's additions.

    The defaults cost a member two small datagrams a second while nothing changes. Nothing here depends on the
    deployment; what follows from the number of members is derived from it.

    Attributes:
        probe_period_s: Time from one probe to the next, in which the probed member must answer.
        probe_timeout_s: Wait for a direct answer before other members are asked to probe; covers a late turn
            on a busy machine.
        indirect_probes: Members that are asked to probe one that did not answer directly.
        nack_delay_s: Time after which a relaying member reports that its probe has no answer yet.
        suspicion_multiplier: Shortest suspicion: this times the probe period times log10 of the members.
        max_suspicion_multiplier: Longest suspicion, as a multiple of the shortest.
        suspicion_confirmations: Independent accusers that bring a suspicion down to the shortest.
        final_ping_lead_s: Time before a suspicion ends at which the member is pinged once more.
        verification_period_s: Time between two such pings, and between two pings that verify reported deaths.
        retransmit_multiplier: Sends of one update by one member: this times log10 of the members.
        gossip_period_s: Time between datagrams that carry only updates, while there are any.
        max_queued_updates: Updates that wait to be passed on; more are left to synchronisation.
        update_bytes_per_s: Rate of updates that a member sends, however much happens at once.
        update_burst_bytes: Updates that may be sent at once; four full datagrams.
        freeze_threshold_s: A longer pause between ticks (0.1 s apart) means that this process did not run.
        freeze_recovery_s: Time after a freeze in which failed probes are put down to this process.
        max_local_health_score: Probe times are stretched by at most this plus one.
        page_timeout_s: Wait for a page of a synchronisation.
        min_pull_period_s: Time between synchronisations that bring updates.
        max_pull_period_s: Time between synchronisations that bring none.
        min_join_period_s: First pause between attempts at seeds while no other member is known.
        max_join_period_s: Longest pause between such attempts.
        seed_period_s: Time between attempts at seeds that are not members.
        dead_probe_period_s: Time between probes of dead members, which heal a partition.
        reconnect_period_s: Time between probes of dead members that another member reports alive.
        dead_retention_s: Time for which a member that ended is remembered.

    Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
    Protocol" (2002); Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
    Detection" (2018).
    """

    probe_period_s: float = 1.0
    probe_timeout_s: float = 0.4
    indirect_probes: int = 3
    nack_delay_s: float = 0.3

    suspicion_multiplier: float = 4.0
    max_suspicion_multiplier: float = 3.0
    suspicion_confirmations: int = 3
    final_ping_lead_s: float = 1.0
    verification_period_s: float = 0.25

    retransmit_multiplier: int = 4
    gossip_period_s: float = 0.25
    max_queued_updates: int = 64
    update_bytes_per_s: float = 1200.0
    update_burst_bytes: float = 4800.0

    freeze_threshold_s: float = 0.5
    freeze_recovery_s: float = 2.0
    max_local_health_score: int = 8

    page_timeout_s: float = 1.0
    min_pull_period_s: float = 1.0
    max_pull_period_s: float = 30.0

    min_join_period_s: float = 0.2
    max_join_period_s: float = 3.0
    seed_period_s: float = 10.0
    dead_probe_period_s: float = 10.0
    reconnect_period_s: float = 0.5
    dead_retention_s: float = 300.0
