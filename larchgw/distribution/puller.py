"""Client side of pulls: keeps a registry up to date from one control process at a time.

A pull waits at the control process for a change (long poll). If the call fails or times out, or if the
process reports that it is isolated from the majority, the puller switches to another process at once. From
the reply of an isolated process, an edge merges only the runners: the configuration may be outdated, and an
edge that has none yet would start serving with it. Control processes merge everything from one another, which
is safe because a merge never replaces an entry with an older one.
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
from .pull_settings import HAND_BACK_SPREAD, PullSettings
from .registry import Registry
from .resync import Resync
from .source_selector import SourceSelector
from .version_vectors import VersionVector, cursors, without_cursors

log = structlog.get_logger()
NO_ADDRESS_PAUSE_S = 0.1  # before checking again for addresses when none is known


class _Session:
    """State of pulling from one control process, from the switch to it until the next switch.

    Attributes:
        address: Its RPC address.
        connection: The connection to it.
        cursors: How far its registry has been read; sent with each pull.
        vector: The version vector that its replies have claimed.
        hand_back_at: When runners that it does not know are pushed to it, by the puller's clock; None if this
            is not due or already done.
    """

    def __init__(self, address: str, connection: Connection) -> None:
        self.address = address
        self.connection = connection
        self.cursors: VersionVector = {}
        self.vector: VersionVector = {}
        self.hand_back_at: float | None = None
        self._incarnation = ""  # identified by the key of its cursor

    def update(self, reply: PullReply) -> bool:
        """Updates cursors and vector from a reply.

        Returns:
            Whether the reply is the first from this incarnation of the process.
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
    """Pulls entries into a registry until cancelled.

    Attributes:
        registry: The registry to merge entries into.
        last_heard_at: Time of the last reply from a process that is not isolated, by `clock`.
        contact_proven_at: Start of the last pull that was answered completely, by `clock`; an isolated
            process counts too. All entries that the process held at that time have been merged.
        source_changes: How often the puller has switched to another process.
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
            registry: The registry to merge entries into.
            connect: Opens a connection to an address.
            addresses: Returns the initial addresses of control processes.
            settings: Timing of pulls.
            random_source: Randomizes the choice of sources, pauses, and the time of handing back runners.
            node_name: Name of this process, for the logs of the called process.
            prefixes: Only keys with one of these prefixes are pulled; empty means all keys.
            is_near: Whether an address is in the same zone as this process.
            is_only_source: Whether this puller is the only one that fills the registry. If so, it learns
                further addresses from replies, merges replies from isolated processes only in part, and after
                `resync_after_s` of disconnection compares the registry with a complete one (resync.py). If
                not, its pulls do not wait for changes made by third processes.
            hands_back_runners: Whether to push runner entries that the current source still lacks some time
                after the switch to it. After a restart of all control processes, only the dispatchers know
                of a runner that crashed meanwhile.
            clock: Monotonic clock in seconds.
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
        self._unresponsive: set[str] = set()  # addresses whose last call failed
        self._session: _Session | None = None

    @property
    def source(self) -> str:
        """Address of the control process that served last; empty if there is none."""
        return self._selector.current

    async def run(self) -> None:
        """Pulls until cancelled."""
        try:
            while True:
                await self.step()
        finally:
            self._close_session()

    async def step(self) -> None:
        """Chooses a source, pauses if the choice requires it, and pulls once."""
        initial = list(self._addresses())
        source = self._selector.choose(self._clock(), self._learned_addresses or initial, initial)
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
            self._record_call_failure(source.address, error)
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

    def _record_call_failure(self, address: str, error: RpcError) -> None:
        # Logged at INFO once until the address answers again, because a control process calls a failed
        # witness several times a second.
        level = logging.DEBUG if address in self._unresponsive else logging.INFO
        log.log(level, "pull.failed", address=address, error=str(error))
        self._unresponsive.add(address)
        self._selector.record_failure(address)
        self._close_session()

    def _is_current(self, reply: PullReply, began_at: float) -> bool:
        """Whether the sender was in contact with the majority and the reply came within the call timeout."""
        return not reply.isolated and self._clock() - began_at <= self._settings.timeout_s

    def _merge_from_isolated(self, session: _Session, reply: PullReply) -> None:
        """Merges only the runners. The vector is not advanced, so that the skipped entries are sent again."""
        self.registry.merge([entry for entry in reply.entries or [] if entry.key.startswith(RUNNER_PREFIX)])
        self._selector.record_failure(session.address)
        self._close_session()

    def _accept(self, session: _Session, reply: PullReply, began_at: float) -> None:
        now = self._clock()
        self._merge(reply)
        if not reply.more:
            self.contact_proven_at = began_at
        if session.update(reply) and self._hands_back_runners:
            delay_s = self._settings.hand_back_after_s * self._random_source.uniform(*HAND_BACK_SPREAD)
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
