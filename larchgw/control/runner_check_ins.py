"""Which check-ins and Leaves of runners are acknowledged."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from ..distribution.keys import RUNNER_PREFIX
from ..distribution.registry import Registry
from ..rpc.generated.ttypes import Entry
from ..runner_directory.check_in_parser import parse_check_in
from ..runner_directory.directory import CheckInOutcome, RunnerDirectory
from .majority_contact import MajorityContact

HANDOFF_TIMEOUT_S = 0.4  # a runner waits a second for its acknowledgement


class Replicator(Protocol):
    """Brings entries to the other control processes; hinted_handoff.HintedHandoff is the real one."""

    async def replicate(
        self, entries: Sequence[Entry], timeout: float, enough: Callable[[set[str]], bool]
    ) -> set[str]:
        """The processes that have the entries, as soon as these are enough, at the latest after `timeout`."""


class RunnerCheckIns:
    """Records every check-in, and acknowledges it only in proven contact with a majority of the witnesses.

    A runner that is not acknowledged calls another process. What it said is kept all the same, so that edges
    that can reach no other process than this one know the runner. That a runner drains or has left is at a
    majority of the witnesses before it is acknowledged: each control process that edges may pull from then
    knows it within MAX_CONTACT_AGE_S (contact.py).
    """

    def __init__(
        self, directory: RunnerDirectory, registry: Registry, contact: MajorityContact, replicator: Replicator
    ) -> None:
        self._directory, self._registry = directory, registry
        self._contact, self._replicator = contact, replicator
        self._is_closed = False

    def close(self) -> None:
        """The process is about to end: runners are sent to another one from now on."""
        self._is_closed = True

    async def check_in(self, runner: str, body: bytes) -> bool:
        """See http_api.ControlService."""
        return await self._acknowledge(runner, self._directory.check_in(parse_check_in(runner, body)))

    async def leave(self, runner: str) -> bool:
        """See http_api.ControlService."""
        return await self._acknowledge(runner, self._directory.leave(runner))

    async def _acknowledge(self, runner: str, outcome: CheckInOutcome) -> bool:
        if self._is_closed or self._contact.is_isolated():
            return False
        return not outcome.needs_replication or await self._replicate(runner)

    async def _replicate(self, runner: str) -> bool:
        entry = self._registry.get(RUNNER_PREFIX + runner)
        record = self._directory.get(runner)
        if entry is None or record is None:
            return False
        enough = self._contact.is_majority
        if not enough(await self._replicator.replicate([entry], HANDOFF_TIMEOUT_S, enough)):
            return False
        self._directory.mark_replicated(runner, record.stage)
        return True
