"""Times of pulls."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..configuration.settings import TimeLimits

WAIT_SHARE = 0.25  # of the time within which a change must be in force: how long one pull waits
REPLY_GRACE_SHARE = 0.35  # of that time: how much longer than the wait an answer may take
MAX_PEER_WAIT_S = 0.25  # between control processes, whose pulls prove contact (control/majority_contact.py)
MAX_PEER_BACKOFF_S = 0.25  # the longest pause before one that did not answer is asked again


@dataclass(frozen=True, slots=True)
class PullSettings:
    """Times of pulls, in seconds.

    Attributes:
        wait_s: How long a control process may keep a pull waiting (long poll).
        reply_grace_s: How much later than that the reply may come before the call times out.
        start_jitter_s: The first pull comes within this time, so that a start of all at once is spread.
        min_backoff_s: Pause once every process was tried in vain; doubles with each round.
        max_backoff_s: Where doubling ends.
        zone_recheck_s: After this time a source in the same zone is preferred again, if the current one is
            elsewhere.
        resync_after_s: Out of touch for longer, tombstones may have been missed; half of their retention.
        hand_back_after_s: From a change of the source until runners that it does not know are handed to it.
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
        """How long a pull may take altogether."""
        return self.wait_s + self.reply_grace_s

    @classmethod
    def from_time_limits(cls, limits: TimeLimits) -> PullSettings:
        """Returns waits so short that a change comes in time although one control process was just lost."""
        bound_s = min(limits.apply_ms, limits.drain_end_ms) / 1000.0
        return cls(wait_s=WAIT_SHARE * bound_s, reply_grace_s=REPLY_GRACE_SHARE * bound_s)

    def for_control_peers(self) -> PullSettings:
        """Returns the settings for pulls of one control process from another."""
        return replace(self, wait_s=min(self.wait_s, MAX_PEER_WAIT_S), max_backoff_s=MAX_PEER_BACKOFF_S)
