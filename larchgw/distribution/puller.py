"""The asking side of pulls: keeps a registry up to date from one control process at a time.

A pull waits at the control process for a change (long poll). A process whose call fails or times out, or
that reports to be cut off from the majority, is replaced by another at once. From the reply of a cut-off
process an edge merges only the runners: its configuration may be an old one, and an edge that knows none yet
would begin to serve with it. Control processes merge everything from one another, since a merge never
replaces an entry by an older one.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Sequence

import structlog

from ..rpc.errors import RpcError
from ..rpc.generated.ttypes import PullReply, PullRequest, PushRequest
from .connection import Connect, Connection
from .keys import RUNNER_PREFIX
from .pull_settings import PullSettings
from .registry import Registry
from .resync import Resync
from .source_selector import SourceSelector
from .version_vectors import VersionVector, cursors, without_cursors

log = structlog.get_logger()
NO_ADDRESS_PAUSE_S = 0.1  # until the addresses are asked for again


class _Session:
    """What is known of the process pulled from, since the change to it.

    Attributes:
        address: Its rpc address.
        connection: The connection to it.
        cursors: How far its registry has been read; sent with each pull.
        vector: What it holds, as far as its replies have claimed.
        hand_back_at: When runners that it does not know are handed to it, by the puller's clock; None: done.
    """

    def __init__(self, address: str, connection: Connection) -> None:
        self.address = address
        self.connection = connection
        self.cursors: VersionVector = {}
        self.vector: VersionVector = {}
        self.hand_back_at: float | None = None
        self._incarnation = ""  # the key of its cursor

    def update(self, reply: PullReply) -> bool:
        """Notes how far it is read.

        Returns:
            Whether the reply is the first of this incarnation of the process.
        """
        upto = reply.upto or {}
        self.cursors = cursors(upto)
        incarnation = next(iter(self.cursors), "")
        is_new_incarnation = incarnation != self._incarnation
        if is_new_incarnation:
            self._incarnation, self.vector = incarnation, {}
        for origin, sequence in without_cursors(upto).items():
            self.vector[origin] = max(sequence, self.vector.get(origin, 0))
        return is_new_incarnation


class Puller:
    """Pulls entries into a registry until it is cancelled.

    Attributes:
        registry: Where entries are merged.
        last_heard_at: By `clock`: the last answer of a process that is not cut off.
        contact_proven_at: By `clock`: begin of the last pull that was answered in full, also by a process
            that is cut off. All that the process held then has been merged.
        source_changes: How often the process pulled from has changed.
    """

    def __init__(
        self,
        registry: Registry,
        connect: Connect,
        addresses: Callable[[], Sequence[str]],
        settings: PullSettings,
        random_source: random.Random,
        *,
        node_name: str = "",
        prefixes: Sequence[str] = (),
        is_near: Callable[[str], bool] | None = None,
        is_only_source: bool = True,
        hands_back_runners: bool = False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a puller; `run` starts it.

        Args:
            registry: Where entries are merged.
            connect: Opens a connection to an address.
            addresses: Gives the control processes to start from.
            settings: Times of pulls.
            random_source: Draws sources, pauses and the time of handing back.
            node_name: Name of this process, for the logs of the process that answers.
            prefixes: Keys to pull begin with one of these; none: all keys.
            is_near: Whether an address is in the zone of this process.
            is_only_source: Whether nothing else fills the registry. Further addresses are then learned from
                the replies, replies of a cut-off process are merged in part, and after `resync_after_s` out
                of touch the registry is compared with a complete other one (resync.py). Where other pullers
                fill it as well, changes made by a third process are not waited for here.
            hands_back_runners: Whether entries of runners that the process pulled from does not hold some
                time after the change to it are pushed to it. After a restart of all control processes the
                dispatchers are the only ones who know of a runner that crashed meanwhile.
            clock: Seconds, monotonic.
        """
        self.registry = registry
        self.last_heard_at: float | None = None
        self.contact_proven_at: float | None = None
        self.source_changes = 0
        self._connect = connect
        self._addresses = addresses
        self._settings = settings
        self._random_source = random_source
        self._selector = SourceSelector(settings, random_source, is_near)
        self._node_name = node_name
        self._prefixes = list(prefixes)
        self._is_only_source = is_only_source
        self._resync = Resync(registry)
        self._hands_back_runners = hands_back_runners
        self._clock = clock
        self._learned_addresses: list[str] = []
        self._unresponsive: set[str] = set()  # addresses whose last call had no answer
        self._session: _Session | None = None

    @property
    def source(self) -> str:
        """The control process that served last; empty if there is none."""
        return self._selector.current

    async def run(self) -> None:
        """Pulls until it is cancelled."""
        try:
            while True:
                await self.step()
        finally:
            self._close_session()

    async def step(self) -> None:
        """Pulls once, after the pause that the choice of the source asks for."""
        given = list(self._addresses())
        source = self._selector.choose(self._clock(), self._learned_addresses or given, given)
        if source is None:
            await asyncio.sleep(NO_ADDRESS_PAUSE_S)
            return
        if source.pause_s > 0.0:
            await asyncio.sleep(source.pause_s)
        session = self._open_session(source.address)
        began_at = self._clock()
        try:
            reply = await self._pull(session)
        except RpcError as error:
            self._record_no_answer(source.address, error)
            return
        self._unresponsive.discard(source.address)
        if self._is_only_source and not self._is_current(reply, began_at):
            self._merge_from_isolated(session, reply)
            return
        self._accept(session, reply, began_at)
        await self._hand_back_runners(session)

    async def _pull(self, session: _Session) -> PullReply:
        request = PullRequest(
            node_name=self._node_name,
            have=self.registry.vector() | session.cursors,
            wait_ms=round(self._settings.wait_s * 1000.0),
            prefixes=self._prefixes,
            own_changes_only=None if self._is_only_source else True,
        )
        return await session.connection.call("pull", request, self._settings.timeout_s)

    def _record_no_answer(self, address: str, error: RpcError) -> None:
        # Logged once, until it answers again: a control process asks a lost witness several times a second.
        level = logging.DEBUG if address in self._unresponsive else logging.INFO
        log.log(level, "pull.failed", address=address, error=str(error))
        self._unresponsive.add(address)
        self._selector.record_failure(address)
        self._close_session()

    def _is_current(self, reply: PullReply, began_at: float) -> bool:
        """Returns whether its sender was in contact with the majority, and so lately that it still holds."""
        return not reply.isolated and self._clock() - began_at <= self._settings.timeout_s

    def _merge_from_isolated(self, session: _Session, reply: PullReply) -> None:
        """Merges the runners. Nothing is claimed, so that what is left out is sent again."""
        self.registry.merge([entry for entry in reply.entries or [] if entry.key.startswith(RUNNER_PREFIX)])
        self._selector.record_failure(session.address)
        self._close_session()

    def _accept(self, session: _Session, reply: PullReply, began_at: float) -> None:
        now = self._clock()
        self._merge(reply)
        if not reply.more:
            self.contact_proven_at = began_at
        if session.update(reply) and self._hands_back_runners:
            delay_s = self._settings.hand_back_after_s * self._random_source.uniform(1.0, 1.5)
            session.hand_back_at = now + delay_s
        if self._is_only_source and reply.control:
            self._learned_addresses = list(reply.control)
        if reply.isolated:
            self._selector.record_failure(session.address)
            return
        self._selector.record_success(now, session.address)
        if self._is_only_source and self._must_resync(now):
            self._resync.start()
            session.cursors = {}
        self.last_heard_at = now

    def _merge(self, reply: PullReply) -> None:
        entries = reply.entries or []
        self.registry.merge(entries)
        self._resync.observe(entries)
        if reply.more:
            return
        self.registry.advance(reply.upto or {})
        if self._resync.is_running:
            self._resync.finish()

    def _must_resync(self, now: float) -> bool:
        return self.last_heard_at is not None and now - self.last_heard_at > self._settings.resync_after_s

    async def _hand_back_runners(self, session: _Session) -> None:
        if session.hand_back_at is None or self._clock() < session.hand_back_at:
            return
        session.hand_back_at = None
        missing = list(self.registry.not_covered_by(session.vector, RUNNER_PREFIX))
        if not missing:
            return
        log.info("pull.entries_returned", address=session.address, count=len(missing))
        request = PushRequest(node_name=self._node_name, entries=missing)
        try:
            await session.connection.call("push", request, self._settings.reply_grace_s)
        except RpcError as error:
            log.info("pull.entries_return_failed", address=session.address, error=str(error))

    def _open_session(self, address: str) -> _Session:
        if self._session is not None and self._session.address != address:
            self._close_session()
        if self._session is None:
            self._session = _Session(address, self._connect(address))
            if self._resync.is_running:
                self._resync.start()
            self.source_changes += 1
        return self._session

    def _close_session(self) -> None:
        if self._session is not None:
            self._session.connection.close()
            self._session = None
