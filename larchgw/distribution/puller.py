"""The asking side of pulls: keeps a registry up to date from one control process at a time.

A pull waits at the control process for news. A process that errs, stays silent longer than the settings allow
or says that it is cut off from the majority is left for another at once. Of what a cut-off process sends an
edge takes the runners alone: its configuration may be an old one, and an edge that knows none yet would begin
to serve with it. Control processes take all from one another, since merging never takes anything back.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import structlog

from ..rpc.errors import RpcError
from ..rpc.generated.ttypes import PullReply, PullRequest, PushRequest
from .keys import RUNNER_PREFIX
from .registry import Registry
from .resync import Resync
from .sources import PullSettings, SourceSelector
from .version_vectors import Vector, cursors, without_cursors

log = structlog.get_logger()
NO_ADDRESS_PAUSE_S = 0.1  # until the addresses are asked for again


class Caller(Protocol):
    """A connection to one process; rpc.client.RpcClient is the real one."""

    async def call(self, method: str, argument: Any, timeout_s: float) -> Any:
        """The answer. `timeout_s` is in seconds. Raises RpcError."""

    def close(self) -> None:
        """Ends the connection."""


class _Session:
    """What is known of the process pulled from, since the change to it."""

    def __init__(self, address: str, caller: Caller) -> None:
        self.address = address
        self.caller = caller
        self.cursors: Vector = {}
        self.vector: Vector = {}  # what it holds
        self.returns_at: float | None = None  # when entries that it lacks are given to it
        self.life = ""  # its cursor's name

    def read(self, reply: PullReply) -> bool:
        """Notes how far it is read; whether it is another life of that process than before."""
        upto = reply.upto or {}
        self.cursors = cursors(upto)
        life = next(iter(self.cursors), "")
        changed = life != self.life
        if changed:
            self.life, self.vector = life, {}
        for origin, sequence in without_cursors(upto).items():
            self.vector[origin] = max(sequence, self.vector.get(origin, 0))
        return changed


class Puller:
    """Pulls entries with `prefixes` (none: all) into the registry until it is cancelled.

    `connect` opens a connection to an address; `addresses` gives the control processes to start from. Where
    this puller `is_only_source` of the registry, later ones are learned from the replies, and after a silence
    of `resync_after_s` the registry is compared with the whole of another (resync.py). With
    `hands_back_runners` set, entries of runners that the process pulled from turns out to lack some time
    after the change to it are given to it: after a restart of all control processes the dispatchers are the
    only ones who know of a runner that crashed meanwhile.
    """

    def __init__(
        self,
        registry: Registry,
        connect: Callable[[str], Caller],
        addresses: Callable[[], Sequence[str]],
        settings: PullSettings,
        dice: random.Random,
        *,
        node_name: str = "",
        prefixes: Sequence[str] = (),
        is_near: Callable[[str], bool] | None = None,
        is_only_source: bool = True,
        hands_back_runners: bool = False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.registry = registry
        # By `clock`: the last answer of a process that is not cut off.
        self.last_heard_at: float | None = None
        # By `clock`: begin of the last pull that was answered in full, also by one that is cut off. All that
        # the process held then has been merged.
        self.contact_proven_at: float | None = None
        self.source_changes = 0  # of the process pulled from
        self._connect = connect
        self._addresses = addresses
        self._settings = settings
        self._dice = dice
        self._choice = SourceSelector(settings, dice, is_near)
        self._node_name = node_name
        self._prefixes = list(prefixes)
        self._is_only_source = is_only_source
        self._resync = Resync(registry)
        self._hands_back_runners = hands_back_runners
        self._clock = clock
        self._learned: list[str] = []
        self._silent: set[str] = set()  # addresses whose last call had no answer
        self._session: _Session | None = None

    @property
    def source(self) -> str:
        """The control process that served last; empty if there is none."""
        return self._choice.current

    async def run(self) -> None:
        """Pulls until it is cancelled."""
        try:
            while True:
                await self.step()
        finally:
            self._leave()

    async def step(self) -> None:
        """One pull, with the pause before it."""
        given = list(self._addresses())
        source = self._choice.choose(self._clock(), self._learned or given, given)
        if source is None:
            await asyncio.sleep(NO_ADDRESS_PAUSE_S)
            return
        if source.pause > 0.0:
            await asyncio.sleep(source.pause)
        session = self._open(source.address)
        began = self._clock()
        try:
            reply = await self._pull(session)
        except RpcError as error:
            # Once, until it answers again: a control process asks a lost witness several times a second.
            level = logging.DEBUG if source.address in self._silent else logging.INFO
            log.log(level, "pull.failed", address=source.address, error=str(error))
            self._silent.add(source.address)
            self._choice.failed(source.address)
            self._leave()
            return
        self._silent.discard(source.address)
        if self._is_only_source and not self._is_current(reply, began):
            self._take_from_cut_off(session, reply)
            return
        self._take(session, reply, began)
        await self._return_entries(session)

    async def _pull(self, session: _Session) -> PullReply:
        request = PullRequest(
            node_name=self._node_name,
            have=self.registry.vector() | session.cursors,
            wait_ms=round(self._settings.wait_s * 1000.0),
            prefixes=self._prefixes,
        )
        return await session.caller.call("pull", request, self._timeout)

    @property
    def _timeout(self) -> float:
        return self._settings.wait_s + self._settings.reply_grace_s

    def _is_current(self, reply: PullReply, began: float) -> bool:
        """Whether its sender was in contact with the majority, and that so lately that it still holds."""
        return not reply.isolated and self._clock() - began <= self._timeout

    def _take_from_cut_off(self, session: _Session, reply: PullReply) -> None:
        """Takes the runners. Nothing is claimed, so that what is left out is sent again."""
        self.registry.merge([entry for entry in reply.entries or [] if entry.key.startswith(RUNNER_PREFIX)])
        self._choice.failed(session.address)
        self._leave()

    def _take(self, session: _Session, reply: PullReply, began: float) -> None:
        now = self._clock()
        self._merge(reply)
        if not reply.more:
            self.contact_proven_at = began
        if session.read(reply) and self._hands_back_runners:
            session.returns_at = now + self._settings.hand_back_after_s * self._dice.uniform(1.0, 1.5)
        if self._is_only_source and reply.control:
            self._learned = list(reply.control)
        if reply.isolated:
            self._choice.failed(session.address)
            return
        self._choice.served(now, session.address)
        if self._is_only_source and self._stale(now):
            self._resync.begin()
            session.cursors = {}
        self.last_heard_at = now

    def _merge(self, reply: PullReply) -> None:
        entries = reply.entries or []
        self.registry.merge(entries)
        self._resync.saw(entries)
        if reply.more:
            return
        self.registry.advance(reply.upto or {})
        if self._resync.under_way:
            self._resync.finish()

    def _stale(self, now: float) -> bool:
        return self.last_heard_at is not None and now - self.last_heard_at > self._settings.resync_after_s

    async def _return_entries(self, session: _Session) -> None:
        if session.returns_at is None or self._clock() < session.returns_at:
            return
        session.returns_at = None
        lacking = list(self.registry.not_covered_by(session.vector, RUNNER_PREFIX))
        if not lacking:
            return
        log.info("pull.entries_returned", address=session.address, count=len(lacking))
        try:
            await session.caller.call(
                "push", PushRequest(node_name=self._node_name, entries=lacking), self._settings.reply_grace_s
            )
        except RpcError as error:
            log.info("pull.entries_return_failed", address=session.address, error=str(error))

    def _open(self, address: str) -> _Session:
        if self._session is not None and self._session.address != address:
            self._leave()
        if self._session is None:
            self._session = _Session(address, self._connect(address))
            if self._resync.under_way:
                self._resync.begin()
            self.source_changes += 1
        return self._session

    def _leave(self) -> None:
        if self._session is not None:
            self._session.caller.close()
            self._session = None
