"""Actions under a lease: announced to the witnesses before they start, and waited out by the next holder.

Each action has one target, such as a runner that receives an order. Before an action the holder announces its
target to a quorum of witnesses, together with a renewal of its lease. It may start the action within
`ACTION_START_WINDOW_S` of sending the request. The witnesses that elect a new holder report the recent
announcements to it. The new holder does not act on a reported target until a whole term has passed since the
last action on it can have arrived. All other targets are free at once.

Why no action is missed:

- A witness that has granted a fencing token, which is durable, refuses announcements under any lower token.
  The quorum of an announcement and the quorum of the next election share a witness. There the announcement
  came before the grant to the new holder, and is reported with that grant.
- A witness that restarted, or became a witness later, does not know earlier announcements. It reports since
  when it knows all of them. An action that was announced before that time has started at most
  `ACTION_START_WINDOW_S` after it. The new holder waits for such actions at every target, unless a quorum of
  other witnesses knows all announcements from an earlier time on.

Neither argument depends on the duration of a grant, which only decides how soon a lost holder is replaced.

Times are seconds on a monotonic clock that also counts the time for which the machine is suspended.

Source: the rule ONE of the rules page; Paxos Made Simple (Lamport, 2001), section 2.2, for the argument of
the two quorums; Leases (Gray and Cheriton, 1989).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import Any

from .view import View

ACTION_START_WINDOW_S = 0.25  # from the request of an announcement to the latest start of the action
ACTION_DELIVERY_S = 0.3  # from the start of an action to its latest arrival
HANDOVER_TERMS = 1.05  # between actions of two holders on one target; allows for different clock rates


def separation_s(term_s: float) -> float:
    """Seconds from an announcement to the first action of another holder on the same target."""
    return HANDOVER_TERMS * term_s + ACTION_START_WINDOW_S + ACTION_DELIVERY_S


@dataclass(frozen=True, slots=True)
class ActionAnnouncement:
    """The part of a lease request that announces the sender's actions.

    Attributes:
        targets: The targets on which the sender is about to act, and no others.
        is_sole_actor: Whether all actions of other holders are older than `separation_s`.
    """

    targets: tuple[str, ...] = ()
    is_sole_actor: bool = False

    def to_json(self) -> dict[str, Any]:
        """Converts the value to the JSON that is sent; the keys must not change."""
        return {"targets": list(self.targets), "sole": self.is_sole_actor}

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> ActionAnnouncement:
        """Reads the output of `to_json`; raises KeyError, TypeError or ValueError for anything else."""
        return cls(tuple(map(str, value["targets"])), bool(value["sole"]))


@dataclass(frozen=True, slots=True)
class KnownActions:
    """What a witness knows of announced actions, in reply to a lease request.

    Attributes:
        known_s: The witness knows every announcement that other holders made to it in the last `known_s`
            seconds. If negative, actions that were not announced may still start for `-known_s` seconds.
        ages_s: Target -> seconds since another holder last announced an action on it.
        remembered_s: Like `known_s`, but including announcements of the requesting member, also those that
            it made before a restart.
        own_ages_s: Target -> seconds since the requesting member last announced an action on it.
    """

    known_s: float
    ages_s: Mapping[str, float]
    remembered_s: float
    own_ages_s: Mapping[str, float]

    def to_json(self) -> dict[str, Any]:
        """Converts the value to the JSON that is sent; the keys must not change."""
        return {
            "known": self.known_s,
            "ages": dict(self.ages_s),
            "remembered": self.remembered_s,
            "own": dict(self.own_ages_s),
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> KnownActions:
        """Reads the output of `to_json`; raises KeyError, TypeError or ValueError for anything else."""
        return cls(
            float(value["known"]),
            _read_ages(value["ages"]),
            float(value["remembered"]),
            _read_ages(value["own"]),
        )


def _read_ages(value: Mapping[str, Any]) -> dict[str, float]:
    return {str(target): float(age_s) for target, age_s in value.items()}


@dataclass(frozen=True, slots=True)
class ActionHistory:
    """The actions that were announced before a holder was elected, including its own before a restart.

    Attributes:
        complete_since: `announced_at` includes every action that was announced since then.
        announced_at: Target -> the latest time at which an action on it can have been announced.
    """

    complete_since: float
    announced_at: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class _Announced:
    holder: str
    at: float


class ActionMemory:
    """The announced actions under one lease that one witness remembers; in memory only."""

    def __init__(self, retention_s: float) -> None:
        """Begins with nothing announced.

        Args:
            retention_s: For how long an announcement is remembered; `separation_s` at least.
        """
        self._retention_s = retention_s
        self._last_by_target: dict[str, _Announced] = {}
        self._unannounced_until = -inf

    def record(self, now: float, holder: str, targets: tuple[str, ...]) -> None:
        """Records that `holder` is about to act on `targets`."""
        for target in targets:
            self._last_by_target[target] = _Announced(holder, now)

    def allow_unannounced(self, until: float) -> None:
        """Records that a holder that announces nothing may act on any target until `until`."""
        self._unannounced_until = max(self._unannounced_until, until)

    def known_to(
        self, now: float, sender: str, complete_since: float, remembered_since: float
    ) -> KnownActions:
        """What the reply to `sender` reports.

        Args:
            now: The time.
            sender: A holder, or a candidate.
            complete_since: Since when all announcements of other holders are remembered.
            remembered_since: Since when all announcements are remembered, including those of `sender`.
        """
        self._last_by_target = {
            target: announced
            for target, announced in self._last_by_target.items()
            if now - announced.at < self._retention_s
        }
        known_s = now - max(complete_since, self._unannounced_until)
        remembered_s = now - max(remembered_since, self._unannounced_until)
        ages_s: dict[str, float] = {}
        own_ages_s: dict[str, float] = {}
        for target, announced in self._last_by_target.items():
            ages = own_ages_s if announced.holder == sender else ages_s
            ages[target] = now - announced.at
        return KnownActions(
            min(known_s, self._retention_s), ages_s, min(remembered_s, self._retention_s), own_ages_s
        )


class PredecessorActions:
    """The earlier actions that the witnesses which granted a new holder's fencing token reported to it."""

    def __init__(self, separation: float) -> None:
        """Begins without any report.

        Args:
            separation: Seconds between an announcement and the first action of another holder on its target.
        """
        self._separation_s = separation
        self._complete_since: dict[str, float] = {}  # by witness
        self._remembered_since: dict[str, float] = {}  # by witness
        self._announced_at: dict[str, float] = {}  # by target, actions of other holders
        self._own_announced_at: dict[str, float] = {}  # by target
        self._unreported_targets_free_at = inf  # of targets on which no witness reported an action
        self._history_since = inf

    def observe(self, now: float, witness: str, known: KnownActions) -> None:
        """Records the report of a witness, which came with its first grant of the token.

        The witness has refused announcements under earlier tokens since.
        """
        if witness in self._complete_since:
            return  # a duplicate of the reply
        _merge(self._announced_at, now, known.ages_s)
        _merge(self._own_announced_at, now, known.own_ages_s)
        self._complete_since[witness] = now - known.known_s
        self._remembered_since[witness] = now - known.remembered_s

    def evaluate(self, view: View) -> None:
        """Computes when targets without a reported action are free, from the quorum that knows the most."""
        complete_since = _known_to_a_quorum(self._complete_since, view)
        self._unreported_targets_free_at = min(
            self._unreported_targets_free_at, complete_since + self._separation_s
        )
        self._history_since = min(self._history_since, _known_to_a_quorum(self._remembered_since, view))

    def history(self) -> ActionHistory:
        """All actions that witnesses reported, including the holder's own before a restart."""
        announced_at = dict(self._own_announced_at)
        for target, at in self._announced_at.items():
            announced_at[target] = max(at, announced_at.get(target, -inf))
        return ActionHistory(self._history_since, announced_at)

    @property
    def unreported_targets_free_at(self) -> float:
        """When targets without a reported action are free; infinite before a quorum has answered."""
        return self._unreported_targets_free_at

    @property
    def all_targets_free_at(self) -> float:
        """When all targets are free, including those with a reported action."""
        return max([self._unreported_targets_free_at, *map(self.free_at, self._announced_at)])

    def free_at(self, target: str) -> float:
        """When this target may be acted on."""
        announced_at = self._announced_at.get(target, -inf)
        return max(self._unreported_targets_free_at, announced_at + self._separation_s)


def _merge(announced_at: dict[str, float], now: float, ages_s: Mapping[str, float]) -> None:
    for target, age_s in ages_s.items():
        announced_at[target] = max(announced_at.get(target, -inf), now - age_s)


def _known_to_a_quorum(since_by_witness: Mapping[str, float], view: View) -> float:
    """Since when some quorum of witnesses knows all announcements; infinite if no quorum has answered."""
    informed: list[str] = []
    for witness, since in sorted(since_by_witness.items(), key=lambda item: item[1]):
        informed.append(witness)
        if view.has_quorum(informed):
            return since
    return inf
