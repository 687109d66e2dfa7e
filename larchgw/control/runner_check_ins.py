"""Records check-ins and leaves of runners, and decides which ones are acknowledged."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from ..distribution.hinted_handoff import LOCAL_COPY
from ..distribution.keys import RUNNER_PREFIX
from ..distribution.registry import Registry
from ..rpc.generated.ttypes import Entry
from ..runner_directory.check_in_parser import parse_check_in
from ..runner_directory.directory import CheckInOutcome, RunnerDirectory
from .majority_contact import MajorityContact

HANDOFF_TIMEOUT_S = 0.4  # a runner waits 1 s for the acknowledgement


class Replicator(Protocol):
    """Brings entries to the disks of the control processes; implemented by hinted_handoff.HintedHandoff."""

    async def replicate(
        self, entries: Sequence[Entry], timeout_s: float, quorum_reached: Callable[[set[str]], bool]
    ) -> set[str]:
        """Pushes entries to the other control processes, and stores them on the disk of this one.

        Returns:
            The RPC addresses of the processes that have the entries on disk, with LOCAL_COPY for this one, as
            soon as `quorum_reached` is true for them, but no later than after `timeout_s`.
        """


class RunnerCheckIns:
    """Records every check-in, and acknowledges it only in proven contact with a majority of the witnesses.

    A runner that gets no acknowledgement calls another process. Its report is recorded anyway, so that edges
    that can reach only this process know the runner. The news that a runner is draining or has left is
    replicated to a majority of the witnesses before it is acknowledged, and is on the disk of each of them
    (departure_store.py): every control process that edges may pull from then knows it within
    MAX_CONTACT_AGE_S (majority_contact.py), also if all of them are restarted meanwhile.
    """

    def __init__(
        self, directory: RunnerDirectory, registry: Registry, contact: MajorityContact, replicator: Replicator
    ) -> None:
        """Creates the service.

        Args:
            directory: Where the calls are recorded.
            registry: Holds the entries that the directory publishes.
            contact: Tells whether calls may be acknowledged now.
            replicator: Pushes urgent entries to the other control processes.
        """
        self._directory, self._registry = directory, registry
        self._contact, self._replicator = contact, replicator
        self._is_closed = False

    def close(self) -> None:
        """Stops acknowledging calls, so that runners switch to another process before this one stops."""
        self._is_closed = True

    async def check_in(self, runner_id: str, body: bytes) -> bool:
        """Records a runner's check-in.

        Returns:
            Whether it may be acknowledged.

        Raises:
            CheckInError: The body is not a valid check-in.
        """
        return await self._acknowledge(runner_id, self._directory.check_in(parse_check_in(runner_id, body)))

    async def leave(self, runner_id: str) -> bool:
        """Records that a runner has left; returns whether that may be acknowledged."""
        return await self._acknowledge(runner_id, self._directory.leave(runner_id))

    async def _acknowledge(self, runner_id: str, outcome: CheckInOutcome) -> bool:
        if self._is_closed or self._contact.is_isolated():
            return False
        return not outcome.needs_replication or await self._replicate(runner_id)

    async def _replicate(self, runner_id: str) -> bool:
        """Replicates the runner's entry; returns whether a majority of the witnesses has it on disk."""
        entry = self._registry.get(RUNNER_PREFIX + runner_id)
        record = self._directory.get(runner_id)
        if entry is None or record is None:
            return False
        has_majority = self._has_majority
        if not has_majority(await self._replicator.replicate([entry], HANDOFF_TIMEOUT_S, has_majority)):
            return False
        self._directory.mark_replicated(runner_id, record.stage)
        return True

    def _has_majority(self, accepted_by: set[str]) -> bool:
        return self._contact.is_majority(
            accepted_by - {LOCAL_COPY}, with_this_process=LOCAL_COPY in accepted_by
        )
