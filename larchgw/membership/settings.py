"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """Periods, timeouts and limits of SWIM with Lifeguard's extensions.

    With the defaults, an idle member sends two small datagrams per second. The settings do not depend on the
    deployment; values that vary with the number of members are derived from it.

    Attributes:
        probe_period_s: Time between probes, within which the probed member must answer.
        probe_timeout_s: Wait for a direct answer before other members are asked to probe; allows for
            scheduling delays on a busy machine.
        indirect_probes: Number of members asked to probe a member that did not answer directly.
        nack_delay_s: Time after which a relaying member reports that its probe has no answer yet.
        suspicion_multiplier: The minimum suspicion time is this times the probe period times log10 of the
            number of members.
        max_suspicion_multiplier: Maximum suspicion time, as a multiple of the minimum.
        suspicion_confirmations: Number of independent accusers that reduce a suspicion to its minimum time.
        final_ping_lead_s: How long before the end of a suspicion the member is pinged once more.
        verification_period_s: Time between two such pings, and between two pings that verify reported deaths.
        retransmit_multiplier: Each member sends an update this times log10 of the number of members.
        gossip_period_s: Time between datagrams that carry only updates, while there are any.
        max_queued_updates: Maximum number of updates waiting to be disseminated; others are left to table
            synchronisation.
        update_bytes_per_s: Maximum rate at which a member sends updates, however many there are.
        update_burst_bytes: Maximum size of updates sent at once; four full datagrams.
        pause_threshold_s: A longer time between ticks (0.1 s apart) means that this process was paused.
        pause_recovery_s: Time after a pause in which failed probes are attributed to this process.
        max_local_health_score: Probe times are multiplied by at most this plus one.
        page_timeout_s: Timeout for one page of a table synchronisation.
        min_pull_period_s: Time between synchronisations while they bring updates.
        max_pull_period_s: Maximum time between synchronisations while they bring none.
        min_join_period_s: First pause between requests to seeds while no other member is known.
        max_join_period_s: Longest pause between such requests.
        seed_period_s: Time between requests to seeds that are not members.
        dead_probe_period_s: Time between pings of dead members, which heal a partition.
        reconnect_period_s: Time between pings of dead members that another member reports as alive.
        dead_retention_s: Time until an ended member is forgotten.

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

    pause_threshold_s: float = 0.5
    pause_recovery_s: float = 2.0
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
