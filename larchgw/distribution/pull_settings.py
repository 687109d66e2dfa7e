"""Timing of pulls."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..configuration.settings import TimeLimits

WAIT_SHARE = 0.25  # wait of one pull, as a share of the time within which a change must be in force
REPLY_GRACE_SHARE = 0.35  # how much longer than the wait a reply may take, as a share of that time
DEFAULT_HEARTBEAT_S = 1.2
HAND_BACK_HEARTBEATS = 1.5  # by then, runners that still exist have checked in again
HAND_BACK_SPREAD = (1.0, 1.5)  # random factor of the delay, so that dispatchers push at different times
MAX_PEER_WAIT_S = 0.25  # between control processes, whose pulls prove contact (control/majority_contact.py)
MAX_PEER_BACKOFF_S = 0.25  # the longest pause before an unresponsive control process is called again


@dataclass(frozen=True, slots=True)
class PullSettings:
    """Timing of pulls, in seconds.

    Attributes:
        wait_s: How long a control process may delay the reply to a pull (long poll).
        reply_grace_s: How much later than that the reply may arrive before the call times out.
        start_jitter_s: Maximum random delay of the first pull, which spreads a simultaneous start of many
            processes.
        min_backoff_s: Pause after every process has failed once; doubles with each round.
        max_backoff_s: Upper limit of that pause.
        zone_recheck_s: Time after which a source in the same zone is preferred again, if the current one is
            in another zone.
        resync_after_s: Disconnection time after which tombstones may have been missed; half of their
            retention time.
        hand_back_after_s: Delay from a change of the source until runners unknown to it are pushed to it,
            before the factor HAND_BACK_SPREAD. The runners must arrive before they would count as silent.
    """

    wait_s: float = 0.5
    reply_grace_s: float = 0.7
    start_jitter_s: float = 0.1
    min_backoff_s: float = 0.05
    max_backoff_s: float = 0.8
    zone_recheck_s: float = 60.0
    resync_after_s: float = 150.0
    hand_back_after_s: float = 5.0

    @property
    def timeout_s(self) -> float:
        """Timeout of a pull call."""
        return self.wait_s + self.reply_grace_s

    @classmethod
    def from_time_limits(
        cls, limits: TimeLimits, heartbeat_interval_s: float = DEFAULT_HEARTBEAT_S
    ) -> PullSettings:
        """Returns waits so short that changes arrive in time even if one control process has just failed.

        Args:
            limits: The bounds of the deployment.
            heartbeat_interval_s: Seconds between two check-ins of a runner.
        """
        bound_s = min(limits.apply_ms, limits.drain_end_ms) / 1000.0
        return cls(
            wait_s=WAIT_SHARE * bound_s,
            reply_grace_s=REPLY_GRACE_SHARE * bound_s,
            hand_back_after_s=HAND_BACK_HEARTBEATS * heartbeat_interval_s,
        )

    def for_control_peers(self) -> PullSettings:
        """Returns the settings for pulls of one control process from another."""
        return replace(self, wait_s=min(self.wait_s, MAX_PEER_WAIT_S), max_backoff_s=MAX_PEER_BACKOFF_S)
