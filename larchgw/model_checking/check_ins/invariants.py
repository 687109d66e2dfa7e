"""Invariants of every explored run of check-ins, under any faults of processes and links.

- A control process that is not isolated knows of every drain and Leave that any process acknowledged more
  than MAX_CONTACT_AGE_S ago.
- An edge knows of those that were acknowledged MAX_CONTACT_AGE_S before its last pull from a process in
  contact began, and its configuration is no older than the one that a majority held then.
- When a drain or Leave is acknowledged, a majority knows of it. (The first invariant detects one that is in
  memory only, once all control processes have lost power.)
- A process that acknowledges a call could exchange messages with a majority within the last
  MAX_CONTACT_AGE_S.
- After the faults all processes are in contact and have the newest configuration, and runner calls are
  acknowledged.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ...control.majority_contact import MAX_CONTACT_AGE_S
from ...identifiers import RunnerId
from ...runner_directory.runner_record import Stage
from ..errors import InvariantError
from .network import Network, RunnerCall
from .processes import ControlProcess, Edge, now

OBSERVATION_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The acknowledgement of a drain or Leave of a runner, at the virtual time `at_s`."""

    runner: RunnerId
    stage: Stage
    at_s: float


@dataclass(frozen=True, slots=True)
class MajorityVersion:
    """A majority has had this configuration version, or a later one, since the virtual time `since_s`."""

    since_s: float
    version: int


class InvariantChecker:
    """Checks the invariants of a run by observing its processes.

    Attributes:
        acknowledged: Acknowledged drains and Leaves, oldest first.
        states: Distinct observed states of the cluster.
    """

    def __init__(self, control: Sequence[ControlProcess], edges: Sequence[Edge], network: Network) -> None:
        """Takes the processes to observe."""
        self._control, self._edges, self._network = control, edges, network
        self.acknowledged: list[Acknowledgement] = []
        self.states: set[object] = set()
        self._connected_at: dict[tuple[str, str], float] = {}
        self._majority_versions = [MajorityVersion(0.0, 0)]
        self._violations: list[str] = []  # raised by `check`, not within the process under test

    @property
    def newest_majority_version(self) -> int:
        """The newest configuration that a majority has."""
        return self._majority_versions[-1].version

    def observe_acknowledgement(self, control_process: str, call: RunnerCall) -> None:
        """Checks an acknowledgement that a control process has just given to a runner."""
        in_contact = sum(self._was_connected_lately(control_process, peer.name) for peer in self._control)
        if not self._is_majority(in_contact):
            self._violations.append(f"{control_process} acknowledged {call.runner} without a majority")
        if call.stage is Stage.READY:
            return
        processes_that_know = [process for process in self._control if _is_informed(process, call)]
        if not self._is_majority(len(processes_that_know)):
            self._violations.append(
                f"{control_process} acknowledged that {call.runner} is {call.stage.name}, which "
                f"{len(processes_that_know)} of {len(self._control)} know"
            )
        self.acknowledged.append(Acknowledgement(call.runner, call.stage, now()))

    def observe(self) -> None:
        """Records the connections, the configuration version of the majority, and the cluster's state."""
        self._observe_connections()
        self._observe_majority_version()
        self.states.add(
            (
                tuple(process.contact.is_isolated() for process in self._control),
                tuple(process.registry.vector().get(process.registry.origin, 0) for process in self._control),
                tuple(edge.configuration_version() for edge in self._edges),
            )
        )

    def check(self) -> None:
        """Raises InvariantError if an invariant is violated now or was at an acknowledgement."""
        for process in self._control:
            if not process.contact.is_isolated() and not self._network.is_frozen(process.name):
                self._check_knows(process.name, process.stage_of, now() - MAX_CONTACT_AGE_S)
        for edge in self._edges:
            self._check_edge(edge)
        if self._violations:
            raise InvariantError(self._violations[0])

    def check_converged(self) -> None:
        """Raises InvariantError if a process is isolated or an edge has an old configuration."""
        for process in self._control:
            if process.contact.is_isolated():
                raise InvariantError(f"{process.name} is still isolated")
        newest = self.newest_majority_version
        for edge in self._edges:
            if edge.configuration_version() != newest:
                raise InvariantError(
                    f"{edge.name} has version {edge.configuration_version()}, the majority has {newest}"
                )

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self._control)

    def _was_connected_lately(self, process: str, peer: str) -> bool:
        if process == peer:
            return True
        age_s = now() - self._connected_at.get((process, peer), -1.0)
        return age_s <= MAX_CONTACT_AGE_S + OBSERVATION_INTERVAL_S

    def _observe_connections(self) -> None:
        for process in self._control:
            for peer in self._control:
                if process is not peer and self._network.is_connected(process.name, peer.name):
                    self._connected_at[process.name, peer.name] = now()

    def _observe_majority_version(self) -> None:
        versions = sorted(process.stored.version if process.stored else 0 for process in self._control)
        version = versions[(len(versions) - 1) // 2]  # the newest version that a majority has
        if version > self.newest_majority_version:
            self._majority_versions.append(MajorityVersion(now(), version))

    def _check_edge(self, edge: Edge) -> None:
        version = edge.configuration_version()
        if version and edge.puller.last_heard_at is None:
            raise InvariantError(f"{edge.name} serves a configuration, but has heard from no source")
        contact_proven_at = edge.puller.contact_proven_at
        if contact_proven_at is None:
            return
        known_by = contact_proven_at - MAX_CONTACT_AGE_S
        self._check_knows(edge.name, edge.stage_of, known_by)
        oldest_allowed = max(
            held.version for held in self._majority_versions if held.since_s <= max(known_by, 0.0)
        )
        if 0 < version < oldest_allowed:
            raise InvariantError(f"{edge.name} serves version {version}, but a majority had {oldest_allowed}")

    def _check_knows(self, name: str, stage_of: Callable[[RunnerId], Stage | None], until_s: float) -> None:
        """Checks that process `name` knows of all drains and Leaves acknowledged before `until_s`."""
        for acknowledgement in self.acknowledged:
            if acknowledgement.at_s >= until_s:
                return
            known = stage_of(acknowledgement.runner)
            if known is None or known < acknowledgement.stage:
                raise InvariantError(
                    f"{name} has {acknowledgement.runner} in stage {known}, acknowledged as "
                    f"{acknowledgement.stage.name} {now() - acknowledgement.at_s:.2f} s ago"
                )


def _is_informed(process: ControlProcess, call: RunnerCall) -> bool:
    known = process.stage_of(call.runner)
    return process.is_running and known is not None and known >= call.stage
